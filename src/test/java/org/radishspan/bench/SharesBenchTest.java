package org.radishspan.bench;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Arrays;
import java.util.List;

import org.radishspan.front.ShareSettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that the production share settings meet the targets of the shares benchmark. */
public class SharesBenchTest {
    private final SharesBench bench = new SharesBench(new PrintWriter(new StringWriter()), 1);

    @DataProvider
    public Object[][] scenarios() {
        return Arrays.stream(SharesBench.Scenario.values())
                .map(scenario -> new Object[] {scenario})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "scenarios")
    public void productionSettingsMeetTheTargets(SharesBench.Scenario scenario) {
        SharesBench.Result result = bench.runScenario(scenario, ShareSettings.TUNING);
        assertTrue(result.calls() > 0, "the benchmark made no calls");
        assertEquals(SharesBench.missedTargets(scenario, result), List.of());
    }

    @Test
    public void noCallIsRefusedWithoutFaults() {
        assertEquals(
                bench.runScenario(SharesBench.Scenario.CALM, ShareSettings.TUNING)
                        .refused(),
                0);
    }
}
