package org.radishspan.bench;

/** What a fleet has really spent and reserved, as an onlooker who sees every router knows it. */
final class BudgetTruth {
    private final BudgetScenario scenario;
    private final BudgetResult result;
    private final long[] billed;
    private final long[] reserved;

    BudgetTruth(BudgetScenario scenario, BudgetResult result) {
        this.scenario = scenario;
        this.result = result;
        this.billed = new long[scenario.demand().budgets()];
        this.reserved = new long[scenario.demand().budgets()];
    }

    private double spentPart(int budget) {
        return billed[budget] / (double) scenario.limitTokens(budget);
    }

    void called(Demand.Call call) {
        result.calls++;
        if (spentPart(call.budget()) < BudgetResult.NEARLY_SPENT) {
            result.earlyCalls++;
        }
        if (spentPart(call.budget()) < BudgetResult.THREE_QUARTERS) {
            result.threeQuarterCalls++;
        }
    }

    void admitted(Demand.Call call) {
        reserved[call.budget()] += call.worstCaseTokens();
    }

    void billed(Demand.Call call) {
        result.answered++;
        released(call);
        billed[call.budget()] += call.tokens();
        long over = billed[call.budget()] - scenario.limitTokens(call.budget());
        result.overspentTokens = Math.max(result.overspentTokens, over);
    }

    void released(Demand.Call call) {
        reserved[call.budget()] -= call.worstCaseTokens();
    }

    void refused(Demand.Call call) {
        result.refused++;
        long unspent = scenario.limitTokens(call.budget()) - billed[call.budget()] - reserved[call.budget()];
        boolean falseRefusal = unspent >= call.worstCaseTokens();
        if (falseRefusal && spentPart(call.budget()) < BudgetResult.NEARLY_SPENT) {
            result.falseRefusals++;
        }
        if (falseRefusal && spentPart(call.budget()) < BudgetResult.THREE_QUARTERS) {
            result.threeQuarterRefusals++;
        }
    }
}
