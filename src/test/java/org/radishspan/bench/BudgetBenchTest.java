package org.radishspan.bench;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;

import org.radishspan.budget.SharePolicy;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** The targets of the budget benchmark, on the small fleet. */
public class BudgetBenchTest {
    private static final long SEED = 1;

    @DataProvider
    public Object[][] scenarios() {
        return new Object[][] {
            {BudgetBench.calm()}, {BudgetBench.partition()}, {BudgetBench.outage()}, {BudgetBench.crash()}
        };
    }

    @Test(dataProvider = "scenarios")
    public void theTargetsAreMet(BudgetScenario scenario) {
        BudgetBench bench = new BudgetBench(new PrintWriter(new StringWriter()), SEED);
        BudgetResult result = bench.escrow(scenario, SharePolicy.DEFAULT);
        assertTrue(result.calls() > 0, "calls were made");
        assertEquals(BudgetBench.missedTargets(result), List.of());
    }

    @Test
    public void aPolicyThatHoardsMissesThem() {
        SharePolicy hoarding = new SharePolicy(660_000, 1, 1, 100_000, 0, 100, 500, 2);
        BudgetBench bench = new BudgetBench(new PrintWriter(new StringWriter()), SEED);
        BudgetResult result = bench.escrow(BudgetBench.calm(), hoarding);
        assertTrue(result.falseRefusalsPerTenThousand() > 1, "the benchmark can tell a bad policy");
    }
}
