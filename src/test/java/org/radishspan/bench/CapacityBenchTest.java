package org.radishspan.bench;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Bounds of the counted slopes; each comes from a limit of the platform or of a node. */
public class CapacityBenchTest {
    private static final double VALUE_BYTES = 1_000_000;
    private static final double NODE_BYTES_PER_SECOND = 3_000;

    private static double perUnit(List<Slope> slopes, String measure) {
        for (Slope slope : slopes) {
            if (slope.measure().equals(measure)) {
                return slope.perUnit();
            }
        }
        throw new AssertionError("no slope of " + measure);
    }

    /** Today's users have 10 workspaces on 7 VMs; their ledger, and a day of 64,000 keyed calls, must fit the values. */
    @Test
    public void theStateOfTodayFitsTheValues() {
        List<Slope> slopes = CapacityBench.stateSlopes();
        double ledger = 10 * (perUnit(slopes, "ledger bytes") + 7 * perUnit(slopes, "ledger bytes of one account"));
        assertTrue(ledger < VALUE_BYTES, "ledger bytes " + ledger);
        double journal = 1_000 * perUnit(slopes, "journal bytes");
        assertTrue(journal < VALUE_BYTES, "journal bytes " + journal);
    }

    @Test
    public void anIdleRouterStaysWithinItsBytesAtAnySize() {
        List<Slope> slopes = new CapacityBench(new PrintWriter(new StringWriter()), 1).idleSlopes();
        double at460 = slopes.get(0).atZero() + 460 * slopes.get(0).perUnit();
        assertTrue(at460 < NODE_BYTES_PER_SECOND, "bytes a second at 460 routers: " + at460);
    }

    @Test
    public void aSlopeIsTheLineThroughItsPoints() {
        Slope slope = new Slope("m", "u").add(1, 5).add(2, 7).add(4, 11);
        assertEquals(slope.perUnit(), 2.0, 1e-9);
        assertEquals(slope.atZero(), 3.0, 1e-9);
    }
}
