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

/** What callers get of a budget with the settings in use. */
public class SharesBenchTest {
    private final SharesBench bench = new SharesBench(new PrintWriter(new StringWriter()), 1);

    @DataProvider
    public Object[][] scenarios() {
        return Arrays.stream(SharesBench.Scenario.values())
                .map(scenario -> new Object[] {scenario})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "scenarios")
    public void theTargetsAreMet(SharesBench.Scenario scenario) {
        SharesBench.Result result = bench.result(scenario, ShareSettings.TUNING);
        assertTrue(result.calls() > 0, "calls were made");
        assertEquals(SharesBench.missedTargets(scenario, result), List.of());
    }

    @Test
    public void noCallIsRefusedWithoutFaults() {
        assertEquals(
                bench.result(SharesBench.Scenario.CALM, ShareSettings.TUNING).refused(), 0);
    }
}
