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
 * Measures how many calls are refused and how much of a budget is lost when the store is unreachable, when all routers are
 * killed, and when one workspace has more calls than usual. Runs have the share settings of the users' platform.
 *
 * <pre>{@code
 * boolean met = new SharesBench(new PrintWriter(System.out, true), 1).run();
 * }</pre>
 */
public final class SharesBench {
    /** The faults or the load peak of one run. */
    enum Scenario {
        CALM("no faults"),
        CUT("all cut from the store, 8 s"),
        KILL("all killed, 1.5 s"),
        KILL_IN_CUT("all killed within a cut"),
        HOT("one workspace at 2.5 times its usual for 6 s");

        private final String label;

        Scenario(String label) {
            this.label = label;
        }
    }

    /**
     * The counts and fractions that one run gave.
     *
     * @param calls the number of calls
     * @param refused the number of calls that were refused
     * @param forfeitedSeconds the tokens that killed routers may have spent, in seconds of the fleet's demand
     * @param spentFraction the fraction of the limit that billed calls used
     */
    record Result(long calls, long refused, double forfeitedSeconds, double spentFraction) {
        double refusedFraction() {
            return (double) refused / calls;
        }
    }

    private static final int ROUTERS = 6;
    private static final int DURATION_SECONDS = 48;
    private static final long STEP_MILLIS = 10;
    private static final double CALLS_PER_SECOND = 20;
    private static final long MEAN_TOKENS = 3_000;
    private static final long MIN_TOKENS = 200;
    private static final long SERVICE_MILLIS = 1_500;
    private static final double HOT_FACTOR = 2.5;
    private static final long DOWN_MILLIS = 1_500;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The users set the limit of a budget to 1.3 times what its workspaces need in a day. */
    private static final double LIMIT_FACTOR = 1.3;

    /**
     * At most this much demand may be forfeited when all routers are killed: the bound and the calls in progress, times
     * 1.5.
     */
    private static final double MAX_FORFEITED_SECONDS = 6;

    private final PrintWriter out;
    private final long seed;

    /** Creates a benchmark that prints its table to {@code out}; {@code seed} determines the calls of every run. */
    public SharesBench(PrintWriter out, long seed) {
        this.out = out;
        this.seed = seed;
    }

    /** Runs every scenario and prints the results; returns whether the production settings met all targets. */
    public boolean run() {
        Map<String, SharePolicy.Tuning> tunings = new LinkedHashMap<>();
        tunings.put("whole grant at any time", ShareSettings.TUNING.withoutBounds());
        tunings.put("bounds of " + ShareSettings.TUNING.boundMillis() + " ms", ShareSettings.TUNING);
        out.println("| scenario | shares | calls | refused | forfeited, s of demand | spent of the budget |");
        out.println("| --- | --- | --- | --- | --- | --- |");
        List<String> missed = new ArrayList<>();
        for (Scenario scenario : Scenario.values()) {
            for (Map.Entry<String, SharePolicy.Tuning> tuning : tunings.entrySet()) {
                Result result = runScenario(scenario, tuning.getValue());
                printRow(scenario, tuning.getKey(), result);
                if (tuning.getValue().equals(ShareSettings.TUNING)) {
                    missed.addAll(missedTargets(scenario, result));
                }
            }
        }
        missed.forEach(target -> out.println("missed: " + target));
        return missed.isEmpty();
    }

    private void printRow(Scenario scenario, String tuning, Result result) {
        out.printf(
                Locale.ROOT,
                "| %s | %s | %d | %.1f%% | %.1f | %.0f%% |%n",
                scenario.label,
                tuning,
                result.calls(),
                result.refusedFraction() * 100,
                result.forfeitedSeconds(),
                result.spentFraction() * 100);
    }

    /** Returns a message for each target that a result of the production settings misses; empty if it meets all of them. */
    static List<String> missedTargets(Scenario scenario, Result result) {
        List<String> missed = new ArrayList<>();
        if (result.spentFraction() > 1) {
            missed.add(scenario.label + ": spent tokens exceed the limit");
        }
        if (scenario == Scenario.KILL && result.forfeitedSeconds() > MAX_FORFEITED_SECONDS) {
            missed.add(scenario.label + ": " + result.forfeitedSeconds() + " s of demand forfeited");
        }
        return missed;
    }

    /** Runs one scenario with the given share settings; returns its result. */
    Result runScenario(Scenario scenario, SharePolicy.Tuning tuning) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        double demandTokensPerSecond = CALLS_PER_SECOND * (MIN_TOKENS + MEAN_TOKENS);
        long limitTokens = Math.round(demandTokensPerSecond * DURATION_SECONDS * LIMIT_FACTOR);
        ShareFleet fleet = new ShareFleet(ROUTERS, limitTokens, ShareSettings.POLICY, tuning);
        long calls = 0;
        double dueCalls = 0;
        for (long atMillis = 0; atMillis < DURATION_SECONDS * MILLIS_PER_SECOND; atMillis += STEP_MILLIS) {
            applyFaults(scenario, fleet, atMillis);
            dueCalls += CALLS_PER_SECOND * callRateFactor(scenario, atMillis) * STEP_MILLIS / MILLIS_PER_SECOND;
            while (dueCalls >= 1) {
                dueCalls--;
                calls++;
                long tokens = MIN_TOKENS + Math.round(MEAN_TOKENS * Demand.exponential(random));
                fleet.call(random.nextInt(ROUTERS), tokens, false, SERVICE_MILLIS);
            }
            fleet.pass(STEP_MILLIS);
        }
        fleet.cutStore(false);
        fleet.pass(SERVICE_MILLIS * 2);
        return new Result(
                calls,
                fleet.refusals().size(),
                Accounts.forfeitedTokens(fleet.account()) / demandTokensPerSecond,
                (double) fleet.servedTokens() / limitTokens);
    }

    private static double callRateFactor(Scenario scenario, long atMillis) {
        return scenario == Scenario.HOT && within(atMillis, 14, 20) ? HOT_FACTOR : 1;
    }

    private static boolean within(long atMillis, int fromSeconds, int toSeconds) {
        return atMillis >= fromSeconds * MILLIS_PER_SECOND && atMillis < toSeconds * MILLIS_PER_SECOND;
    }

    private static void applyFaults(Scenario scenario, ShareFleet fleet, long atMillis) {
        boolean cutScenario = scenario == Scenario.CUT || scenario == Scenario.KILL_IN_CUT;
        fleet.cutStore(cutScenario && within(atMillis, 12, 20));
        boolean killed = scenario == Scenario.KILL && atMillis == 30 * MILLIS_PER_SECOND
                || scenario == Scenario.KILL_IN_CUT && atMillis == 18 * MILLIS_PER_SECOND;
        if (killed) {
            fleet.killAll(DOWN_MILLIS);
        }
    }
}
