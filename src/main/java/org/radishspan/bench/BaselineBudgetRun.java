package org.radishspan.bench;

import java.util.ArrayDeque;
import java.util.Locale;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simple ways to keep to a budget, for comparison: small models without messages, with perfect knowledge of who is cut
 * off.
 */
final class BaselineBudgetRun {

    /** A way to keep to a budget. */
    enum Baseline {
        /** Each router gets an equal part at the start and keeps it. */
        EQUAL_SPLIT,
        /** Each call reserves and settles by a write to the platform. */
        WRITE_PER_CALL,
        /** A router takes 2% of the limit at a time and never gives any back. */
        FIXED_SHARES
    }

    private static final double FIXED_PART = 0.02;
    private static final long MIN_WORK_MILLIS = 200;
    private static final int WORK_SPAN_MILLIS = 2_000;

    private record Ending(long atMillis, int router, Demand.Call call) implements Comparable<Ending> {
        @Override
        public int compareTo(Ending other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }

    private final Baseline baseline;
    private final BudgetScenario scenario;
    private final UniformRandomProvider random;
    private final BudgetResult result;
    private final BudgetTruth truth;
    private final long[][] available;
    private final long[] free;
    private final PriorityQueue<Ending> endings = new PriorityQueue<>();
    private final ArrayDeque<Ending> unsettled = new ArrayDeque<>();
    private long writes;
    private long lostTokens;
    private boolean crashed;

    BaselineBudgetRun(Baseline baseline, BudgetScenario scenario, long seed) {
        this.baseline = baseline;
        this.scenario = scenario;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.result = new BudgetResult(baseline.name().toLowerCase(Locale.ROOT), scenario.name());
        this.truth = new BudgetTruth(scenario, result);
        this.available = new long[scenario.routers()][scenario.demand().budgets()];
        this.free = new long[scenario.demand().budgets()];
    }

    BudgetResult run() {
        start();
        long now = 0;
        long end = scenario.durationSeconds() * 1_000L;
        while (now < end) {
            now += scenario.demand().nextDelayMillis(random);
            finishUntil(now);
            crashIfDue(now);
            call(now);
        }
        result.writesPerSecond = writes / (double) scenario.durationSeconds();
        for (long[] row : available) {
            for (long tokens : row) {
                result.strandedTokens += tokens;
            }
        }
        double routerTokensPerSecond = scenario.demand().callsPerSecond() * Demand.MEAN_TOKENS / scenario.routers();
        result.forfeitedSeconds = lostTokens / routerTokensPerSecond;
        return result;
    }

    private void start() {
        for (int budget = 0; budget < free.length; budget++) {
            free[budget] = scenario.limitTokens(budget);
            if (baseline == Baseline.EQUAL_SPLIT) {
                for (long[] row : available) {
                    row[budget] = free[budget] / scenario.routers();
                }
            }
        }
    }

    private void finishUntil(long now) {
        while (!endings.isEmpty() && endings.peek().atMillis() <= now) {
            Ending ending = endings.remove();
            if (baseline == Baseline.WRITE_PER_CALL && !reaches(ending.router(), now)) {
                unsettled.add(ending);
                continue;
            }
            finish(ending);
        }
        while (!unsettled.isEmpty() && reaches(unsettled.peek().router(), now)) {
            finish(unsettled.remove());
        }
    }

    private void finish(Ending ending) {
        Demand.Call call = ending.call();
        truth.billed(call);
        long unused = call.worstCaseTokens() - call.tokens();
        if (baseline == Baseline.WRITE_PER_CALL) {
            writes++;
            free[call.budget()] += unused;
        } else {
            available[ending.router()][call.budget()] += unused;
        }
    }

    private boolean reaches(int router, long now) {
        return !scenario.cutAt(router, now) && !scenario.outageAt(now);
    }

    private void crashIfDue(long now) {
        if (crashed || scenario.crashAtSeconds() == 0 || now < scenario.crashAtSeconds() * 1_000L) {
            return;
        }
        crashed = true;
        long[] row = available[scenario.routers() - 1];
        for (int budget = 0; budget < row.length; budget++) {
            lostTokens += row[budget];
            row[budget] = 0;
        }
    }

    private void call(long now) {
        int router = random.nextInt(scenario.routers());
        Demand.Call call = scenario.demand().draw(random);
        truth.called(call);
        if (!admit(router, call, now)) {
            truth.refused(call);
            return;
        }
        truth.admitted(call);
        endings.add(new Ending(now + MIN_WORK_MILLIS + random.nextInt(WORK_SPAN_MILLIS), router, call));
    }

    private boolean admit(int router, Demand.Call call, long now) {
        if (baseline == Baseline.WRITE_PER_CALL) {
            return admitByWrite(router, call, now);
        }
        long[] row = available[router];
        if (row[call.budget()] < call.worstCaseTokens() && baseline == Baseline.FIXED_SHARES) {
            takeFixedShare(router, call, now);
        }
        if (row[call.budget()] < call.worstCaseTokens()) {
            return false;
        }
        row[call.budget()] -= call.worstCaseTokens();
        return true;
    }

    private boolean admitByWrite(int router, Demand.Call call, long now) {
        if (!reaches(router, now) || free[call.budget()] < call.worstCaseTokens()) {
            return false;
        }
        writes++;
        free[call.budget()] -= call.worstCaseTokens();
        return true;
    }

    private void takeFixedShare(int router, Demand.Call call, long now) {
        if (!reaches(router, now)) {
            return;
        }
        long part = Math.round(scenario.limitTokens(call.budget()) * FIXED_PART);
        long taken = Math.min(free[call.budget()], part);
        if (taken > 0) {
            writes++;
            free[call.budget()] -= taken;
            available[router][call.budget()] += taken;
        }
    }
}
