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

/** One run of the real ledger, share and billing code on a virtual fleet. */
final class FleetBudgetRun {
    private static final long MIN_WORK_MILLIS = 200;
    private static final int WORK_SPAN_MILLIS = 2_000;
    private static final long STEP_MILLIS = 100;
    private static final long RESTART_MILLIS = 5_000;
    private static final long CLOSING_MILLIS = 60_000;
    private static final long TICK_MILLIS = 20;

    private final BudgetScenario scenario;
    private final VirtualFleet fleet;
    private final UniformRandomProvider random;
    private final BudgetResult result;
    private final BudgetTruth truth;
    private boolean calling = true;
    private boolean crashed;

    FleetBudgetRun(String policyName, BudgetScenario scenario, SharePolicy policy, long seed, int ledgerPartitions) {
        this.scenario = scenario;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.result = new BudgetResult(policyName, scenario.name());
        this.truth = new BudgetTruth(scenario, result);
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
            fleet.createBudget(Demand.name(budget), scenario.limitTokens(budget));
        }
        fleet.settleDown();
        long reads = fleet.platform().objects().reads();
        long writes = fleet.platform().objects().writes();
        long conflicts = fleet.platform().objects().conflicts();
        long linkBytes = fleet.linkBytes();
        scheduleCall();
        for (long at = 0; at < scenario.durationSeconds() * 1_000L; at += STEP_MILLIS) {
            applyFaults(at);
            fleet.run(STEP_MILLIS);
        }
        calling = false;
        double seconds = scenario.durationSeconds();
        result.readsPerSecond = (fleet.platform().objects().reads() - reads) / seconds;
        result.writesPerSecond = (fleet.platform().objects().writes() - writes) / seconds;
        result.conflictsPerSecond = (fleet.platform().objects().conflicts() - conflicts) / seconds;
        result.linkBytesPerSecond = (fleet.linkBytes() - linkBytes) / seconds / scenario.routers();
        measureStranded();
        fleet.run(CLOSING_MILLIS);
        measureForfeits();
        return result;
    }

    private void applyFaults(long atMillis) {
        for (int i = 0; i < scenario.routers(); i++) {
            boolean cut = scenario.cutAt(i, atMillis);
            fleet.node(i).moveToSide(cut ? 1 : 0);
            fleet.node(i).cutPlatform(cut);
        }
        fleet.platform().setOutage(scenario.outageAt(atMillis));
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
                call();
                scheduleCall();
            }
        });
    }

    private void call() {
        VirtualNode node = fleet.node(random.nextInt(scenario.routers()));
        if (!node.alive()) {
            return;
        }
        Demand.Call call = scenario.demand().draw(random);
        truth.called(call);
        node.router().shares().reserve(Demand.name(call.budget()), call.worstCaseTokens(), reserved -> {
            if (reserved.isLeft()) {
                truth.refused(call);
                return;
            }
            truth.admitted(call);
            work(node, reserved.get(), call);
        });
    }

    private void work(VirtualNode node, Reservation reservation, Demand.Call call) {
        var router = node.router();
        fleet.time().schedule(MIN_WORK_MILLIS + random.nextInt(WORK_SPAN_MILLIS), () -> {
            if (!node.alive() || node.router() != router) {
                truth.released(call);
                return;
            }
            router.shares().bill(reservation, call.tokens(), billed -> {
                if (billed.isLeft()) {
                    truth.released(call);
                    return;
                }
                truth.billed(call);
            });
        });
    }

    private void measureStranded() {
        for (int budget = 0; budget < scenario.demand().budgets(); budget++) {
            AccountState account = fleet.account(Demand.name(budget));
            for (ShareState share : account.getSharesList()) {
                result.strandedTokens += share.getGrantedTokens() - Accounts.spentTokens(share);
            }
        }
    }

    private void measureForfeits() {
        long forfeited = 0;
        for (int budget = 0; budget < scenario.demand().budgets(); budget++) {
            forfeited += Accounts.forfeitedTokens(fleet.account(Demand.name(budget)));
        }
        double routerTokensPerSecond = scenario.demand().callsPerSecond() * Demand.MEAN_TOKENS / scenario.routers();
        result.forfeitedSeconds = forfeited / routerTokensPerSecond;
    }
}
