package org.radishspan.bench;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.budget.Accounts;
import org.radishspan.budget.Reservation;
import org.radishspan.budget.SharePolicy;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.ShareState;
import org.radishspan.virtual.VirtualFleet;
import org.radishspan.virtual.VirtualNode;

/** Runs one scenario of the budget benchmark with the real ledger, share and billing code on a virtual fleet. */
final class FleetBudgetRun {
    private static final long MIN_SERVICE_MILLIS = 200;
    private static final int SERVICE_RANGE_MILLIS = 2_000;
    private static final long STEP_MILLIS = 100;
    private static final long RESTART_MILLIS = 5_000;
    private static final long FINAL_SETTLEMENT_MILLIS = 60_000;
    private static final long TICK_MILLIS = 20;

    private final BudgetScenario scenario;
    private final VirtualFleet fleet;
    private final UniformRandomProvider random;
    private final BudgetResult result;
    private final SpendingTracker tracker;
    private boolean calling = true;
    private boolean crashed;

    FleetBudgetRun(String policyName, BudgetScenario scenario, SharePolicy policy, long seed, int ledgerPartitions) {
        this.scenario = scenario;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.result = new BudgetResult(policyName, scenario.name());
        this.tracker = new SpendingTracker(scenario, result);
        this.fleet = VirtualFleet.builder()
                .routers(scenario.routers())
                .engines(1)
                .seed(seed)
                .policy(policy)
                .ledgerPartitions(ledgerPartitions)
                .commitGapMillis(200)
                .tickMillis(TICK_MILLIS)
                .tickOnEvents(false)
                .build();
    }

    BudgetResult run() {
        for (int budget = 0; budget < scenario.demand().budgets(); budget++) {
            fleet.createBudget(Demand.budgetName(budget), scenario.limitTokens(budget));
        }
        fleet.runStartup();
        long readsBefore = fleet.platform().objects().reads();
        long writesBefore = fleet.platform().objects().writes();
        long conflictsBefore = fleet.platform().objects().conflicts();
        long linkBytesBefore = fleet.linkBytes();
        scheduleCall();
        for (long atMillis = 0; atMillis < scenario.durationSeconds() * 1_000L; atMillis += STEP_MILLIS) {
            applyFaults(atMillis);
            fleet.run(STEP_MILLIS);
        }
        calling = false;
        double seconds = scenario.durationSeconds();
        result.readsPerSecond = (fleet.platform().objects().reads() - readsBefore) / seconds;
        result.writesPerSecond = (fleet.platform().objects().writes() - writesBefore) / seconds;
        result.conflictsPerSecond = (fleet.platform().objects().conflicts() - conflictsBefore) / seconds;
        result.linkBytesPerSecond = (fleet.linkBytes() - linkBytesBefore) / seconds / scenario.routers();
        measureStrandedTokens();
        fleet.run(FINAL_SETTLEMENT_MILLIS);
        measureForfeitedTokens();
        return result;
    }

    private void applyFaults(long atMillis) {
        for (int i = 0; i < scenario.routers(); i++) {
            boolean partitioned = scenario.isPartitionedAt(i, atMillis);
            fleet.node(i).setPartitionSide(partitioned ? 1 : 0);
            fleet.node(i).setPlatformDisconnected(partitioned);
        }
        fleet.platform().setOutage(scenario.isOutageAt(atMillis));
        boolean crashDue = scenario.crashAtSeconds() > 0 && atMillis >= scenario.crashAtSeconds() * 1_000L;
        if (crashDue && !crashed) {
            crashed = true;
            int last = scenario.routers() - 1;
            fleet.node(last).crash();
            fleet.time().schedule(RESTART_MILLIS, () -> fleet.restart(last));
        }
    }

    private void scheduleCall() {
        fleet.time().schedule(scenario.demand().nextDelayMillis(random), () -> {
            if (calling) {
                makeCall();
                scheduleCall();
            }
        });
    }

    private void makeCall() {
        VirtualNode node = fleet.node(random.nextInt(scenario.routers()));
        if (!node.alive()) {
            return;
        }
        Demand.Call call = scenario.demand().draw(random);
        tracker.onCall(call);
        node.router().shares().reserve(Demand.budgetName(call.budget()), call.worstCaseTokens(), reserved -> {
            if (reserved.isLeft()) {
                tracker.onRefused(call);
                return;
            }
            tracker.onAdmitted(call);
            completeLater(node, reserved.get(), call);
        });
    }

    /** Bills an admitted call after its service time, or releases it if its router has ended by then. */
    private void completeLater(VirtualNode node, Reservation reservation, Demand.Call call) {
        var router = node.router();
        fleet.time().schedule(MIN_SERVICE_MILLIS + random.nextInt(SERVICE_RANGE_MILLIS), () -> {
            if (!node.alive() || node.router() != router) {
                tracker.onReleased(call);
                return;
            }
            router.shares().bill(reservation, call.tokens(), billed -> {
                if (billed.isLeft()) {
                    tracker.onReleased(call);
                    return;
                }
                tracker.onBilled(call);
            });
        });
    }

    /** Adds up the granted tokens that are unspent according to the ledger. */
    private void measureStrandedTokens() {
        for (int budget = 0; budget < scenario.demand().budgets(); budget++) {
            AccountState account = fleet.account(Demand.budgetName(budget));
            for (ShareState share : account.getSharesList()) {
                result.strandedTokens += share.getGrantedTokens() - Accounts.spentTokens(share);
            }
        }
    }

    /** Converts the forfeited tokens of the ledger to seconds of one router's demand. */
    private void measureForfeitedTokens() {
        long forfeitedTokens = 0;
        for (int budget = 0; budget < scenario.demand().budgets(); budget++) {
            forfeitedTokens += Accounts.forfeitedTokens(fleet.account(Demand.budgetName(budget)));
        }
        double routerTokensPerSecond = scenario.demand().callsPerSecond() * Demand.MEAN_TOKENS / scenario.routers();
        result.forfeitedSeconds = forfeitedTokens / routerTokensPerSecond;
    }
}
