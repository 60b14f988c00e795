package org.radishspan.front;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that routers follow the entries of targets while calls to the store fail, in a simulated deployment. */
public class TargetEntriesFleetTest {
    private static final long STARTUP_MILLIS = 15_000;

    /** Bound in the settings of the fleet: a target that leaves gets no new requests after this time. */
    private static final long DRAIN_MILLIS = 3_000;

    /** Entries that lapsed during an outage of the store are written again within this time. */
    private static final long RESTORED_MILLIS = 2_000;

    /** Enough routers for one to watch the store on behalf of its failure domain. */
    private static final int MANY_ROUTERS = 24;

    private static FrontFleet fleet(int routers) {
        FrontFleet fleet = new FrontFleet(new FrontFleet.Layout(routers, 3, 10, 50, 100, 125_000, 200), 1);
        fleet.advance(STARTUP_MILLIS);
        return fleet;
    }

    private static List<Integer> numbers(int routers) {
        return IntStream.range(0, routers).boxed().toList();
    }

    /** Watches that are cut off while the store is available. */
    public static class CutWatches {
        @DataProvider
        public Object[][] cuts() {
            return new Object[][] {
                {6, 50},
                {6, 300},
                {6, 800},
                {6, 1_500},
                {6, 2_000},
                {6, 2_350},
                {6, 2_500},
                {6, 2_950},
                {MANY_ROUTERS, 300},
                {MANY_ROUTERS, 700}
            };
        }

        /** Guards against requests that were sent to a target long after its entry was removed (review/13). */
        @Test(dataProvider = "cuts")
        public void doNotDelayTheRemovalOfTargets(int routers, long cutMillis) {
            FrontFleet fleet = fleet(routers);
            fleet.cutWatchesAfter(cutMillis);
            fleet.advance(8_000);
            assertEquals(fleet.routersUsingTheTarget(), numbers(routers));
            fleet.removeTarget();
            fleet.advance(DRAIN_MILLIS);
            assertEquals(fleet.routersUsingTheTarget(), List.of());
        }
    }

    /** The routers that watch the store on behalf of their failure domains. */
    public static class Watchers {
        /** Guards against a watcher that gave up its duty at each cut, as it reported that it had lost the store. */
        @Test
        public void keepTheirDutyWhileTheirWatchesAreCutOff() {
            FrontFleet fleet = fleet(MANY_ROUTERS);
            Set<Integer> watchers = fleet.watchingRouters();
            fleet.cutWatchesAfter(300);
            for (long elapsedMillis = 0; elapsedMillis < 8_000; elapsedMillis += 20) {
                fleet.advance(20);
                assertEquals(fleet.watchingRouters(), watchers, elapsedMillis + " ms after the first cut");
            }
        }
    }

    /** Outages of the store, in which entries of live targets lapse. */
    public static class Outages {
        private static final long OUTAGE_MILLIS = 9_000;

        /** Returns the number of routers, and after which time watches are cut off once the store is back. */
        @DataProvider
        public Object[][] outages() {
            return new Object[][] {
                {6, Long.MAX_VALUE}, {6, 300}, {6, 800}, {MANY_ROUTERS, Long.MAX_VALUE}, {MANY_ROUTERS, 300}
            };
        }

        private static FrontFleet fleetWhoseTargetLapsed(int routers, long cutMillis) {
            FrontFleet fleet = fleet(routers);
            fleet.makeStoreSilentFor(Set.copyOf(numbers(routers)));
            fleet.advance(OUTAGE_MILLIS / 2);
            fleet.removeTarget();
            fleet.advance(OUTAGE_MILLIS / 2);
            fleet.cutWatchesAfter(cutMillis);
            fleet.reconnectAll();
            return fleet;
        }

        @Test(dataProvider = "outages")
        public void keepTargetsWhoseEntriesReappear(int routers, long cutMillis) {
            FrontFleet fleet = fleetWhoseTargetLapsed(routers, cutMillis);
            for (long elapsedMillis = 0; elapsedMillis < RESTORED_MILLIS; elapsedMillis += 20) {
                fleet.advance(20);
                assertEquals(fleet.routersUsingTheTarget(), numbers(routers), elapsedMillis + " ms after the outage");
            }
            fleet.registerTarget();
            fleet.advance(DRAIN_MILLIS);
            assertEquals(fleet.routersUsingTheTarget(), numbers(routers));
        }

        /** Guards against targets that stayed in use for good, because each cut of a watch began the wait for entries anew. */
        @Test(dataProvider = "outages")
        public void endForTargetsWhoseEntriesDoNotReappear(int routers, long cutMillis) {
            FrontFleet fleet = fleetWhoseTargetLapsed(routers, cutMillis);
            fleet.advance(RESTORED_MILLIS + DRAIN_MILLIS);
            assertEquals(fleet.routersUsingTheTarget(), List.of());
        }
    }
}
