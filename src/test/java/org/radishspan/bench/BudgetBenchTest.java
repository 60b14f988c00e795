package org.radishspan.bench;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;

import org.radishspan.budget.SharePolicy;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that the share code meets the targets of the budget benchmark on the small fleet. */
public class BudgetBenchTest {
    private static final long SEED = 1;

    @DataProvider
    public Object[][] scenarios() {
        return new Object[][] {
            {BudgetBench.calm()}, {BudgetBench.partition()}, {BudgetBench.outage()}, {BudgetBench.crash()}
        };
    }

    @Test(dataProvider = "scenarios")
    public void sharesMeetTheTargets(BudgetScenario scenario) {
        BudgetBench bench = new BudgetBench(new PrintWriter(new StringWriter()), SEED);
        BudgetResult result = bench.runShares(scenario, SharePolicy.DEFAULT);
        assertTrue(result.calls() > 0, "the benchmark made no calls");
        assertEquals(BudgetBench.missedTargets(result), List.of());
    }

    @Test
    public void aPolicyWithOversizedGrantsExceedsTheFalseRefusalTarget() {
        SharePolicy oversizedGrants = new SharePolicy(660_000, 1, 1, 100_000, 0, 100, 500, 2);
        BudgetBench bench = new BudgetBench(new PrintWriter(new StringWriter()), SEED);
        BudgetResult result = bench.runShares(BudgetBench.calm(), oversizedGrants);
        assertTrue(
                result.falseRefusalsPerTenThousand() > 1,
                "the benchmark did not detect the false refusals of a policy with oversized grants");
    }
}
