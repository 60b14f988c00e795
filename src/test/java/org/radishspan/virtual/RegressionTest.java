package org.radishspan.virtual;

import org.radishspan.budget.SharePolicy;
import org.radishspan.config.Configuration;
import org.radishspan.proto.LoadReport;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.PresetState;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** One test for each fault that was found and mended. */
public class RegressionTest {
    private static final String BUDGET = "crew";

    private static VirtualFleet fleet(long limitTokens) {
        VirtualFleet fleet = VirtualFleet.builder().routers(3).seed(31).build();
        fleet.createBudget(BUDGET, limitTokens);
        fleet.createWorkspace("workspace", BUDGET);
        fleet.settleDown();
        return fleet;
    }

    /** A claim and a release of one key in one commit left the second claimer without an intent. */
    @Test
    public void aKeyReleasedInTheCommitOfASecondClaimIsClaimedAgain() {
        VirtualFleet fleet = fleet(1);
        TestCaller first = TestCaller.entry(fleet.node(0), "workspace.key", "k");
        fleet.run(5);
        TestCaller second = TestCaller.entry(fleet.node(0), "workspace.key", "k");
        fleet.run(30_000);
        assertTrue(first.ended && second.ended, "both callers have their answer");
        assertEquals(fleet.targets().runsByKey().getOrDefault("k", 0), 0, "there were no tokens for it");
    }

    /** A late message of a process that had ended made its successor look dead. */
    @Test
    public void aLateMessageOfAnEndedProcessDoesNotCloseItsSuccessor() {
        VirtualFleet fleet = fleet(100_000);
        String old = fleet.node(1).router().incarnation();
        fleet.node(1).crash();
        fleet.restart(1);
        fleet.run(5_000);
        TestCaller before = TestCaller.chat(fleet.node(1), "workspace.key", 4, false, null);
        fleet.run(2_000);
        PeerMessage late = PeerMessage.newBuilder()
                .setLoad(LoadReport.newBuilder().setIncarnation(old))
                .build();
        fleet.node(0).router().onPeerMessage(fleet.node(1).vm(), late);
        fleet.run(10_000);
        TestCaller after = TestCaller.chat(fleet.node(1), "workspace.key", 4, false, null);
        fleet.run(2_000);
        assertTrue(before.answered() && after.answered());
        assertFalse(fleet.node(1).router().fenced());
    }

    /** The share horizon of a preset stayed in force after a switch to a preset without one. */
    @Test
    public void aPresetLeavesNothingBehind() {
        VirtualFleet fleet = fleet(100_000);
        PresetState peak = PresetState.newBuilder()
                .setName("peak")
                .setShareHorizonMillis(5_000)
                .build();
        PresetState ordinary = PresetState.newBuilder().setName("ordinary").build();
        fleet.changeConfiguration(Configuration.putPreset(peak, fleet.change()));
        fleet.changeConfiguration(Configuration.putPreset(ordinary, fleet.change()));
        fleet.changeConfiguration(Configuration.usePreset("peak", fleet.change()));
        fleet.run(2_000);
        assertEquals(fleet.node(1).router().shares().policy().horizonMillis(), 5_000);
        fleet.changeConfiguration(Configuration.usePreset("ordinary", fleet.change()));
        fleet.run(2_000);
        assertEquals(fleet.node(1).router().shares().policy(), SharePolicy.DEFAULT);
    }

    /** Shares of budgets that nobody used any more stayed in the ledger for good. */
    @Test
    public void anIdleShareIsRetired() {
        VirtualFleet fleet = fleet(100_000);
        TestCaller caller = TestCaller.chat(fleet.node(0), "workspace.key", 4, false, null);
        fleet.run(2_000);
        assertTrue(caller.answered());
        assertEquals(fleet.account(BUDGET).getSharesCount(), 1);
        fleet.run(30_000);
        assertEquals(fleet.account(BUDGET).getSharesCount(), 0);
        TestCaller again = TestCaller.chat(fleet.node(0), "workspace.key", 4, false, null);
        fleet.run(2_000);
        assertTrue(again.answered(), "a retired share starts anew");
    }
}
