package org.radishspan.front;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that calls get tokens where the traffic is: nearly all callers of the largest workspace are at one small router, and
 * the store is cut for a third of the routers.
 */
public class TokensThroughPeersTest {
    private static final int ROUTERS = 83;
    private static final int ROUTERS_WITHOUT_STORE = 29;
    private static final int TARGETS = 40;
    private static final long STARTUP_MILLIS = 15_000;
    private static final long CUT_MILLIS = 9_000;
    private static final int CALLS_PER_SECOND = 208;
    private static final int RESTARTED_ROUTERS = 13;
    private static final long OUTAGE_MILLIS = 10_000;

    /** Time after an outage in which calls may still be refused, as without restarts. */
    private static final long RECOVERY_MILLIS = 2_000;

    /** Calls of the largest workspace at one router: 1.7 times as many as it usually has at all routers together. */
    private static final int CALLS_PER_SECOND_AT_ONE_ROUTER = 90;

    /** Of the calls during the cut, at most this part may be refused for lack of tokens that the budgets still have. */
    private static final double MAX_REFUSED_FRACTION = 0.01;

    private static FrontFleet fleet(double budgetSeconds, int seed) {
        FrontFleet fleet = new FrontFleet(
                new FrontFleet.Layout(ROUTERS, 3, 24, CALLS_PER_SECOND, budgetSeconds, 1_250, 500), seed);
        fleet.addTargets(TARGETS - 1);
        fleet.advance(STARTUP_MILLIS);
        fleet.runCalls(3_000);
        return fleet;
    }

    private static void cutStore(FrontFleet fleet, boolean refusing) {
        int combiner = fleet.combiner();
        if (refusing) {
            fleet.refuseStore(ROUTERS_WITHOUT_STORE);
        } else {
            fleet.setRoutersWithoutStore(ROUTERS_WITHOUT_STORE);
        }
        fleet.setStoreDisconnected(combiner, true);
    }

    /** Returns how many calls were refused for each reason since a number of refusals. */
    private static Map<String, Integer> reasons(List<Failure> refusals) {
        Map<String, Integer> reasons = new TreeMap<>();
        refusals.forEach(failure -> reasons.merge(failure.kind() + " " + failure.message(), 1, Integer::sum));
        return reasons;
    }

    /** Returns whether the store refuses the cut routers at once, and the router with most of the calls. */
    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {{true, 1}, {true, 40}, {false, 1}, {false, 40}};
    }

    /**
     * Guards against refusals while millions of tokens are unspent: the router that committed for all others had lost the
     * store and kept the changes, and keepers did not answer.
     */
    @Test(dataProvider = "cuts")
    public void callsAreServedWhileAThirdOfTheRoutersLackTheStore(boolean refusing, int busyRouter) {
        FrontFleet fleet = fleet(120, 1);
        cutStore(fleet, refusing);
        fleet.callAlsoAt(busyRouter, CALLS_PER_SECOND_AT_ONE_ROUTER);
        int refusedBefore = fleet.refusals().size();
        FrontFleet.Outcome outcome = fleet.runCalls(CUT_MILLIS);
        List<Failure> refusals =
                fleet.refusals().subList(refusedBefore, fleet.refusals().size());
        assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome + " " + reasons(refusals));
    }

    /**
     * Guards against refusals while millions of tokens are unspent (SHORT, issue 62): routers that had restarted while the store
     * was away wrote the ledger themselves when it was back, and most writes of all routers conflicted.
     */
    @Test(dataProvider = "seeds")
    public void callsAreServedSoonAfterAnOutageInWhichRoutersRestarted(int seed) {
        FrontFleet fleet = fleet(120, seed);
        fleet.refuseStore(ROUTERS);
        for (int router = 0; router < ROUTERS; router += ROUTERS / RESTARTED_ROUTERS) {
            fleet.kill(router, 500);
        }
        fleet.runCalls(OUTAGE_MILLIS);
        fleet.setRoutersWithoutStore(0);
        fleet.takeStoreCalls();
        FrontFleet.Outcome recovery = fleet.runCalls(RECOVERY_MILLIS);
        System.out.printf("seed %d, recovery: %s, calls of the store %s%n", seed, recovery, fleet.takeStoreCalls());
        int refusedBefore = fleet.refusals().size();
        FrontFleet.Outcome outcome = fleet.runCalls(3_000);
        List<Failure> refusals =
                fleet.refusals().subList(refusedBefore, fleet.refusals().size());
        assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome + " " + reasons(refusals));
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}, {5}};
    }

    /** Guards against overspending by changes that were passed on although a write of unknown outcome contained them. */
    @Test(dataProvider = "cuts")
    public void noBudgetIsOverspentWhenChangesMoveBetweenRouters(boolean refusing, int busyRouter) {
        FrontFleet fleet = fleet(14, 2);
        fleet.callAlsoAt(busyRouter, CALLS_PER_SECOND_AT_ONE_ROUTER);
        for (int i = 0; i < 4; i++) {
            cutStore(fleet, refusing);
            fleet.runCalls(1_300);
            fleet.setRoutersWithoutStore(0);
            fleet.runCalls(700);
            assertEquals(fleet.overspent(), List.of(), "after cut " + i);
        }
        assertTrue(
                fleet.refusals().stream().anyMatch(failure -> failure.kind() == ErrorKind.BUDGET_EXHAUSTED),
                "the budgets should run out, so that overspending would be seen");
    }

    /** Guards against store calls that grow with the cut: changes must not circle between routers that all lack the store. */
    @Test
    public void aCutOfAllRoutersCausesNoMoreStoreCallsThanBefore() {
        FrontFleet fleet = fleet(120, 1);
        fleet.refuseStore(ROUTERS);
        fleet.runCalls(2_000);
        fleet.takeStoreCalls();
        fleet.runCalls(4_000);
        int calls = fleet.takeStoreCalls().values().stream().mapToInt(i -> i).sum();
        assertTrue(calls <= 4 * 333, calls + " calls in 4 s");
        fleet.setRoutersWithoutStore(0);
        fleet.runCalls(2_000);
        FrontFleet.Outcome outcome = fleet.runCalls(3_000);
        assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome.toString());
    }
}
