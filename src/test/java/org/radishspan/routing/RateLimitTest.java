package org.radishspan.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;

import org.radishspan.deployment.Address;
import org.radishspan.deployment.TargetEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Checks how routers keep to the limit of a target, which states the requests a second that it accepts from all routers
 * together.
 */
public class RateLimitTest {
    private static final long STARTED_AT_UNIX_MILLIS = 1_700_000_000_000L;
    private static final OptionalDouble NO_LIMIT = OptionalDouble.empty();

    private static OptionalDouble perSecond(double requests) {
        return OptionalDouble.of(requests);
    }

    private static TargetEntry entry(String name, long startedAtUnixMillis) {
        return new TargetEntry(name, "s", new Address("10.0.0.1", 80), "a", 6, false, startedAtUnixMillis);
    }

    private static TargetTable table(LimitDivision limitDivision, String... names) {
        TargetTable table = new TargetTable(limitDivision);
        for (String name : names) {
            table.register(entry(name, STARTED_AT_UNIX_MILLIS));
        }
        return table;
    }

    private static Target target(TargetTable table, String name) {
        return Objects.requireNonNull(table.get(name), name);
    }

    private static boolean usable(TargetTable table, long nowMillis) {
        return !table.candidates("s", Set.of(), nowMillis).isEmpty();
    }

    /**
     * Returns the tables of several routers. Each has the complete list of routers from the store, and none
     * receives messages from the others.
     */
    private static List<TargetTable> fleet(int routers) {
        List<String> vms = IntStream.range(0, routers).mapToObj(i -> "vm-" + i).toList();
        List<TargetTable> tables = new ArrayList<>();
        for (String vm : vms) {
            LimitDivision limitDivision = new LimitDivision(vm, () -> true);
            limitDivision.replace(vms);
            tables.add(table(limitDivision, "t"));
        }
        return tables;
    }

    /** The requests that all routers together send to a target with a limit. */
    public static class AllRouters {
        private static final long WINDOW_MILLIS = 4_000;
        private static final double WINDOW_FACTOR = 1.5;
        private static final int WINDOW_SLACK = 5;
        private static final int WINDOWS = 4;

        @DataProvider
        public Object[][] sizes() {
            List<Object[]> sizes = new ArrayList<>();
            for (int routers : new int[] {1, 2, 6, 7, 75, 95, 460}) {
                for (double limit : new double[] {0, 0.3, 1, 1.7, 5, 33, 200, 1_000}) {
                    sizes.add(new Object[] {routers, limit});
                }
            }
            return sizes.toArray(new Object[0][]);
        }

        /** Checks the worst case: all routers have been idle for long, and all have more to send than they may. */
        @Test(dataProvider = "sizes")
        public void keepToTheLimitWhenAllBecomeBusyAtOnce(int routers, double requestsPerSecond) {
            List<TargetTable> fleet = fleet(routers);
            fleet.forEach(table -> table.onRateLimitReported(target(table, "t"), perSecond(requestsPerSecond), 0, 0));
            long idleMillis = 20_000;
            int inWindow = 0;
            int sent = 0;
            for (long nowMillis = idleMillis; nowMillis < idleMillis + WINDOWS * WINDOW_MILLIS; nowMillis += 10) {
                for (TargetTable table : fleet) {
                    while (usable(table, nowMillis)) {
                        table.onDispatched(target(table, "t"), nowMillis);
                        sent++;
                        inWindow += nowMillis < idleMillis + WINDOW_MILLIS ? 1 : 0;
                    }
                }
            }
            double inLimit = requestsPerSecond * WINDOW_MILLIS / 1_000;
            assertTrue(inWindow <= WINDOW_FACTOR * inLimit + WINDOW_SLACK, inWindow + " requests in the first window");
            assertTrue(sent >= Math.floor(WINDOWS * inLimit) - 1, sent + " requests in all windows");
        }

        @Test(dataProvider = "sizes")
        public void probeATargetRarelyWhenItsLimitIsNotReported(int routers, double requestsPerSecond) {
            TargetTable table = fleet(routers).get(0);
            table.onRateLimitReported(target(table, "t"), perSecond(requestsPerSecond), 0, 0);
            long expiredMillis = 0;
            while (table.removeExpiredRateLimits(expiredMillis).isEmpty()) {
                expiredMillis += 1_000;
                assertTrue(expiredMillis < 3_600_000, "the limit never expires");
            }
            double probesPerSecond = routers * 1_000.0 / expiredMillis;
            assertTrue(probesPerSecond <= Math.max(0.5, requestsPerSecond / 4), probesPerSecond + " probes a second");
            assertEquals(target(table, "t").requestsPerSecond(), NO_LIMIT);
        }

        @Test
        public void sendNothingBeforeTheyReceiveTheListOfRouters() {
            TargetTable table = table(new LimitDivision("vm-0", () -> false), "t");
            table.onRateLimitReported(target(table, "t"), perSecond(100), 0, 0);
            assertFalse(usable(table, 10_000));
        }

        @Test
        public void divideTheLimitAgainWhenOneOfThemIsRemoved() {
            LimitDivision limitDivision = new LimitDivision("vm-0", () -> true);
            limitDivision.replace(List.of("vm-0", "vm-1"));
            TargetTable table = table(limitDivision, "t");
            table.onRateLimitReported(target(table, "t"), perSecond(4), 0, 0);
            assertEquals(table.waitMillis("s", 0), OptionalLong.of(500));
            limitDivision.replace(List.of("vm-0"));
            assertEquals(table.waitMillis("s", 0), OptionalLong.of(250));
        }
    }

    /** The limit of one target as recorded by one router. */
    public static class LimitOfOneTarget {
        @Test
        public void staysInForceUntilAnAnswerReportsNone() {
            TargetTable table = table(LimitDivision.onlyRouter(), "t");
            assertTrue(table.onRateLimitReported(target(table, "t"), perSecond(1), 0, 100));
            assertFalse(
                    table.onRateLimitReported(target(table, "t"), perSecond(1), 50, 200), "the limit did not change");
            assertFalse(usable(table, 200));
            assertTrue(table.onRateLimitReported(target(table, "t"), NO_LIMIT, 300, 400));
            assertTrue(usable(table, 400));
        }

        @Test
        public void isNotEndedByTheLateAnswerToAnEarlierRequest() {
            TargetTable table = table(LimitDivision.onlyRouter(), "t");
            table.onRateLimitReported(target(table, "t"), perSecond(1), 0, 100);
            assertFalse(table.onRateLimitReported(target(table, "t"), NO_LIMIT, 99, 200));
            assertFalse(usable(table, 200));
        }

        @Test
        public void staysInForceWhenTheEntryExpiresButNotForANewIncarnation() {
            TargetTable table = table(LimitDivision.onlyRouter(), "t");
            table.onRateLimitReported(target(table, "t"), perSecond(1), 0, 0);
            table.deregister("t");
            table.register(entry("t", STARTED_AT_UNIX_MILLIS));
            assertFalse(usable(table, 100));
            table.register(entry("t", STARTED_AT_UNIX_MILLIS + 1));
            assertTrue(usable(table, 100));
        }

        @Test
        public void isAcceptedFromPeers() {
            TargetTable table = table(LimitDivision.onlyRouter(), "t");
            assertTrue(table.onRateLimitReportedByPeer("t", STARTED_AT_UNIX_MILLIS, perSecond(2), 0));
            assertFalse(usable(table, 0));
            assertTrue(table.onRateLimitReportedByPeer("t", STARTED_AT_UNIX_MILLIS, NO_LIMIT, 100));
            assertTrue(usable(table, 100));
        }

        @Test
        public void ofAnotherIncarnationIsIgnored() {
            TargetTable table = table(LimitDivision.onlyRouter(), "t");
            table.onRateLimitReportedByPeer("t", STARTED_AT_UNIX_MILLIS - 1, perSecond(2), 0);
            assertTrue(usable(table, 0));
        }

        @Test
        public void takesEffectImmediatelyWhenItChanges() {
            TargetTable table = table(LimitDivision.onlyRouter(), "t");
            table.onRateLimitReported(target(table, "t"), perSecond(0.1), 0, 0);
            assertTrue(table.onRateLimitReported(target(table, "t"), perSecond(10), 0, 0));
            assertEquals(table.waitMillis("s", 0), OptionalLong.of(100));
        }
    }
}
