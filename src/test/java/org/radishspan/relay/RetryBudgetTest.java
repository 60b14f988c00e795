package org.radishspan.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the bound on repeated sends. */
public class RetryBudgetTest {
    private static final RetryBudget.Bound BOUND = new RetryBudget.Bound(0.2, 10_000, 50);
    private static final int ROUTERS = 5;

    private static int takeUpTo(RetryBudget budget, int attempts, long nowMillis) {
        int taken = 0;
        for (int i = 0; i < attempts; i++) {
            taken += budget.tryTake("service", ROUTERS, nowMillis) ? 1 : 0;
        }
        return taken;
    }

    @Test
    public void allRoutersTogetherStayWithinTheSlackIfThereAreNoRequests() {
        int total = 0;
        for (int router = 0; router < ROUTERS; router++) {
            total += takeUpTo(new RetryBudget(BOUND), 100, 5_000);
        }
        assertTrue(total > 0 && total <= BOUND.slack(), "taken in total: " + total);
    }

    @Test
    public void requestsRaiseTheBoundByTheRatio() {
        RetryBudget budget = new RetryBudget(BOUND);
        int slackTaken = takeUpTo(budget, 100, 5_000);
        for (int i = 0; i < 100; i++) {
            budget.onRequest("service", 5_000);
        }
        assertEquals(takeUpTo(budget, 100, 5_000), 20, "a fifth of 100 beyond the " + slackTaken + " of the slack");
    }

    @Test
    public void boundHoldsInEverySlidingWindow() {
        RetryBudget budget = new RetryBudget(BOUND);
        List<Long> takenAtMillis = new ArrayList<>();
        for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 100) {
            long at = nowMillis;
            IntStream.range(0, takeUpTo(budget, 3, nowMillis)).forEach(i -> takenAtMillis.add(at));
            long inWindow = takenAtMillis.stream()
                    .filter(taken -> taken > at - BOUND.windowMillis())
                    .count();
            assertTrue(inWindow <= BOUND.slack() / ROUTERS, inWindow + " in the window up to " + at);
        }
        assertTrue(takenAtMillis.size() > BOUND.slack() / ROUTERS, "repeated sends before the window do not count");
    }

    @Test
    public void everyServiceHasItsOwnBudget() {
        RetryBudget budget = new RetryBudget(BOUND);
        takeUpTo(budget, 100, 5_000);
        assertTrue(budget.tryTake("other", ROUTERS, 5_000));
    }
}
