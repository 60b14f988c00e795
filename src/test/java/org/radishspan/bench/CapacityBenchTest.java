package org.radishspan.bench;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks the counted measures of the capacity benchmark against limits of the platform and of a node. */
public class CapacityBenchTest {
    private static final double MAX_VALUE_BYTES = 1_000_000;
    private static final double MAX_NODE_BYTES_PER_SECOND = 3_000;

    private static double perUnit(List<Slope> slopes, String measure) {
        for (Slope slope : slopes) {
            if (slope.measure().equals(measure)) {
                return slope.perUnit();
            }
        }
        throw new AssertionError("no slope of measure " + measure);
    }

    /**
     * The current users have 10 workspaces on 7 VMs. Their ledger must fit into one stored value, and so must each partition of the
     * journal with a day of 64,000 calls that have idempotency keys.
     */
    @Test
    public void stateOfTheCurrentUsersFitsIntoStoredValues() {
        List<Slope> slopes = CapacityBench.stateSlopes();
        double ledgerBytes =
                10 * (perUnit(slopes, "ledger bytes") + 7 * perUnit(slopes, "ledger bytes of one account"));
        assertTrue(ledgerBytes < MAX_VALUE_BYTES, "ledger bytes " + ledgerBytes);
        double journalBytes = 1_000 * perUnit(slopes, "journal bytes");
        assertTrue(journalBytes < MAX_VALUE_BYTES, "journal bytes " + journalBytes);
    }

    @Test
    public void linkBytesOfAnIdleRouterStayWithinTheLimitOfANodeAt460Routers() {
        List<Slope> slopes = new CapacityBench(new PrintWriter(new StringWriter()), 1).idleSlopes();
        double bytesPerSecond = slopes.get(0).atZero() + 460 * slopes.get(0).perUnit();
        assertTrue(bytesPerSecond < MAX_NODE_BYTES_PER_SECOND, "bytes per second at 460 routers: " + bytesPerSecond);
    }

    @Test
    public void slopeFitsTheLineThroughItsPoints() {
        Slope slope = new Slope("m", "u").add(1, 5).add(2, 7).add(4, 11);
        assertEquals(slope.perUnit(), 2.0, 1e-9);
        assertEquals(slope.atZero(), 3.0, 1e-9);
    }
}
