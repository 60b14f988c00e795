package org.radishspan.routing;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

import org.radishspan.deployment.Address;
import org.radishspan.deployment.TargetEntry;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Checks which targets may be sent new work after they or a peer reported that they are leaving, or after they
 * requested a pause.
 */
public class TargetTableTest {
    private static final long STARTED_AT_UNIX_MILLIS = 1_700_000_000_000L;

    private static TargetEntry entry(String name, long startedAtUnixMillis) {
        return new TargetEntry(name, "s", new Address("10.0.0.1", 80), "a", 6, false, startedAtUnixMillis);
    }

    private static TargetTable table(String... names) {
        TargetTable table = new TargetTable();
        for (String name : names) {
            table.register(entry(name, STARTED_AT_UNIX_MILLIS));
        }
        return table;
    }

    private static Target target(TargetTable table, String name) {
        return Objects.requireNonNull(table.get(name), name);
    }

    private static List<String> usable(TargetTable table, long nowMillis) {
        return table.candidates("s", Set.of(), nowMillis).stream()
                .map(Target::name)
                .sorted()
                .toList();
    }

    /** Targets that reported that they are leaving. */
    public static class Leaving {
        @Test
        public void stayExcludedWhenTheyRegisterAgain() {
            TargetTable table = table("t", "u");
            assertTrue(table.onLeavingReported(target(table, "t")));
            assertFalse(table.onLeavingReported(target(table, "t")), "the second report was returned as the first");
            table.register(entry("t", STARTED_AT_UNIX_MILLIS));
            assertEquals(usable(table, 0), List.of("u"));
            assertEquals(
                    table.lastResorts("s", Set.of(), 0).size(), 1, "a leaving target was offered as a last resort");
        }

        @Test
        public void stayExcludedWhenTheirEntryExpiresAndIsRegisteredAgain() {
            TargetTable table = table("t", "u");
            table.onLeavingReported(target(table, "t"));
            table.deregister("t");
            table.register(entry("t", STARTED_AT_UNIX_MILLIS));
            assertEquals(usable(table, 0), List.of("u"));
        }

        @Test
        public void areCandidatesAgainAsANewIncarnation() {
            TargetTable table = table("t");
            table.onLeavingReported(target(table, "t"));
            table.register(entry("t", STARTED_AT_UNIX_MILLIS + 1));
            assertEquals(usable(table, 0), List.of("t"));
        }

        @Test
        public void reportedByAPeerAreALastResort() {
            TargetTable table = table("t", "u");
            table.onLeavingReportedByPeer("t", STARTED_AT_UNIX_MILLIS);
            assertEquals(usable(table, 0), List.of("u"));
            assertEquals(table.lastResorts("s", Set.of("u"), 0).size(), 1);
        }

        @Test
        public void whoseEarlierIncarnationAPeerReportedStayCandidates() {
            TargetTable table = table("t");
            table.onLeavingReportedByPeer("t", STARTED_AT_UNIX_MILLIS - 1);
            assertEquals(usable(table, 0), List.of("t"));
        }

        @Test
        public void reportedByAPeerBeforeTheyRegisterAreExcluded() {
            TargetTable table = table("u");
            table.onLeavingReportedByPeer("t", STARTED_AT_UNIX_MILLIS);
            table.register(entry("t", STARTED_AT_UNIX_MILLIS));
            assertEquals(usable(table, 0), List.of("u"));
        }
    }

    /** Targets that requested a pause. */
    public static class Paused {
        @Test
        public void getNoWorkUntilThePauseEnds() {
            TargetTable table = table("t", "u");
            table.onPauseRequested(target(table, "t"), 2_500, 1_000);
            assertEquals(usable(table, 3_499), List.of("u"));
            assertEquals(table.lastResorts("s", Set.of("u"), 3_499), List.of());
            assertEquals(usable(table, 3_500), List.of("t", "u"));
        }

        @Test
        public void keepALongerPauseWhenTheyRequestAShorterOne() {
            TargetTable table = table("t");
            table.onPauseRequested(target(table, "t"), 2_500, 1_000);
            table.onPauseRequested(target(table, "t"), 100, 1_200);
            assertEquals(usable(table, 3_400), List.of());
        }

        @Test
        public void stayPausedWhenTheyRegisterAgain() {
            TargetTable table = table("t");
            table.onPauseRequested(target(table, "t"), 2_500, 1_000);
            table.register(entry("t", STARTED_AT_UNIX_MILLIS));
            assertEquals(usable(table, 3_400), List.of());
            table.register(entry("t", STARTED_AT_UNIX_MILLIS + 1));
            assertEquals(usable(table, 3_400), List.of("t"), "the new incarnation has requested no pause");
        }

        @Test
        public void stayPausedWhenTheirEntryExpiresAndIsRegisteredAgain() {
            TargetTable table = table("t");
            table.onPauseRequested(target(table, "t"), 2_500, 1_000);
            table.deregister("t");
            table.register(entry("t", STARTED_AT_UNIX_MILLIS));
            assertEquals(usable(table, 3_400), List.of());
            assertEquals(usable(table, 3_500), List.of("t"));
        }

        @Test
        public void determineTheWaitUntilTheFirstPauseEnds() {
            TargetTable table = table("t", "u", "v");
            table.onPauseRequested(target(table, "t"), 2_500, 1_000);
            assertEquals(table.waitMillis("s", 1_000), OptionalLong.empty(), "other targets accept work");
            table.onPauseRequested(target(table, "u"), 800, 1_000);
            table.onLeavingReported(target(table, "v"));
            assertEquals(table.waitMillis("s", 1_300), OptionalLong.of(500));
            assertEquals(table.waitMillis("s", 1_800), OptionalLong.empty());
        }
    }
}
