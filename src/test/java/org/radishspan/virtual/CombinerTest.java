package org.radishspan.virtual;

import org.radishspan.budget.Accounts;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that one router, the combiner, commits the ledger changes of all routers, also after crashes and partitions. */
public class CombinerTest {
    private static final String BUDGET = "crew";
    private static final int ROUTERS = 7;
    private static final int TOKENS = 4;

    private static int combiner(VirtualFleet fleet) {
        for (int i = 0; i < ROUTERS; i++) {
            if (fleet.node(i).alive()
                    && fleet.node(i).router().peers().table().combinerOf(0).isEmpty()) {
                return i;
            }
        }
        throw new AssertionError("no running router is the combiner");
    }

    private static VirtualFleet fleet() {
        VirtualFleet fleet = VirtualFleet.builder().routers(ROUTERS).seed(21).build();
        fleet.createBudget(BUDGET, 1_000_000);
        fleet.createWorkspace("workspace", BUDGET);
        fleet.runStartup();
        return fleet;
    }

    private static int callEveryRouter(VirtualFleet fleet, int rounds) {
        int answered = 0;
        for (int round = 0; round < rounds; round++) {
            TestCaller[] callers = new TestCaller[ROUTERS];
            for (int i = 0; i < ROUTERS; i++) {
                callers[i] = fleet.node(i).alive()
                        ? TestCaller.chat(fleet.node(i), "workspace.key", TOKENS, false, null)
                        : new TestCaller();
            }
            fleet.run(3_000);
            for (TestCaller caller : callers) {
                answered += caller.answered() ? 1 : 0;
            }
        }
        return answered;
    }

    @Test
    public void writesWithoutConflicts() {
        VirtualFleet fleet = fleet();
        long conflictsBefore = fleet.platform().objects().conflicts();
        assertEquals(callEveryRouter(fleet, 10), 10 * ROUTERS);
        assertEquals(fleet.platform().objects().conflicts(), conflictsBefore);
    }

    @Test
    public void isReplacedAfterItCrashes() {
        VirtualFleet fleet = fleet();
        callEveryRouter(fleet, 1);
        int crashed = combiner(fleet);
        fleet.node(crashed).crash();
        assertEquals(callEveryRouter(fleet, 5), 5 * (ROUTERS - 1));
        assertTrue(combiner(fleet) != crashed);
    }

    @Test
    public void billsCorrectlyWhenAPartitionHasTwoCombiners() {
        VirtualFleet fleet = fleet();
        callEveryRouter(fleet, 1);
        for (int i = 0; i < 3; i++) {
            fleet.node(i).setPartitionSide(1);
        }
        fleet.run(10_000);
        int answered = callEveryRouter(fleet, 5);
        assertEquals(answered, 5 * ROUTERS);
        fleet.run(5_000);
        assertEquals(
                Accounts.billedTokens(fleet.account(BUDGET)), 6L * ROUTERS * (VirtualTargets.PROMPT_TOKENS + TOKENS));
    }
}
