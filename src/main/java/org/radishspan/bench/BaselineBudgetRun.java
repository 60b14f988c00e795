package org.radishspan.bench;

import java.util.ArrayDeque;
import java.util.Locale;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates one run of a simple budget policy, as a comparison for the escrow shares of {@link FleetBudgetRun}.
 *
 * <p>The model exchanges no messages, and every router knows without delay whether it can reach the platform.
 */
final class BaselineBudgetRun {

    /** A simple policy that keeps the calls of all routers within a budget. */
    enum Baseline {
        /** Each router receives an equal part of the limit at the start. Routers never exchange tokens. */
        EQUAL_SPLIT,
        /** Each admitted call writes to the platform twice: once to reserve its tokens and once to settle them. */
        WRITE_PER_CALL,
        /** A router takes 2% of the limit at a time and never returns unused tokens. */
        FIXED_SHARES
    }

    private static final double FIXED_SHARE_FRACTION = 0.02;
    private static final long MIN_SERVICE_MILLIS = 200;
    private static final int SERVICE_RANGE_MILLIS = 2_000;

    /** A call that completes at a given time at a router. */
    private record Completion(long atMillis, int router, Demand.Call call) implements Comparable<Completion> {
        @Override
        public int compareTo(Completion other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }

    private final Baseline baseline;
    private final BudgetScenario scenario;
    private final UniformRandomProvider random;
    private final BudgetResult result;
    private final SpendingTracker tracker;
    private final long[][] availableTokens;
    private final long[] freeTokens;
    private final PriorityQueue<Completion> completions = new PriorityQueue<>();
    private final ArrayDeque<Completion> unsettled = new ArrayDeque<>();
    private long writes;
    private long lostTokens;
    private boolean crashed;

    BaselineBudgetRun(Baseline baseline, BudgetScenario scenario, long seed) {
        this.baseline = baseline;
        this.scenario = scenario;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.result = new BudgetResult(baseline.name().toLowerCase(Locale.ROOT), scenario.name());
        this.tracker = new SpendingTracker(scenario, result);
        this.availableTokens = new long[scenario.routers()][scenario.demand().budgets()];
        this.freeTokens = new long[scenario.demand().budgets()];
    }

    BudgetResult run() {
        start();
        long nowMillis = 0;
        long endMillis = scenario.durationSeconds() * 1_000L;
        while (nowMillis < endMillis) {
            nowMillis += scenario.demand().nextDelayMillis(random);
            completeUntil(nowMillis);
            crashIfDue(nowMillis);
            makeCall(nowMillis);
        }
        result.writesPerSecond = writes / (double) scenario.durationSeconds();
        for (long[] routerTokens : availableTokens) {
            for (long tokens : routerTokens) {
                result.strandedTokens += tokens;
            }
        }
        double routerTokensPerSecond = scenario.demand().callsPerSecond() * Demand.MEAN_TOKENS / scenario.routers();
        result.forfeitedSeconds = lostTokens / routerTokensPerSecond;
        return result;
    }

    private void start() {
        for (int budget = 0; budget < freeTokens.length; budget++) {
            freeTokens[budget] = scenario.limitTokens(budget);
            if (baseline == Baseline.EQUAL_SPLIT) {
                for (long[] routerTokens : availableTokens) {
                    routerTokens[budget] = freeTokens[budget] / scenario.routers();
                }
            }
        }
    }

    private void completeUntil(long nowMillis) {
        while (!completions.isEmpty() && completions.peek().atMillis() <= nowMillis) {
            Completion completion = completions.remove();
            if (baseline == Baseline.WRITE_PER_CALL && !canReachPlatform(completion.router(), nowMillis)) {
                unsettled.add(completion);
                continue;
            }
            complete(completion);
        }
        while (!unsettled.isEmpty() && canReachPlatform(unsettled.peek().router(), nowMillis)) {
            complete(unsettled.remove());
        }
    }

    private void complete(Completion completion) {
        Demand.Call call = completion.call();
        tracker.onBilled(call);
        long unusedTokens = call.worstCaseTokens() - call.tokens();
        if (baseline == Baseline.WRITE_PER_CALL) {
            writes++;
            freeTokens[call.budget()] += unusedTokens;
        } else {
            availableTokens[completion.router()][call.budget()] += unusedTokens;
        }
    }

    private boolean canReachPlatform(int router, long nowMillis) {
        return !scenario.isPartitionedAt(router, nowMillis) && !scenario.isOutageAt(nowMillis);
    }

    private void crashIfDue(long nowMillis) {
        if (crashed || scenario.crashAtSeconds() == 0 || nowMillis < scenario.crashAtSeconds() * 1_000L) {
            return;
        }
        crashed = true;
        long[] routerTokens = availableTokens[scenario.routers() - 1];
        for (int budget = 0; budget < routerTokens.length; budget++) {
            lostTokens += routerTokens[budget];
            routerTokens[budget] = 0;
        }
    }

    private void makeCall(long nowMillis) {
        int router = random.nextInt(scenario.routers());
        Demand.Call call = scenario.demand().draw(random);
        tracker.onCall(call);
        if (!admit(router, call, nowMillis)) {
            tracker.onRefused(call);
            return;
        }
        tracker.onAdmitted(call);
        completions.add(
                new Completion(nowMillis + MIN_SERVICE_MILLIS + random.nextInt(SERVICE_RANGE_MILLIS), router, call));
    }

    private boolean admit(int router, Demand.Call call, long nowMillis) {
        if (baseline == Baseline.WRITE_PER_CALL) {
            return admitByWrite(router, call, nowMillis);
        }
        long[] routerTokens = availableTokens[router];
        if (routerTokens[call.budget()] < call.worstCaseTokens() && baseline == Baseline.FIXED_SHARES) {
            takeFixedShare(router, call, nowMillis);
        }
        if (routerTokens[call.budget()] < call.worstCaseTokens()) {
            return false;
        }
        routerTokens[call.budget()] -= call.worstCaseTokens();
        return true;
    }

    private boolean admitByWrite(int router, Demand.Call call, long nowMillis) {
        if (!canReachPlatform(router, nowMillis) || freeTokens[call.budget()] < call.worstCaseTokens()) {
            return false;
        }
        writes++;
        freeTokens[call.budget()] -= call.worstCaseTokens();
        return true;
    }

    private void takeFixedShare(int router, Demand.Call call, long nowMillis) {
        if (!canReachPlatform(router, nowMillis)) {
            return;
        }
        long shareTokens = Math.round(scenario.limitTokens(call.budget()) * FIXED_SHARE_FRACTION);
        long takenTokens = Math.min(freeTokens[call.budget()], shareTokens);
        if (takenTokens > 0) {
            writes++;
            freeTokens[call.budget()] -= takenTokens;
            availableTokens[router][call.budget()] += takenTokens;
        }
    }
}
