package org.radishspan.front;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what callers, targets and the store experience from a simulated deployment. */
public class FrontFleetTest {
    private static final long STARTUP_MILLIS = 15_000;
    private static final long POWER_LOSS_MILLIS = 1_400;

    /** Fraction by which a budget exceeds the tokens that its workspace needs in a day. */
    private static final double SLACK = 0.3;

    private static final long DAY_SECONDS = 48;

    /**
     * Returns a deployment like the users' first ones: six routers, ten workspaces and 50 calls per second that need tokens.
     */
    private static FrontFleet smallFleet(int seed) {
        FrontFleet fleet =
                new FrontFleet(new FrontFleet.Layout(6, 3, 10, 50, DAY_SECONDS * (1 + SLACK), 125_000, 200), seed);
        fleet.advance(STARTUP_MILLIS);
        return fleet;
    }

    /** Power loss of all VMs of a small deployment at once. */
    public static class PowerLoss {
        /** Minimum fraction of calls that must be served once the fleet has had time to recover. */
        private static final double MIN_SERVED_FRACTION = 0.25;

        private static final long RECOVERY_MILLIS = 12_000;

        @DataProvider
        public Object[][] seeds() {
            return new Object[][] {{1}, {2}, {3}, {4}, {5}};
        }

        @Test(dataProvider = "seeds")
        public void forfeitsNoMoreThanTheSlackOfAnyBudget(int seed) {
            FrontFleet fleet = smallFleet(seed);
            fleet.runCalls(24_000);
            fleet.powerOffAll(POWER_LOSS_MILLIS);
            fleet.advance(POWER_LOSS_MILLIS + 1_000);
            for (int workspace = 0; workspace < 10; workspace++) {
                double seconds = fleet.forfeitedSeconds(workspace);
                assertTrue(
                        seconds <= SLACK * DAY_SECONDS,
                        "of workspace " + workspace + " " + seconds + " s of demand are forfeited");
            }
        }

        @Test
        public void twiceInADayLeavesTokensForCallsAfterTheRecovery() {
            FrontFleet fleet = smallFleet(1);
            fleet.runCalls(12_000);
            fleet.powerOffAll(POWER_LOSS_MILLIS);
            fleet.runCalls(12_000);
            fleet.setRoutersWithoutStore(4);
            fleet.runCalls(8_000);
            fleet.setRoutersWithoutStore(0);
            fleet.runCalls(1_000);
            fleet.powerOffAll(POWER_LOSS_MILLIS);
            fleet.runCalls(POWER_LOSS_MILLIS + RECOVERY_MILLIS);
            FrontFleet.Outcome outcome = fleet.runCalls(3_000);
            assertTrue(outcome.servedFraction() >= MIN_SERVED_FRACTION, outcome.toString());
        }
    }

    /** Deployments of many routers on slow links. */
    public static class ManyRouters {
        private static final double MAX_REFUSED_FRACTION = 0.01;

        /** Bound in the settings of the fleet: a configuration must be in force within this time. */
        private static final long CONFIG_APPLY_MILLIS = 3_000;

        /**
         * Maximum rate of calls from all routers together: a sixth of the 2,000 reads per second of the users' smaller
         * stores.
         */
        private static final int STORE_CALLS_PER_SECOND = 333;

        private static FrontFleet largeFleet() {
            FrontFleet fleet =
                    new FrontFleet(new FrontFleet.Layout(75, 3, 24, 208, DAY_SECONDS * (1 + SLACK), 1_250, 500), 1);
            fleet.advance(STARTUP_MILLIS);
            return fleet;
        }

        /**
         * Guards against overload of the store after a simultaneous start: all 75 routers wrote the ledger and held shares of
         * every budget, because none had the list of routers yet.
         */
        @Test
        public void serveCallsSoonAfterAPowerLoss() {
            FrontFleet fleet = largeFleet();
            fleet.runCalls(5_000);
            fleet.powerOffAll(POWER_LOSS_MILLIS);
            fleet.runCalls(POWER_LOSS_MILLIS + 2_000);
            FrontFleet.Outcome outcome = fleet.runCalls(3_000);
            assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome.toString());
        }

        /**
         * Guards against a retry storm: while the store refused all calls, the 95 routers together called it more than 1,000
         * times per second.
         */
        @Test
        public void limitTheRateOfCallsToAStoreThatRefusesThem() {
            FrontFleet fleet =
                    new FrontFleet(new FrontFleet.Layout(95, 5, 24, 208, DAY_SECONDS * (1 + SLACK), 1_250, 500), 1);
            fleet.advance(STARTUP_MILLIS);
            fleet.runCalls(3_000);
            fleet.refuseStore(95);
            fleet.runCalls(2_000);
            fleet.takeStoreCalls();
            fleet.runCalls(8_000);
            int calls =
                    fleet.takeStoreCalls().values().stream().mapToInt(i -> i).sum();
            assertTrue(calls <= 8 * STORE_CALLS_PER_SECOND, calls + " calls in 8 s");
            fleet.setRoutersWithoutStore(0);
            fleet.configure(9);
            fleet.runCalls(CONFIG_APPLY_MILLIS);
            assertEquals(fleet.routersBehind(9), List.of(), "every router applies it soon after the store recovers");
            FrontFleet.Outcome outcome = fleet.runCalls(3_000);
            assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome.toString());
        }

        @Test
        public void serveTheCallsThatTheBudgetsCover() {
            FrontFleet fleet =
                    new FrontFleet(new FrontFleet.Layout(75, 3, 24, 208, DAY_SECONDS * (1 + SLACK), 1_250, 500), 1);
            fleet.advance(STARTUP_MILLIS);
            FrontFleet.Outcome outcome = fleet.runCalls(10_000);
            assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome.toString());
        }
    }

    /** Configurations with a later version. */
    public static class Configurations {
        /**
         * Guards against a lost version: if an unchanged limit is not recorded under its new version, the limit of an older
         * version that is adopted late can replace it.
         */
        @Test
        public void recordAnUnchangedLimitUnderTheirVersion() {
            FrontFleet fleet = smallFleet(1);
            fleet.configure(7);
            fleet.advance(2_000);
            for (int workspace = 0; workspace < 10; workspace++) {
                assertEquals(fleet.limitVersion(workspace), 7);
            }
        }
    }

    /** Rate limits that targets report in requests per second for all routers together. */
    public static class RateLimits {
        /**
         * The limit must hold once this time has passed. It is checked in windows of {@link #WINDOW_MILLIS}. A window may
         * exceed it by {@link #WINDOW_FACTOR} plus {@link #WINDOW_SLACK} requests.
         */
        private static final long SETTLE_MILLIS = 3_000;

        private static final long WINDOW_MILLIS = 4_000;
        private static final double WINDOW_FACTOR = 1.5;
        private static final int WINDOW_SLACK = 5;

        private static final long LIMITED_MILLIS = 16_000;

        @DataProvider
        public Object[][] fleets() {
            return new Object[][] {{6, 13, 1.0}, {6, 13, 0.0}, {6, 13, 2.5}, {6, 3, 5.0}, {75, 74, 1.0}, {75, 74, 2.0}};
        }

        private static FrontFleet fleet(int routers, int targets) {
            int callsPerSecond = routers > 6 ? 208 : 50;
            FrontFleet fleet = new FrontFleet(
                    new FrontFleet.Layout(routers, 3, 10, callsPerSecond, 10 * DAY_SECONDS, 125_000, 200), 1);
            fleet.addTargets(targets - 1);
            fleet.advance(STARTUP_MILLIS);
            fleet.runCalls(3_000);
            return fleet;
        }

        /**
         * Limits the first target and fails if it receives more requests than allowed. Returns the results of the calls in
         * that time.
         */
        private static FrontFleet.Outcome runCallsWithLimit(FrontFleet fleet, double requestsPerSecond) {
            fleet.targets().setRateLimit("target", OptionalDouble.of(requestsPerSecond));
            fleet.runCalls(SETTLE_MILLIS);
            long fromMillis = fleet.nowMillis();
            FrontFleet.Outcome outcome = fleet.runCalls(LIMITED_MILLIS);
            int maxArrivals =
                    fleet.targets().maxArrivalsInWindow("target", fromMillis, fleet.nowMillis(), WINDOW_MILLIS);
            double allowed = WINDOW_FACTOR * requestsPerSecond * WINDOW_MILLIS / 1_000 + WINDOW_SLACK;
            assertTrue(maxArrivals <= allowed, maxArrivals + " requests in a window of " + WINDOW_MILLIS + " ms");
            return outcome;
        }

        @Test(dataProvider = "fleets")
        public void ofOneTargetHoldForAllRoutersTogether(int routers, int targets, double requestsPerSecond) {
            FrontFleet.Outcome outcome = runCallsWithLimit(fleet(routers, targets), requestsPerSecond);
            assertTrue(
                    outcome.servedFraction() > 0.99, "the other targets should serve the remaining calls: " + outcome);
        }

        @Test(dataProvider = "fleets")
        public void holdWhileAllMessagesBetweenRoutersAreLost(int routers, int targets, double requestsPerSecond) {
            FrontFleet fleet = fleet(routers, targets);
            fleet.loseMessages(1);
            runCallsWithLimit(fleet, requestsPerSecond);
        }

        @Test
        public void holdWhileRoutersRestartOneByOne() {
            FrontFleet fleet = fleet(6, 13);
            fleet.targets().setRateLimit("target", OptionalDouble.of(2));
            fleet.runCalls(SETTLE_MILLIS);
            for (int router = 0; router < 6; router++) {
                fleet.kill(router, 300);
                fleet.runCalls(1_000);
            }
            runCallsWithLimit(fleet, 2);
        }

        @Test
        public void holdWhileRoutersAreDisconnectedFromTheStore() {
            FrontFleet fleet = fleet(6, 13);
            fleet.setRoutersWithoutStore(6);
            runCallsWithLimit(fleet, 1);
        }

        /**
         * Returns the cases with a limit above zero. With a limit of zero the target receives no requests for some time, so
         * that no answer can report that the limit has ended.
         */
        @DataProvider
        public Object[][] fleetsAndLimitsAboveZero() {
            return Arrays.stream(fleets())
                    .filter(values -> !values[2].equals(0.0))
                    .toArray(Object[][]::new);
        }

        @Test(dataProvider = "fleetsAndLimitsAboveZero")
        public void endSoonAfterTheTargetReportsNone(int routers, int targets, double requestsPerSecond) {
            FrontFleet fleet = fleet(routers, targets);
            int arrivalsBefore = fleet.targets().arrivals("target", fleet.nowMillis() - 3_000, fleet.nowMillis());
            runCallsWithLimit(fleet, requestsPerSecond);
            fleet.targets().setRateLimit("target", OptionalDouble.empty());
            fleet.runCalls(SETTLE_MILLIS);
            fleet.runCalls(6_000);
            int afterwards = fleet.targets().arrivals("target", fleet.nowMillis() - 6_000, fleet.nowMillis());
            assertTrue(
                    afterwards >= arrivalsBefore,
                    afterwards + " requests in 6 s, " + arrivalsBefore + " in 3 s before the limit");
        }

        @Test
        public void ofAllTargetsAreUsedAndTheOtherCallsGetARetryDelay() {
            FrontFleet fleet = fleet(6, 3);
            List.of("target", "target-1", "target-2")
                    .forEach(target -> fleet.targets().setRateLimit(target, OptionalDouble.of(6)));
            fleet.runCalls(SETTLE_MILLIS);
            FrontFleet.Outcome outcome = fleet.runCalls(10_000);
            assertTrue(outcome.served() >= 0.9 * 18 * 10, outcome.toString());
            assertTrue(outcome.refused() > 0, outcome.toString());
            assertTrue(
                    fleet.refusals().stream()
                            .allMatch(refusal -> refusal.ran() == Failure.Ran.NO && refusal.retryAfterMillis() > 0),
                    "refusals state that the request has not run, and the delay before a retry");
        }
    }

    /** Connection limits of targets, for all routers together. One connection carries one request at a time. */
    public static class Connections {
        private static final int MAX_CONNECTIONS = 100;

        @DataProvider
        public Object[][] fleets() {
            return new Object[][] {{6, 0, 50}, {6, 1, 50}, {75, 0, 50}, {75, 1, 0}, {150, 0, 50}};
        }

        @Test(dataProvider = "fleets")
        public void toOneTargetAreWithinItsBoundForAllRoutersTogether(
                int routers, int lostMessages, int minInProgress) {
            FrontFleet fleet = new FrontFleet(new FrontFleet.Layout(routers, 3, 10, 300, DAY_SECONDS, 125_000, 200), 1);
            fleet.limitConnections(MAX_CONNECTIONS, 7);
            fleet.advance(STARTUP_MILLIS);
            fleet.loseMessages(lostMessages);
            fleet.runCalls(4_000);
            int maxInProgress = fleet.targets().maxInProgress();
            assertTrue(maxInProgress <= MAX_CONNECTIONS, maxInProgress + " requests in progress at the same time");
            assertTrue(maxInProgress >= minInProgress, maxInProgress + " requests in progress at the same time");
            assertTrue(
                    fleet.refusals().stream()
                            .allMatch(refusal -> refusal.ran() == Failure.Ran.NO && refusal.retryAfterMillis() > 0),
                    "refusals state that the request has not run, and the delay before a retry");
        }
    }

    /** Requests of which one part of the prompt crashes every target that begins to answer them. */
    public static class CrashingParts {
        /** The bounds of the users for these requests, and the fleet's setting to which they refer. */
        private static final int CRASHES = 5;

        private static final int MAX_ARRIVALS_AFTERWARDS = 3;
        private static final long UNDISTURBED_MILLIS = 3_000;
        private static final long CRASHING_MILLIS = 22_000;

        private static FrontFleet fleet(int routers, int targets, double callsPerSecond) {
            FrontFleet fleet = new FrontFleet(
                    new FrontFleet.Layout(routers, 3, 10, callsPerSecond, 10 * DAY_SECONDS, 125_000, 200), 1);
            fleet.addTargets(targets - 1);
            fleet.advance(STARTUP_MILLIS);
            fleet.runCalls(4_000);
            return fleet;
        }

        /** Returns the time from which on requests with the part may hardly reach targets any more. */
        private static long refusedFromMillis(FrontFleet fleet) {
            List<Long> crashes = fleet.crashesMillis();
            return crashes.size() < CRASHES ? Long.MAX_VALUE : crashes.get(CRASHES - 1) + UNDISTURBED_MILLIS;
        }

        private static void assertRefusedAfterFiveCrashes(FrontFleet fleet) {
            int arrivals = fleet.crashingArrivalsAfter(refusedFromMillis(fleet));
            assertTrue(
                    arrivals <= MAX_ARRIVALS_AFTERWARDS,
                    arrivals + " requests arrived afterwards; crashes at " + fleet.crashesMillis());
        }

        /** Returns routers, targets, calls per second, calls with the part per second, and the fraction of lost messages. */
        @DataProvider
        public Object[][] fleets() {
            return new Object[][] {
                {6, 13, 50, 1, 0},
                {6, 13, 50, 1, 1},
                {6, 13, 50, 12, 0},
                {6, 13, 50, 12, 1},
                {7, 6, 28, 0.6, 0},
                {7, 6, 28, 0.6, 1},
                {75, 74, 208, 5, 0},
                {75, 74, 208, 5, 1},
            };
        }

        @Test(dataProvider = "fleets")
        public void areRefusedEverywhereAfterFiveCrashes(
                int routers, int targets, double callsPerSecond, double crashingCallsPerSecond, int lostMessages) {
            FrontFleet fleet = fleet(routers, targets, callsPerSecond);
            fleet.loseMessages(lostMessages);
            fleet.callWithCrashingPart(crashingCallsPerSecond);
            fleet.runCalls(CRASHING_MILLIS);
            assertRefusedAfterFiveCrashes(fleet);
        }

        @Test
        public void areRefusedByRoutersThatRestart() {
            FrontFleet fleet = fleet(6, 13, 50);
            fleet.callWithCrashingPart(1);
            fleet.runCalls(8_000);
            for (int router = 0; router < 6; router++) {
                fleet.kill(router, 300);
                fleet.runCalls(1_500);
            }
            fleet.powerOffAll(POWER_LOSS_MILLIS);
            fleet.runCalls(CRASHING_MILLIS);
            assertRefusedAfterFiveCrashes(fleet);
        }

        @Test
        public void areRefusedWhileTheStoreIsUnreachable() {
            FrontFleet fleet = fleet(6, 40, 50);
            fleet.runCalls(16_000);
            fleet.setRoutersWithoutStore(6);
            fleet.callWithCrashingPart(3);
            fleet.runCalls(8_000);
            assertRefusedAfterFiveCrashes(fleet);
        }

        /** Guards against two routers that each report one of several targets that ended at the same moment. */
        @Test(dataProvider = "seeds")
        public void areNotAssumedWhereTargetsFailTogether(int seed) {
            FrontFleet fleet =
                    new FrontFleet(new FrontFleet.Layout(6, 3, 10, 50, 10 * DAY_SECONDS, 125_000, 200), seed);
            fleet.addTargets(12);
            fleet.advance(STARTUP_MILLIS);
            fleet.callWithCrashingPart(0);
            for (int i = 0; i < 4; i++) {
                fleet.runCalls(4_000);
                fleet.crashTargets(4);
            }
            fleet.runCalls(4_000);
            assertEquals(
                    fleet.refusals().stream()
                            .filter(failure -> failure.kind() == ErrorKind.QUARANTINED)
                            .count(),
                    0);
        }

        @DataProvider
        public Object[][] seeds() {
            return new Object[][] {{1}, {2}, {3}, {4}, {5}};
        }

        @Test(dataProvider = "fleets")
        public void doNotTakeSoundRequestsWithThem(
                int routers, int targets, double callsPerSecond, double crashingCallsPerSecond, int lostMessages) {
            FrontFleet fleet = fleet(routers, targets, callsPerSecond);
            fleet.loseMessages(lostMessages);
            fleet.callWithCrashingPart(crashingCallsPerSecond);
            fleet.runCalls(CRASHING_MILLIS);
            assertEquals(
                    fleet.refusals().stream()
                            .filter(failure -> failure.kind() == ErrorKind.QUARANTINED)
                            .count(),
                    0);
        }
    }

    /** Routers that restart. */
    public static class Restarts {
        /**
         * Guards against stale state after a restart: a restarted router must not accept a withdrawn key or use a target that
         * was drained.
         */
        @Test
        public void whileTheStoreIsAwayUseNoKeyAndNoTargetOfBefore() {
            FrontFleet fleet = smallFleet(1);
            fleet.runCalls(2_000);
            fleet.replaceKeys(9);
            fleet.drainTarget();
            fleet.advance(3_000);
            fleet.setRoutersWithoutStore(6);
            for (int router = 0; router < 6; router++) {
                fleet.kill(router, 500);
            }
            FrontFleet.Outcome duringOutage = fleet.runCalls(3_000);
            assertEquals(duringOutage.served(), 0);
            fleet.setRoutersWithoutStore(0);
            FrontFleet.Outcome afterOutage = fleet.runCalls(5_000);
            assertEquals(afterOutage.served(), 0, "the old keys are no longer valid");
            assertEquals(fleet.routersUsingTheTarget(), List.of());
        }

        /**
         * Guards against treating silence as a failure: requests of a router whose messages are lost must not be aborted or
         * sent a second time.
         */
        @Test
        public void ofNobodyFollowFromSilence() {
            FrontFleet fleet = smallFleet(1);
            fleet.runCalls(2_000);
            fleet.loseMessages(1);
            fleet.runCalls(6_000);
            fleet.loseMessages(0);
            fleet.advance(2_000);
            FrontFleet.Outcome afterwards = fleet.runCalls(3_000);
            assertTrue(afterwards.servedFraction() > 0.99, afterwards.toString());
            assertEquals(fleet.sentMoreThanOnce(), List.of());
        }
    }

    /** A store that comes back from an older copy. */
    public static class Restores {
        private static final long AWAY_MILLIS = 1_000;

        private static FrontFleet fleet(FrontFleet.Layout layout, int seed) {
            FrontFleet fleet = new FrontFleet(layout, seed);
            fleet.nameEras();
            return fleet;
        }

        /** Of the requests owed, fewer than this part may be refused for want of tokens. */
        private static final double MIN_SERVED_FRACTION = 0.99;

        /** Time limit for a configuration after the store's return: config_apply_ms and contact_ms of these settings. */
        private static final long CONFIG_APPLY_MILLIS = 3_000 + 3_000;

        @DataProvider
        public Object[][] fleetSizes() {
            return new Object[][] {{3}, {7}, {30}};
        }

        /**
         * The store gave out revisions again that the routers knew from before. They continued their watches from these and
         * skipped a configuration for good, so that a withdrawn key went on to work.
         */
        @Test(dataProvider = "fleetSizes")
        public void hideNoConfigurationWhoseRevisionWasGivenOutBefore(int routers) {
            FrontFleet fleet = fleet(new FrontFleet.Layout(routers, 3, 2, 10, 600, 125_000, 200), 1);
            fleet.advance(STARTUP_MILLIS);
            fleet.copyStore();
            fleet.configure(8);
            fleet.configure(9);
            fleet.advance(700);
            fleet.restoreStore();
            fleet.advance(300);
            fleet.configure(9);
            fleet.advance(300);
            fleet.configure(12);
            fleet.advance(CONFIG_APPLY_MILLIS);
            assertEquals(fleet.routersBehind(12), List.of());
        }

        /** What happens to the routers while the store comes back. */
        private enum Beside {
            NOTHING,
            /** The router that had committed the last changes ends, so that only the holders of shares know of them. */
            COMBINER_KILLED,
            /** No router is left that knows more than the copy. */
            ALL_KILLED,
            /** The router that had committed the last changes goes on with what it knows, and hears of the era late. */
            COMBINER_CUT_OFF,
            MESSAGES_LOST,
            SECOND_RESTORE
        }

        @DataProvider
        public Object[][] restores() {
            List<Object[]> rows = new ArrayList<>();
            for (Beside beside : Beside.values()) {
                rows.add(new Object[] {beside, 3, 12, 4_000});
                rows.add(new Object[] {beside, 3, 20, 2_000});
                rows.add(new Object[] {beside, 7, 12, 4_000});
                rows.add(new Object[] {beside, 7, 20, 6_000});
            }
            return rows.toArray(new Object[0][]);
        }

        /**
         * The ledger of the copy had smaller grants and totals than the routers knew. It granted the difference once more, and
         * routers whose settlements it refused dropped what they had spent.
         */
        @Test(dataProvider = "restores")
        public void grantNoTokensThatWereGrantedBefore(
                Beside beside, int routers, int budgetSeconds, int copyAgeMillis) {
            for (int seed = 1; seed <= 2; seed++) {
                FrontFleet fleet = fleet(new FrontFleet.Layout(routers, 3, 4, 60, budgetSeconds, 125_000, 200), seed);
                fleet.advance(3_000);
                fleet.runCalls(seed * 2_000);
                fleet.copyStore();
                fleet.runCalls(copyAgeMillis);
                restore(fleet, beside, routers);
                fleet.runCalls(25_000);
                assertEquals(fleet.overspent(), List.of(), "seed " + seed);
            }
        }

        private static void restore(FrontFleet fleet, Beside beside, int routers) {
            // While the store is away, no router needs to regard itself as the combiner.
            int combiner = fleet.combiner();
            if (beside == Beside.COMBINER_CUT_OFF) {
                fleet.isolate(combiner);
            }
            fleet.setRoutersWithoutStore(routers);
            fleet.runCalls(AWAY_MILLIS);
            if (beside == Beside.COMBINER_KILLED) {
                fleet.kill(combiner, 1_500);
            }
            if (beside == Beside.ALL_KILLED) {
                for (int router = 0; router < routers; router++) {
                    fleet.kill(router, 1_500);
                }
            }
            fleet.loseMessages(beside == Beside.MESSAGES_LOST ? 0.2 : 0);
            fleet.restoreStore();
            fleet.reconnectOthers();
            if (beside == Beside.COMBINER_CUT_OFF) {
                fleet.runCalls(4_000);
                fleet.reconnectAll();
            }
            if (beside == Beside.SECOND_RESTORE) {
                fleet.runCalls(1_500);
                fleet.restoreStore();
            }
        }

        /** Calls are served from the shares while the ledger is restored, and no tokens are forfeited. */
        @Test(dataProvider = "fleetSizes")
        public void refuseNoCallForWantOfTokens(int routers) {
            FrontFleet fleet = fleet(new FrontFleet.Layout(routers, 3, 4, 60, 100, 125_000, 200), 1);
            fleet.advance(STARTUP_MILLIS);
            fleet.runCalls(10_000);
            fleet.copyStore();
            fleet.runCalls(3_000);
            restore(fleet, Beside.NOTHING, routers);
            FrontFleet.Outcome outcome = fleet.runCalls(20_000);
            assertTrue(outcome.servedFraction() >= MIN_SERVED_FRACTION, outcome + " " + fleet.refusals());
            for (int workspace = 0; workspace < 4; workspace++) {
                assertEquals(fleet.forfeitedSeconds(workspace), 0.0, "workspace " + workspace);
            }
        }

        /** A limit that the configuration raised after the copy was made is in the ledger again soon after. */
        @Test
        public void undoNoTopUp() {
            FrontFleet fleet = fleet(new FrontFleet.Layout(6, 3, 2, 30, 100, 125_000, 200), 1);
            fleet.advance(STARTUP_MILLIS);
            fleet.copyStore();
            fleet.configure(9);
            fleet.runCalls(2_000);
            assertEquals(fleet.limitVersion(0), 9);
            fleet.restoreStore();
            fleet.configure(9);
            fleet.runCalls(4_000);
            assertEquals(fleet.limitVersion(0), 9);
        }

        /** The entry of a router that the store lost before the router had read it was never written again. */
        @Test
        public void removeNoRouterFromTheList() {
            FrontFleet fleet = fleet(new FrontFleet.Layout(4, 2, 2, 30, 100, 125_000, 200), 1);
            fleet.copyStore();
            fleet.advance(STARTUP_MILLIS);
            fleet.restoreStore();
            fleet.configure(1);
            fleet.advance(12_000);
            assertEquals(fleet.listedRouters(), 4);
        }
    }

    /** Overlapping faults, chosen at random from a seed. */
    public static class RandomFaults {
        private static final int ROUTERS = 6;
        private static final int STEPS = 60;

        /** Budgets run out within the test, so that overspending is detected. */
        private static final double BUDGET_SECONDS = 20;

        @DataProvider
        public Object[][] seeds() {
            Object[][] seeds = new Object[12][1];
            Arrays.setAll(seeds, i -> new Object[] {i + 1});
            return seeds;
        }

        @Test(dataProvider = "seeds")
        public void neverLeadToOverspendingWhenTheStoreIsRestoredToo(int seed) {
            UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
            FrontFleet fleet =
                    new FrontFleet(new FrontFleet.Layout(ROUTERS, 3, 4, 60, BUDGET_SECONDS, 125_000, 200), seed);
            fleet.nameEras();
            fleet.advance(3_000);
            fleet.copyStore();
            for (int step = 0; step < STEPS; step++) {
                switch (random.nextInt(12)) {
                    case 0 -> fleet.kill(random.nextInt(ROUTERS), 200 + random.nextInt(2_000));
                    case 1 -> fleet.setRoutersWithoutStore(random.nextInt(ROUTERS + 1));
                    case 2 -> fleet.setRoutersWithoutStore(0);
                    case 3 -> fleet.loseMessages(random.nextInt(2) * 0.2);
                    case 4, 5, 6 -> fleet.copyStore();
                    case 7 -> fleet.restoreStore();
                    default -> {
                        // No new fault in this step.
                    }
                }
                fleet.runCalls(500);
                assertEquals(fleet.overspent(), List.of(), "after step " + step);
            }
        }

        @Test(dataProvider = "seeds")
        public void neverLeadToOverspendingOfABudget(int seed) {
            UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
            FrontFleet fleet =
                    new FrontFleet(new FrontFleet.Layout(ROUTERS, 3, 4, 60, BUDGET_SECONDS, 125_000, 200), seed);
            fleet.advance(3_000);
            for (int step = 0; step < STEPS; step++) {
                switch (random.nextInt(12)) {
                    case 0 -> fleet.kill(random.nextInt(ROUTERS), 200 + random.nextInt(2_000));
                    case 1 -> fleet.setRoutersWithoutStore(random.nextInt(ROUTERS + 1));
                    case 2 -> fleet.setRoutersWithoutStore(0);
                    case 3 -> fleet.loseMessages(random.nextInt(2) * 0.2);
                    case 4 -> {
                        if (random.nextInt(4) == 0) {
                            fleet.powerOffAll(200 + random.nextInt(2_000));
                        }
                    }
                    default -> {
                        // No new fault in this step.
                    }
                }
                fleet.runCalls(500);
                assertEquals(fleet.overspent(), List.of(), "after step " + step);
            }
        }
    }
}
