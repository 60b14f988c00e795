package org.radishspan.bench;

/**
 * Counts the tokens that all routers together have billed and reserved, with immediate knowledge of every router.
 *
 * <p>It updates the counts of a {@link BudgetResult}. From these totals it detects false refusals: calls that were refused
 * although the budget still had their worst case unspent and unreserved.
 */
final class SpendingTracker {
    private final BudgetScenario scenario;
    private final BudgetResult result;
    private final long[] billed;
    private final long[] reserved;

    SpendingTracker(BudgetScenario scenario, BudgetResult result) {
        this.scenario = scenario;
        this.result = result;
        this.billed = new long[scenario.demand().budgets()];
        this.reserved = new long[scenario.demand().budgets()];
    }

    private double spentFraction(int budget) {
        return billed[budget] / (double) scenario.limitTokens(budget);
    }

    void onCall(Demand.Call call) {
        result.calls++;
        if (spentFraction(call.budget()) < BudgetResult.NEARLY_SPENT) {
            result.callsBelow98++;
        }
        if (spentFraction(call.budget()) < BudgetResult.THREE_QUARTERS) {
            result.callsBelow75++;
        }
    }

    void onAdmitted(Demand.Call call) {
        reserved[call.budget()] += call.worstCaseTokens();
    }

    void onBilled(Demand.Call call) {
        result.billedCalls++;
        onReleased(call);
        billed[call.budget()] += call.tokens();
        long overspent = billed[call.budget()] - scenario.limitTokens(call.budget());
        result.overspentTokens = Math.max(result.overspentTokens, overspent);
    }

    /** Releases the reservation of a call that was billed or that ended without a bill. */
    void onReleased(Demand.Call call) {
        reserved[call.budget()] -= call.worstCaseTokens();
    }

    void onRefused(Demand.Call call) {
        result.refusedCalls++;
        long availableTokens = scenario.limitTokens(call.budget()) - billed[call.budget()] - reserved[call.budget()];
        boolean falseRefusal = availableTokens >= call.worstCaseTokens();
        if (falseRefusal && spentFraction(call.budget()) < BudgetResult.NEARLY_SPENT) {
            result.falseRefusalsBelow98++;
        }
        if (falseRefusal && spentFraction(call.budget()) < BudgetResult.THREE_QUARTERS) {
            result.falseRefusalsBelow75++;
        }
    }
}
