package org.radishspan.virtual;

import org.radishspan.budget.SharePolicy;
import org.radishspan.config.Configuration;
import org.radishspan.error.Failure;
import org.radishspan.proto.LoadReport;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.PresetState;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Regression tests, one for each fault that was found and fixed. */
public class RegressionTest {
    private static final String BUDGET = "crew";

    private static VirtualFleet fleet(long limitTokens) {
        VirtualFleet fleet = VirtualFleet.builder().routers(3).seed(31).build();
        fleet.createBudget(BUDGET, limitTokens);
        fleet.createWorkspace("workspace", BUDGET);
        fleet.runStartup();
        return fleet;
    }

    /** When one commit held a release and a claim of the same key, the second claimer got no intent. */
    @Test
    public void aKeyReleasedInTheCommitOfASecondClaimIsClaimedAgain() {
        VirtualFleet fleet = fleet(1);
        TestCaller first = TestCaller.serviceCall(fleet.node(0), "workspace.key", "k");
        fleet.run(5);
        TestCaller second = TestCaller.serviceCall(fleet.node(0), "workspace.key", "k");
        fleet.run(30_000);
        assertTrue(first.ended && second.ended, "both callers received a response");
        assertEquals(fleet.targets().runsByKey().getOrDefault("k", 0), 0, "the budget has too few tokens for the call");
    }

    /** A delayed message of an ended process caused its successor on the same VM to be regarded as ended. */
    @Test
    public void aDelayedMessageOfAnEndedProcessDoesNotFenceItsSuccessor() {
        VirtualFleet fleet = fleet(100_000);
        String endedIncarnation = fleet.node(1).router().incarnation();
        fleet.node(1).crash();
        fleet.restart(1);
        fleet.run(5_000);
        TestCaller before = TestCaller.chat(fleet.node(1), "workspace.key", 4, false, null);
        fleet.run(2_000);
        PeerMessage delayed = PeerMessage.newBuilder()
                .setLoad(LoadReport.newBuilder().setIncarnation(endedIncarnation))
                .build();
        fleet.node(0).router().onPeerMessage(fleet.node(1).vm(), delayed);
        fleet.run(10_000);
        TestCaller after = TestCaller.chat(fleet.node(1), "workspace.key", 4, false, null);
        fleet.run(2_000);
        assertTrue(before.answered() && after.answered());
        assertFalse(fleet.node(1).router().fenced());
    }

    /** The share horizon of a preset stayed in force after a switch to a preset without one. */
    @Test
    public void settingsOfAPresetEndWithASwitchToAnother() {
        VirtualFleet fleet = fleet(100_000);
        PresetState peak = PresetState.newBuilder()
                .setName("peak")
                .setShareHorizonMillis(5_000)
                .build();
        PresetState ordinary = PresetState.newBuilder().setName("ordinary").build();
        fleet.changeConfiguration(Configuration.putPreset(peak, fleet.newChange()));
        fleet.changeConfiguration(Configuration.putPreset(ordinary, fleet.newChange()));
        fleet.changeConfiguration(Configuration.usePreset("peak", fleet.newChange()));
        fleet.run(2_000);
        assertEquals(fleet.node(1).router().shares().policy().horizonMillis(), 5_000);
        fleet.changeConfiguration(Configuration.usePreset("ordinary", fleet.newChange()));
        fleet.run(2_000);
        assertEquals(fleet.node(1).router().shares().policy(), SharePolicy.DEFAULT);
    }

    /** Shares of budgets without further calls were never removed from the ledger. */
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
        assertTrue(again.answered(), "a new share is granted after the earlier one was retired");
    }

    /**
     * A service wrote the refusal of an earlier request once more on a kept connection. The router took it for the refusal of
     * the request that was running, and sent that to a second service.
     */
    @Test
    public void aRepeatedRefusalOfAnEarlierRequestIsNoReasonToSendARequestAgain() {
        VirtualFleet fleet = fleet(100_000);
        fleet.targets().setRepeatedRefusals(true);
        TestCaller caller = TestCaller.serviceCall(fleet.node(0), "workspace.key", "k");
        fleet.run(10_000);
        assertTrue(caller.ended);
        assertEquals(fleet.targets().runsByKey().getOrDefault("k", 0), 1);
        assertFalse(caller.failure != null && caller.failure.ran() == Failure.Ran.NO, "the request has run");
    }
}
