package org.radishspan.budget;

import org.radishspan.virtual.VirtualFleet;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that the size of a share depends on the horizon that the owner of the budget chose. */
public class ShareHorizonTest {
    private static final long SHORT_HORIZON_MILLIS = 5_000;
    private static final int CALLS = 400;
    private static final long CALL_TOKENS = 100;
    private static final long CALL_INTERVAL_MILLIS = 100;

    private static long heldTokensAfterCalls(long horizonMillis) {
        VirtualFleet fleet = VirtualFleet.builder().routers(3).seed(51).build();
        fleet.createBudget("b", 10_000_000, new AccountChanges.AccountPolicy(ReclaimMode.FENCED, horizonMillis));
        fleet.runStartup();
        ShareSystem shares = fleet.node(0).router().shares();
        for (int i = 0; i < CALLS; i++) {
            shares.reserve(
                    "b",
                    CALL_TOKENS,
                    reserved -> reserved.peek(reservation -> shares.bill(reservation, CALL_TOKENS, billed -> {})));
            fleet.run(CALL_INTERVAL_MILLIS);
        }
        return fleet.account("b").getShares(0).getGrantedTokens() - CALLS * CALL_TOKENS;
    }

    @Test
    public void aShareWithAShortHorizonHoldsFewerTokens() {
        long defaultHeld = heldTokensAfterCalls(0);
        long shortHeld = heldTokensAfterCalls(SHORT_HORIZON_MILLIS);
        long demandPerSecond = CALL_TOKENS * 1_000 / CALL_INTERVAL_MILLIS;
        assertTrue(
                shortHeld < 2 * demandPerSecond * SHORT_HORIZON_MILLIS / 1_000,
                "a share with a short horizon holds " + shortHeld);
        assertTrue(defaultHeld > 10 * shortHeld, "a share with the default horizon holds " + defaultHeld);
    }
}
