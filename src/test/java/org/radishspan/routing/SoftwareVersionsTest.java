package org.radishspan.routing;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.radishspan.deployment.Address;
import org.radishspan.deployment.TargetEntry;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests which software versions may have open streams, and at which ones streams may begin. */
public class SoftwareVersionsTest {
    private static final long ANNOUNCE_MILLIS = 3_000;

    private final TargetTable table = new TargetTable();
    private final SoftwareVersions versions = new SoftwareVersions(table, ANNOUNCE_MILLIS);

    private static SoftwareVersionsTest withVersions(String... names) {
        SoftwareVersionsTest test = new SoftwareVersionsTest();
        for (String name : names) {
            test.register(name, false);
        }
        test.versions.onListed(0);
        return test;
    }

    private void register(String version, boolean draining) {
        table.register(new TargetEntry(
                "target-" + version, "s", new Address("10.0.0.1", 80), "a", 6, draining, 1, 0, version));
    }

    private boolean mayBegin(String version, long nowMillis) {
        return versions.mayBegin(Objects.requireNonNull(table.get("target-" + version)), nowMillis);
    }

    @Test
    public void thatLeftMayHaveOpenStreamsForAWhile() {
        SoftwareVersionsTest test = withVersions("v1");
        test.register("v2", false);
        test.register("v1", true);
        assertEquals(test.versions.withOpenStreams("s", 1_000), Set.of("v1", "v2"));
        assertEquals(test.versions.withOpenStreams("s", 30_999), Set.of("v1", "v2"));
        assertEquals(test.versions.withOpenStreams("s", 31_000), Set.of("v2"));
        assertEquals(test.versions.inService("s", 31_000), Set.of("v2"));
    }

    @Test
    public void thatAreNewGetStreamsOnceAllRoutersKnowThem() {
        SoftwareVersionsTest test = withVersions("v1");
        test.register("v2", false);
        assertFalse(test.mayBegin("v2", 1_000));
        assertTrue(test.mayBegin("v1", 1_000));
        assertTrue(test.mayBegin("v2", 1_000 + ANNOUNCE_MILLIS));
    }

    @Test
    public void thatAreNewGetStreamsAtOnceIfNoOtherIsInService() {
        SoftwareVersionsTest test = withVersions("v1");
        test.register("v2", false);
        test.register("v1", true);
        assertTrue(test.mayBegin("v2", 1_000));
    }

    @Test
    public void thatWereInServiceBeforeTheRouterStartedMayHaveOpenStreams() {
        SoftwareVersionsTest test = withVersions("v2", "v3");
        test.versions.onEarlier("s", Map.of("v1", -20_000L, "v2", 0L), 0);
        assertEquals(test.versions.withOpenStreams("s", 0), Set.of("v1", "v2", "v3"));
        assertEquals(test.versions.withOpenStreams("s", 10_000), Set.of("v2", "v3"));
        assertFalse(test.mayBegin("v3", 0), "no report names it yet");
        assertTrue(test.mayBegin("v2", 0));
    }
}
