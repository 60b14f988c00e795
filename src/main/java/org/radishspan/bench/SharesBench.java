package org.radishspan.bench;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.budget.Accounts;
import org.radishspan.budget.SharePolicy;
import org.radishspan.front.ShareSettings;

/**
 * Measures what callers get of a budget on the users' platform when the store is cut off and when all routers are killed.
 *
 * <pre>{@code
 * boolean met = new SharesBench(new PrintWriter(System.out, true), 1).run();
 * }</pre>
 */
public final class SharesBench {
    /** What happens in one run. */
    enum Scenario {
        CALM("no faults"),
        CUT("all cut from the store, 8 s"),
        KILL("all killed, 1.5 s"),
        KILL_IN_CUT("all killed within a cut"),
        HOT("one workspace at 2.5 times its usual for 6 s");

        private final String text;

        Scenario(String text) {
            this.text = text;
        }
    }

    /**
     * What came of a run.
     *
     * @param calls the calls made
     * @param refused the calls refused
     * @param forfeitedSeconds what ended routers may have spent, in seconds of the fleet's demand
     * @param spentFraction the part of the budget that calls used
     */
    record Result(long calls, long refused, double forfeitedSeconds, double spentFraction) {
        double refusedFraction() {
            return (double) refused / calls;
        }
    }

    private static final int ROUTERS = 6;
    private static final int SECONDS = 48;
    private static final long STEP_MILLIS = 10;
    private static final double CALLS_PER_SECOND = 20;
    private static final long MEAN_TOKENS = 3_000;
    private static final long MIN_TOKENS = 200;
    private static final long WORK_MILLIS = 1_500;
    private static final double HOT_FACTOR = 2.5;
    private static final long KILLED_MILLIS = 1_500;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The users' budgets are 1.3 times what their workspaces need in a day. */
    private static final double LIMIT_FACTOR = 1.3;

    /** A loss of all routers may take this much demand with it: the bound, the calls in progress, and half as much again. */
    private static final double MOST_FORFEITED_SECONDS = 6;

    private final PrintWriter out;
    private final long seed;

    /** Creates a benchmark that prints its table. */
    public SharesBench(PrintWriter out, long seed) {
        this.out = out;
        this.seed = seed;
    }

    /** Runs every scenario; returns whether the settings in use meet the targets. */
    public boolean run() {
        Map<String, SharePolicy.Tuning> tunings = new LinkedHashMap<>();
        tunings.put("whole grant at any time", ShareSettings.TUNING.withoutBounds());
        tunings.put("bounds of " + ShareSettings.TUNING.boundMillis() + " ms", ShareSettings.TUNING);
        out.println("| scenario | shares | calls | refused | forfeited, s of demand | spent of the budget |");
        out.println("| --- | --- | --- | --- | --- | --- |");
        List<String> missed = new ArrayList<>();
        for (Scenario scenario : Scenario.values()) {
            for (Map.Entry<String, SharePolicy.Tuning> tuning : tunings.entrySet()) {
                Result result = result(scenario, tuning.getValue());
                print(scenario, tuning.getKey(), result);
                if (tuning.getValue().equals(ShareSettings.TUNING)) {
                    missed.addAll(missedTargets(scenario, result));
                }
            }
        }
        missed.forEach(text -> out.println("missed: " + text));
        return missed.isEmpty();
    }

    private void print(Scenario scenario, String tuning, Result result) {
        out.printf(
                Locale.ROOT,
                "| %s | %s | %d | %.1f%% | %.1f | %.0f%% |%n",
                scenario.text,
                tuning,
                result.calls(),
                result.refusedFraction() * 100,
                result.forfeitedSeconds(),
                result.spentFraction() * 100);
    }

    /** Returns the targets that a result of the settings in use misses. */
    static List<String> missedTargets(Scenario scenario, Result result) {
        List<String> missed = new ArrayList<>();
        if (result.spentFraction() > 1) {
            missed.add(scenario.text + ": more was spent than the limit");
        }
        if (scenario == Scenario.KILL && result.forfeitedSeconds() > MOST_FORFEITED_SECONDS) {
            missed.add(scenario.text + ": " + result.forfeitedSeconds() + " s of demand forfeited");
        }
        return missed;
    }

    /** Runs one scenario. */
    Result result(Scenario scenario, SharePolicy.Tuning tuning) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        double demand = CALLS_PER_SECOND * (MIN_TOKENS + MEAN_TOKENS);
        long limitTokens = Math.round(demand * SECONDS * LIMIT_FACTOR);
        ShareFleet fleet = new ShareFleet(ROUTERS, limitTokens, ShareSettings.POLICY, tuning);
        long calls = 0;
        double due = 0;
        for (long atMillis = 0; atMillis < SECONDS * MILLIS_PER_SECOND; atMillis += STEP_MILLIS) {
            applyFaults(scenario, fleet, atMillis);
            due += CALLS_PER_SECOND * factor(scenario, atMillis) * STEP_MILLIS / MILLIS_PER_SECOND;
            while (due >= 1) {
                due--;
                calls++;
                long tokens = MIN_TOKENS + Math.round(MEAN_TOKENS * Demand.exponential(random));
                fleet.call(random.nextInt(ROUTERS), tokens, false, WORK_MILLIS);
            }
            fleet.pass(STEP_MILLIS);
        }
        fleet.cutStore(false);
        fleet.pass(WORK_MILLIS * 2);
        return new Result(
                calls,
                fleet.refusals().size(),
                Accounts.forfeitedTokens(fleet.account()) / demand,
                (double) fleet.servedTokens() / limitTokens);
    }

    private static double factor(Scenario scenario, long atMillis) {
        return scenario == Scenario.HOT && within(atMillis, 14, 20) ? HOT_FACTOR : 1;
    }

    private static boolean within(long atMillis, int fromSeconds, int toSeconds) {
        return atMillis >= fromSeconds * MILLIS_PER_SECOND && atMillis < toSeconds * MILLIS_PER_SECOND;
    }

    private static void applyFaults(Scenario scenario, ShareFleet fleet, long atMillis) {
        boolean cuts = scenario == Scenario.CUT || scenario == Scenario.KILL_IN_CUT;
        fleet.cutStore(cuts && within(atMillis, 12, 20));
        boolean killed = scenario == Scenario.KILL && atMillis == 30 * MILLIS_PER_SECOND
                || scenario == Scenario.KILL_IN_CUT && atMillis == 18 * MILLIS_PER_SECOND;
        if (killed) {
            fleet.killAll(KILLED_MILLIS);
        }
    }
}
