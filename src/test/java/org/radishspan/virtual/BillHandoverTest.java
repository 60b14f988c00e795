package org.radishspan.virtual;

import java.util.ArrayList;
import java.util.List;

import org.radishspan.budget.Accounts;
import org.radishspan.proto.AccountState;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that bills are handed over to other routers, which hold them until the platform is available again. */
public class BillHandoverTest {
    private static final String BUDGET = "crew";
    private static final int CALLS = 10;
    private static final int TOKENS = 4;
    private static final long USAGE = VirtualTargets.PROMPT_TOKENS + TOKENS;
    private static final long CALLS_MILLIS = 2_000;

    private static VirtualFleet fleetInOutage(List<TestCaller> callers) {
        VirtualFleet fleet = VirtualFleet.builder().routers(3).seed(11).build();
        fleet.createBudget(BUDGET, 100_000);
        String key = fleet.createWorkspace("workspace", BUDGET);
        fleet.runStartup();
        for (int i = 0; i < CALLS; i++) {
            callers.add(TestCaller.chat(fleet.node(0), key, TOKENS, false, null));
        }
        fleet.run(CALLS_MILLIS);
        fleet.platform().setOutage(true);
        for (int i = 0; i < CALLS; i++) {
            callers.add(TestCaller.chat(fleet.node(0), key, TOKENS, i % 2 == 0, null));
        }
        fleet.run(CALLS_MILLIS);
        return fleet;
    }

    private static long answeredCount(List<TestCaller> callers) {
        return callers.stream().filter(TestCaller::answered).count();
    }

    @Test
    public void allowResponsesDuringAnOutage() {
        List<TestCaller> callers = new ArrayList<>();
        VirtualFleet fleet = fleetInOutage(callers);
        assertEquals(answeredCount(callers), 2 * CALLS);
        assertEquals(
                Accounts.billedTokens(fleet.account(BUDGET)),
                CALLS * USAGE,
                "only the calls before the outage are billed in the ledger");
        fleet.platform().setOutage(false);
        fleet.run(5_000);
        assertEquals(Accounts.billedTokens(fleet.account(BUDGET)), 2 * CALLS * USAGE);
    }

    @Test
    public void arePostedByTheirHolderAfterTheirRouterCrashes() {
        List<TestCaller> callers = new ArrayList<>();
        VirtualFleet fleet = fleetInOutage(callers);
        fleet.node(0).crash();
        fleet.platform().setOutage(false);
        fleet.run(1_000);
        fleet.restart(0);
        fleet.run(30_000);
        AccountState account = fleet.account(BUDGET);
        assertEquals(Accounts.billedTokens(account), answeredCount(callers) * USAGE);
        assertEquals(Accounts.forfeitedTokens(account), 0, "all holders reported that they hold no more bills");
    }

    @Test
    public void causeForfeitureOfTheRestWhenTheirHoldersCrashToo() {
        List<TestCaller> callers = new ArrayList<>();
        VirtualFleet fleet = fleetInOutage(callers);
        for (int i = 0; i < 3; i++) {
            fleet.node(i).crash();
        }
        fleet.platform().setOutage(false);
        for (int i = 0; i < 3; i++) {
            fleet.restart(i);
        }
        fleet.run(60_000);
        AccountState account = fleet.account(BUDGET);
        assertTrue(
                Accounts.forfeitedTokens(account) > 0,
                "bills may be lost, so the rest of the share is not returned to the budget");
        long answeredTokens = answeredCount(callers) * USAGE;
        assertTrue(
                Accounts.billedTokens(account) + Accounts.forfeitedTokens(account) >= answeredTokens,
                "tokens of answered calls still count against the limit");
    }
}
