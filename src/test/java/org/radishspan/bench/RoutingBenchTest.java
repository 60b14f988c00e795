package org.radishspan.bench;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that placement meets the users' latency objectives and compares it with simpler routing policies. */
public class RoutingBenchTest {
    private static final int SEEDS = 8;

    private final RoutingBench bench = new RoutingBench(new PrintWriter(new StringWriter()), 1);

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {{RoutingBench.usual()}, {RoutingBench.hotSubject()}, {RoutingBench.burst()}};
    }

    @Test(dataProvider = "loads")
    public void placementMeetsTheObjectives(RoutingLoad load) {
        assertEquals(RoutingBench.missedObjectives(bench.result(RoutingBench.OWN_POLICY, load)), List.of());
    }

    @Test(dataProvider = "loads")
    public void placementPrefillsFewerSharedTokensThanLeastLoaded(RoutingLoad load) {
        long placement = bench.result(RoutingBench.OWN_POLICY, load).readAgainTokens();
        long leastLoaded = bench.result("least loaded", load).readAgainTokens();
        assertTrue(
                placement < leastLoaded, placement + " shared tokens prefilled, but least loaded had " + leastLoaded);
    }

    /** Returns the mean of a percentile of the time to the first event over 8 seeds, on engines of two speeds. */
    private static long meanMillis(String policy, RoutingLoad.Kind kind, double percentile) {
        long sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            sum += new RoutingBench(new PrintWriter(new StringWriter()), seed)
                    .result(policy, RoutingBench.usual(), RoutingBench.mixed())
                    .firstEventMillis(kind, percentile);
        }
        return sum / SEEDS;
    }

    @DataProvider
    public Object[][] percentiles() {
        return new Object[][] {
            {RoutingLoad.Kind.LONG, 95},
            {RoutingLoad.Kind.LONG, 99},
            {RoutingLoad.Kind.SHORT, 95},
            {RoutingLoad.Kind.SHORT, 99}
        };
    }

    /**
     * Guards against engine speeds that are constants of one site's data sheet: slow engines received as many prompts as
     * fast ones.
     */
    @Test(dataProvider = "percentiles")
    public void learnedSpeedsGiveEarlierFirstEventsThanFixedSpeedsIfEnginesDiffer(
            RoutingLoad.Kind kind, double percentile) {
        long learned = meanMillis(RoutingBench.EARLIEST, kind, percentile);
        long fixed = meanMillis(RoutingBench.FIXED_SPEEDS, kind, percentile);
        assertTrue(learned < fixed, learned + " ms, but fixed speeds had " + fixed);
    }

    /**
     * Guards against routing by the earliest start alone: prompts left the targets that had cached their shared parts, to start a
     * few milliseconds earlier than the objective required.
     */
    @Test(dataProvider = "loads")
    public void placementPrefillsFewerSharedTokensThanEarliestStart(RoutingLoad load) {
        long placement = bench.result(RoutingBench.OWN_POLICY, load).readAgainTokens();
        long earliest = bench.result(RoutingBench.EARLIEST, load).readAgainTokens();
        assertTrue(placement < earliest, placement + " shared tokens prefilled, but earliest start had " + earliest);
    }

    @Test
    public void placementMeetsTheObjectivesIfEnginesDiffer() {
        RoutingResult placement = bench.result(RoutingBench.OWN_POLICY, RoutingBench.usual(), RoutingBench.mixed());
        assertEquals(RoutingBench.missedObjectives(placement), List.of());
    }

    @Test
    public void placementBalancesAHotSubjectBetterThanPrefixOnly() {
        double placement =
                bench.result(RoutingBench.OWN_POLICY, RoutingBench.hotSubject()).busiestOverMean();
        double prefix = bench.result("prefix only", RoutingBench.hotSubject()).busiestOverMean();
        assertTrue(placement < prefix, placement + " busiest/mean, but prefix only had " + prefix);
    }
}
