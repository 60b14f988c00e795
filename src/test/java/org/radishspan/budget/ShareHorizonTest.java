package org.radishspan.budget;

import org.radishspan.virtual.VirtualFleet;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** How much of a budget a router holds, by the horizon that its owner chose. */
public class ShareHorizonTest {
    private static final long SHORT_MILLIS = 5_000;
    private static final int CALLS = 400;
    private static final long CALL_TOKENS = 100;
    private static final long EVERY_MILLIS = 100;

    private static long heldAfterCalls(long horizonMillis) {
        VirtualFleet fleet = VirtualFleet.builder().routers(3).seed(51).build();
        fleet.createBudget("b", 10_000_000, new AccountChanges.AccountPolicy(ReclaimMode.FENCED, horizonMillis));
        fleet.settleDown();
        ShareSystem shares = fleet.node(0).router().shares();
        for (int i = 0; i < CALLS; i++) {
            shares.reserve("b", CALL_TOKENS, reserved -> reserved.peek(r -> shares.bill(r, CALL_TOKENS, billed -> {})));
            fleet.run(EVERY_MILLIS);
        }
        return fleet.account("b").getShares(0).getGrantedTokens() - CALLS * CALL_TOKENS;
    }

    @Test
    public void aShortHorizonHoldsLess() {
        long usual = heldAfterCalls(0);
        long shorter = heldAfterCalls(SHORT_MILLIS);
        long demandPerSecond = CALL_TOKENS * 1_000 / EVERY_MILLIS;
        assertTrue(shorter < 2 * demandPerSecond * SHORT_MILLIS / 1_000, "held " + shorter);
        assertTrue(usual > 10 * shorter, "usually held " + usual);
    }
}
