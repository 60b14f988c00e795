package org.radishspan.front;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.error.Failure;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** What callers get of a whole deployment. */
public class FrontFleetTest {
    private static final long SETTLE_DOWN_MILLIS = 15_000;
    private static final long LOSS_MILLIS = 1_400;

    /** By what part budgets exceed what workspaces need in a day. */
    private static final double SLACK = 0.3;

    private static final long DAY_SECONDS = 48;

    /** The users' first deployments: six routers, ten workspaces, 50 calls a second that need tokens. */
    private static FrontFleet small(int seed) {
        FrontFleet fleet =
                new FrontFleet(new FrontFleet.Layout(6, 3, 10, 50, DAY_SECONDS * (1 + SLACK), 125_000, 200), seed);
        fleet.pass(SETTLE_DOWN_MILLIS);
        return fleet;
    }

    /** All VMs of a small deployment lose power. */
    public static class LossOfPower {
        /** The part of calls that is served at least, once the fleet has had the time to recover. */
        private static final double LEAST_SERVED = 0.25;

        private static final long RECOVERY_MILLIS = 12_000;

        @DataProvider
        public Object[][] seeds() {
            return new Object[][] {{1}, {2}, {3}, {4}, {5}};
        }

        @Test(dataProvider = "seeds")
        public void takesNoMoreThanTheSlackOfAnyBudget(int seed) {
            FrontFleet fleet = small(seed);
            fleet.serve(24_000);
            fleet.powerOffAll(LOSS_MILLIS);
            fleet.pass(LOSS_MILLIS + 1_000);
            for (int workspace = 0; workspace < 10; workspace++) {
                double seconds = fleet.forfeitedSeconds(workspace);
                assertTrue(
                        seconds <= SLACK * DAY_SECONDS,
                        "of workspace " + workspace + " " + seconds + " s of demand are forfeited");
            }
        }

        @Test
        public void twiceInADayLeavesTokensForCallsAfterTheRecovery() {
            FrontFleet fleet = small(1);
            fleet.serve(12_000);
            fleet.powerOffAll(LOSS_MILLIS);
            fleet.serve(12_000);
            fleet.cutStore(4);
            fleet.serve(8_000);
            fleet.cutStore(0);
            fleet.serve(1_000);
            fleet.powerOffAll(LOSS_MILLIS);
            fleet.serve(LOSS_MILLIS + RECOVERY_MILLIS);
            FrontFleet.Outcome outcome = fleet.serve(3_000);
            assertTrue(outcome.servedFraction() >= LEAST_SERVED, outcome.toString());
        }
    }

    /** A deployment of many routers, most of them on slow links. */
    public static class ManyRouters {
        private static final double MOST_REFUSED = 0.01;

        /** Within it a configuration is in force, as the settings of the fleet say. */
        private static final long CONFIG_APPLY_MILLIS = 3_000;

        /** What all routers together may ask of the store: a sixth of the 2,000 reads a second that the users' smaller stores take. */
        private static final int STORE_CALLS_PER_SECOND = 333;

        private static FrontFleet grown() {
            FrontFleet fleet =
                    new FrontFleet(new FrontFleet.Layout(75, 3, 24, 208, DAY_SECONDS * (1 + SLACK), 1_250, 500), 1);
            fleet.pass(SETTLE_DOWN_MILLIS);
            return fleet;
        }

        /** All 75 routers wrote the ledger and kept every budget when they started at one moment. */
        @Test
        public void serveAgainSoonAfterALossOfPower() {
            FrontFleet fleet = grown();
            fleet.serve(5_000);
            fleet.powerOffAll(LOSS_MILLIS);
            fleet.serve(LOSS_MILLIS + 2_000);
            FrontFleet.Outcome outcome = fleet.serve(3_000);
            assertTrue(outcome.servedFraction() >= 1 - MOST_REFUSED, outcome.toString());
        }

        /** All 95 routers called a store that refuses them more than 1,000 times a second. */
        @Test
        public void callAStoreThatRefusesThemNoOftenerThanItBears() {
            FrontFleet fleet =
                    new FrontFleet(new FrontFleet.Layout(95, 5, 24, 208, DAY_SECONDS * (1 + SLACK), 1_250, 500), 1);
            fleet.pass(SETTLE_DOWN_MILLIS);
            fleet.serve(3_000);
            fleet.refuseStore(95);
            fleet.serve(2_000);
            fleet.takeStoreCalls();
            fleet.serve(8_000);
            int calls =
                    fleet.takeStoreCalls().values().stream().mapToInt(i -> i).sum();
            assertTrue(calls <= 8 * STORE_CALLS_PER_SECOND, calls + " calls in 8 s");
            fleet.cutStore(0);
            fleet.configure(9);
            fleet.serve(CONFIG_APPLY_MILLIS);
            assertEquals(fleet.routersBehind(9), List.of(), "all hear of it soon after the store's return");
            FrontFleet.Outcome outcome = fleet.serve(3_000);
            assertTrue(outcome.servedFraction() >= 1 - MOST_REFUSED, outcome.toString());
        }

        @Test
        public void serveWhatTheBudgetsAfford() {
            FrontFleet fleet =
                    new FrontFleet(new FrontFleet.Layout(75, 3, 24, 208, DAY_SECONDS * (1 + SLACK), 1_250, 500), 1);
            fleet.pass(SETTLE_DOWN_MILLIS);
            FrontFleet.Outcome outcome = fleet.serve(10_000);
            assertTrue(outcome.servedFraction() >= 1 - MOST_REFUSED, outcome.toString());
        }
    }

    /** Configurations that come later. */
    public static class Configurations {
        /** A limit that was not recorded under its new version could be replaced by that of an older one, adopted late. */
        @Test
        public void recordALimitOfTheSameHeightUnderTheirVersion() {
            FrontFleet fleet = small(1);
            fleet.configure(7);
            fleet.pass(2_000);
            for (int workspace = 0; workspace < 10; workspace++) {
                assertEquals(fleet.limitVersion(workspace), 7);
            }
        }
    }

    /** Targets that name the requests a second that they take from all routers together. */
    public static class RateLimits {
        /** The time after which the limit has to hold, the window in which it is looked at, and what a window may hold beyond it. */
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
            fleet.pass(SETTLE_DOWN_MILLIS);
            fleet.serve(3_000);
            return fleet;
        }

        /** Fails if the first target gets more than it takes; returns what became of the calls meanwhile. */
        private static FrontFleet.Outcome serveWithin(FrontFleet fleet, double requestsPerSecond) {
            fleet.targets().setRateLimit("target", OptionalDouble.of(requestsPerSecond));
            fleet.serve(SETTLE_MILLIS);
            long fromMillis = fleet.nowMillis();
            FrontFleet.Outcome outcome = fleet.serve(LIMITED_MILLIS);
            int most = fleet.targets().mostArrivals("target", fromMillis, fleet.nowMillis(), WINDOW_MILLIS);
            double allowed = WINDOW_FACTOR * requestsPerSecond * WINDOW_MILLIS / 1_000 + WINDOW_SLACK;
            assertTrue(most <= allowed, most + " requests in a window of " + WINDOW_MILLIS + " ms");
            return outcome;
        }

        @Test(dataProvider = "fleets")
        public void ofOneTargetHoldForAllRoutersTogether(int routers, int targets, double requestsPerSecond) {
            FrontFleet.Outcome outcome = serveWithin(fleet(routers, targets), requestsPerSecond);
            assertTrue(outcome.servedFraction() > 0.99, "the other targets take the rest: " + outcome);
        }

        @Test(dataProvider = "fleets")
        public void holdWhereNoRouterHearsAnother(int routers, int targets, double requestsPerSecond) {
            FrontFleet fleet = fleet(routers, targets);
            fleet.loseMessages(1);
            serveWithin(fleet, requestsPerSecond);
        }

        @Test
        public void holdWhileRoutersStartAgainOneAfterTheOther() {
            FrontFleet fleet = fleet(6, 13);
            fleet.targets().setRateLimit("target", OptionalDouble.of(2));
            fleet.serve(SETTLE_MILLIS);
            for (int router = 0; router < 6; router++) {
                fleet.kill(router, 300);
                fleet.serve(1_000);
            }
            serveWithin(fleet, 2);
        }

        @Test
        public void holdWhereRoutersAreCutFromTheStore() {
            FrontFleet fleet = fleet(6, 13);
            fleet.cutStore(6);
            serveWithin(fleet, 1);
        }

        /** A target that takes nothing is asked by nobody for a while, so that nobody hears of the end of its limit. */
        @DataProvider
        public Object[][] fleetsAndLimitsAboveZero() {
            return Arrays.stream(fleets())
                    .filter(values -> !values[2].equals(0.0))
                    .toArray(Object[][]::new);
        }

        @Test(dataProvider = "fleetsAndLimitsAboveZero")
        public void endSoonAfterTheTargetNamesNone(int routers, int targets, double requestsPerSecond) {
            FrontFleet fleet = fleet(routers, targets);
            int usual = fleet.targets().arrivals("target", fleet.nowMillis() - 3_000, fleet.nowMillis());
            serveWithin(fleet, requestsPerSecond);
            fleet.targets().setRateLimit("target", OptionalDouble.empty());
            fleet.serve(SETTLE_MILLIS);
            fleet.serve(6_000);
            int later = fleet.targets().arrivals("target", fleet.nowMillis() - 6_000, fleet.nowMillis());
            assertTrue(later >= usual, later + " requests in 6 s, " + usual + " in 3 s before the limit");
        }

        @Test
        public void ofAllTargetsAreUsedAndTheRestIsToldWhenToComeBack() {
            FrontFleet fleet = fleet(6, 3);
            List.of("target", "target-1", "target-2")
                    .forEach(target -> fleet.targets().setRateLimit(target, OptionalDouble.of(6)));
            fleet.serve(SETTLE_MILLIS);
            FrontFleet.Outcome outcome = fleet.serve(10_000);
            assertTrue(outcome.served() >= 0.9 * 18 * 10, outcome.toString());
            assertTrue(outcome.refused() > 0, outcome.toString());
            assertTrue(
                    fleet.refusals().stream()
                            .allMatch(refusal -> refusal.ran() == Failure.Ran.NO && refusal.retryAfterMillis() > 0),
                    "refusals say that the request has not run, and when to come back");
        }
    }

    /** Targets that take so many connections from all routers together; one carries one request at a time. */
    public static class Connections {
        private static final int MAX_CONNECTIONS = 100;

        @DataProvider
        public Object[][] fleets() {
            return new Object[][] {{6, 0, 50}, {6, 1, 50}, {75, 0, 50}, {75, 1, 0}, {150, 0, 50}};
        }

        @Test(dataProvider = "fleets")
        public void toOneTargetAreWithinItsBoundForAllRoutersTogether(int routers, int lostMessages, int leastAtOnce) {
            FrontFleet fleet = new FrontFleet(new FrontFleet.Layout(routers, 3, 10, 300, DAY_SECONDS, 125_000, 200), 1);
            fleet.limitConnections(MAX_CONNECTIONS, 7);
            fleet.pass(SETTLE_DOWN_MILLIS);
            fleet.loseMessages(lostMessages);
            fleet.serve(4_000);
            int most = fleet.targets().mostAtOnce();
            assertTrue(most <= MAX_CONNECTIONS, most + " at once");
            assertTrue(most >= leastAtOnce, most + " at once");
            assertTrue(
                    fleet.refusals().stream()
                            .allMatch(refusal -> refusal.ran() == Failure.Ran.NO && refusal.retryAfterMillis() > 0),
                    "refusals say that the request has not run, and when to come back");
        }
    }

    /** Routers that start again. */
    public static class Restarts {
        /** Other operators saw it: after a restart a key that had been withdrawn, or a server that had left, was in use. */
        @Test
        public void whileTheStoreIsAwayUseNoKeyAndNoTargetOfBefore() {
            FrontFleet fleet = small(1);
            fleet.serve(2_000);
            fleet.withdrawKeys(9);
            fleet.drainTarget();
            fleet.pass(3_000);
            fleet.cutStore(6);
            for (int router = 0; router < 6; router++) {
                fleet.kill(router, 500);
            }
            FrontFleet.Outcome away = fleet.serve(3_000);
            assertEquals(away.served(), 0);
            fleet.cutStore(0);
            FrontFleet.Outcome back = fleet.serve(5_000);
            assertEquals(back.served(), 0, "the keys are withdrawn");
            assertEquals(fleet.routersUsingTheTarget(), List.of());
        }

        /** Other operators saw running work of a server that was only silent started again elsewhere, or given up. */
        @Test
        public void ofNobodyFollowFromSilence() {
            FrontFleet fleet = small(1);
            fleet.serve(2_000);
            fleet.loseMessages(1);
            fleet.serve(6_000);
            fleet.loseMessages(0);
            fleet.pass(2_000);
            FrontFleet.Outcome later = fleet.serve(3_000);
            assertTrue(later.servedFraction() > 0.99, later.toString());
            assertEquals(fleet.sentTwice(), List.of());
        }
    }

    /** Faults that overlap, drawn by a seed. */
    public static class RandomFaults {
        private static final int ROUTERS = 6;
        private static final int STEPS = 60;

        /** Budgets that end within the run, so that overspending shows. */
        private static final double BUDGET_SECONDS = 20;

        @DataProvider
        public Object[][] seeds() {
            Object[][] seeds = new Object[12][1];
            Arrays.setAll(seeds, i -> new Object[] {i + 1});
            return seeds;
        }

        @Test(dataProvider = "seeds")
        public void neverLeadPastTheLimitOfABudget(int seed) {
            UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
            FrontFleet fleet =
                    new FrontFleet(new FrontFleet.Layout(ROUTERS, 3, 4, 60, BUDGET_SECONDS, 125_000, 200), seed);
            fleet.pass(3_000);
            for (int step = 0; step < STEPS; step++) {
                switch (random.nextInt(12)) {
                    case 0 -> fleet.kill(random.nextInt(ROUTERS), 200 + random.nextInt(2_000));
                    case 1 -> fleet.cutStore(random.nextInt(ROUTERS + 1));
                    case 2 -> fleet.cutStore(0);
                    case 3 -> fleet.loseMessages(random.nextInt(2) * 0.2);
                    case 4 -> {
                        if (random.nextInt(4) == 0) {
                            fleet.powerOffAll(200 + random.nextInt(2_000));
                        }
                    }
                    default -> {
                        // Time passes without another fault.
                    }
                }
                fleet.serve(500);
                assertEquals(fleet.overspent(), List.of(), "after step " + step);
            }
        }
    }
}
