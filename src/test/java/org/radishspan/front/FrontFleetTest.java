package org.radishspan.front;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** What callers get of a whole deployment. */
public class FrontFleetTest {
    private static final long SETTLE_DOWN_MILLIS = 15_000;
    private static final long LOSS_MILLIS = 1_400;

    /** By what part budgets exceed what workspaces need in a day. */
    private static final double SLACK = 0.3;

    private static final long DAY_SECONDS = 48;

    /** The users' first deployments: six routers, ten workspaces, 50 calls a second that need tokens. */
    private static FrontFleet small() {
        FrontFleet fleet =
                new FrontFleet(new FrontFleet.Layout(6, 3, 10, 50, DAY_SECONDS * (1 + SLACK), 125_000, 200), 1);
        fleet.pass(SETTLE_DOWN_MILLIS);
        return fleet;
    }

    /** All VMs of a small deployment lose power. */
    public static class LossOfPower {
        /** The part of calls that is served at least, once the fleet has had the time to recover. */
        private static final double LEAST_SERVED = 0.25;

        private static final long RECOVERY_MILLIS = 12_000;

        @Test(groups = "known-red")
        public void takesNoMoreThanTheSlackOfAnyBudget() {
            FrontFleet fleet = small();
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
            FrontFleet fleet = small();
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

        @Test(groups = "known-red")
        public void serveWhatTheBudgetsAfford() {
            FrontFleet fleet =
                    new FrontFleet(new FrontFleet.Layout(75, 3, 24, 208, DAY_SECONDS * (1 + SLACK), 1_250, 500), 1);
            fleet.pass(SETTLE_DOWN_MILLIS);
            FrontFleet.Outcome outcome = fleet.serve(10_000);
            assertTrue(outcome.servedFraction() >= 1 - MOST_REFUSED, outcome.toString());
        }
    }
}
