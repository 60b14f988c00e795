package org.radishspan.config;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.ConfigurationState;
import org.radishspan.proto.PresetState;
import org.radishspan.proto.WorkspaceState;
import org.radishspan.store.SharedObject.Mutation;
import org.radishspan.virtual.VirtualFleet;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests changes of the configuration and their propagation to every router. */
public class ConfigurationTest {
    private static final PresetState PEAK = PresetState.newBuilder()
            .setName("peak")
            .setShareHorizonMillis(5_000)
            .build();

    private static Configuration.Change change(String id, @Nullable Long expected) {
        return new Configuration.Change("ana", id, 7, expected);
    }

    private static ConfigurationState apply(ConfigurationState state, Mutation<ConfigurationState> mutation) {
        Either<Failure, ConfigurationState> result = mutation.apply(state);
        assertTrue(result.isRight(), String.valueOf(result));
        assertEquals(mutation.apply(result.get()).get(), result.get(), "a repeated command changes nothing");
        return result.get();
    }

    /** Changes of the configuration object. */
    public static class Changes {
        @Test
        public void incrementTheRevisionAndAddAnAuditEntry() {
            ConfigurationState state =
                    apply(ConfigurationState.getDefaultInstance(), Configuration.putPreset(PEAK, change("a", null)));
            state = apply(state, Configuration.usePreset("peak", change("b", 1L)));
            assertEquals(state.getRevision(), 2);
            assertEquals(state.getAudit(1).getActor(), "ana");
            assertEquals(state.getAudit(1).getAfter(), "peak");
        }

        @Test
        public void failWithAConflictThatNamesTheLastChange() {
            ConfigurationState state =
                    apply(ConfigurationState.getDefaultInstance(), Configuration.putPreset(PEAK, change("a", 0L)));
            Failure failure =
                    Configuration.putPreset(PEAK, change("b", 0L)).apply(state).getLeft();
            assertEquals(failure.kind(), ErrorKind.CONFLICT);
            assertTrue(failure.message().contains("preset put peak by ana"), failure.message());
        }

        @Test
        public void listTheExistingPresetsWhenOneIsUnknown() {
            ConfigurationState state =
                    apply(ConfigurationState.getDefaultInstance(), Configuration.putPreset(PEAK, change("a", null)));
            Failure failure = Configuration.usePreset("paek", change("b", null))
                    .apply(state)
                    .getLeft();
            assertEquals(failure.message(), "no preset named paek; there are peak");
        }
    }

    /** Keys of callers. */
    public static class Keys {
        @Test
        public void matchOnlyTheirOwnWorkspace() {
            WorkspaceState one = WorkspaceState.newBuilder()
                    .setName("one")
                    .setKeySalt("s")
                    .setKeyHash(CallerKey.hash("s", "one.secret"))
                    .build();
            assertTrue(CallerKey.matches(one, "one.secret"));
            assertFalse(CallerKey.matches(one, "two.secret"));
            assertFalse(CallerKey.matches(one, "one.secre"));
        }
    }

    /** Propagation of changes to every router. */
    public static class Propagation {
        private static final long PROPAGATION_MILLIS = 2_000;

        private static long revision(VirtualFleet fleet, int node) {
            return fleet.node(node).router().configuration().inForce().getRevision();
        }

        @Test
        public void reachesEveryRouterWithinTwoSeconds() {
            VirtualFleet fleet = VirtualFleet.builder().routers(7).seed(3).build();
            fleet.runStartup();
            fleet.createWorkspace("w", "b");
            fleet.run(PROPAGATION_MILLIS);
            for (int i = 0; i < 7; i++) {
                assertEquals(revision(fleet, i), 2);
            }
        }

        @Test
        public void neverReplacesARevisionByAnOlderOne() {
            VirtualFleet fleet = VirtualFleet.builder().routers(2).seed(4).build();
            fleet.runStartup();
            fleet.createWorkspace("w", "b");
            fleet.run(PROPAGATION_MILLIS);
            ConfigurationSystem system = fleet.node(0).router().configuration();
            List<Long> seen = new ArrayList<>();
            system.onChange(state -> seen.add(state.getRevision()));
            assertFalse(
                    system.adopt(ConfigurationState.newBuilder().setRevision(1).build()));
            assertEquals(revision(fleet, 0), 2);
            assertTrue(seen.isEmpty());
        }

        @Test
        public void catchesUpAfterAnOutageOfThePlatform() {
            VirtualFleet fleet = VirtualFleet.builder().routers(3).seed(5).build();
            fleet.runStartup();
            fleet.node(1).setPlatformDisconnected(true);
            fleet.createWorkspace("w", "b");
            fleet.run(20_000);
            assertEquals(revision(fleet, 0), 2);
            assertEquals(revision(fleet, 1), 1, "a router that is cut off from the platform keeps its revision");
            fleet.node(1).setPlatformDisconnected(false);
            fleet.run(PROPAGATION_MILLIS);
            assertEquals(revision(fleet, 1), 2);
        }
    }
}
