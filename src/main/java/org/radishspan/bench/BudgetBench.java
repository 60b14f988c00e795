package org.radishspan.bench;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.radishspan.budget.SharePolicy;

/**
 * Measures how well and at what cost budgets are enforced: overspent tokens, false refusals, stranded and forfeited tokens,
 * and platform calls. Each scenario runs with the real share code. Those of the small fleet also run with simple baselines.
 *
 * <pre>{@code
 * boolean met = new BudgetBench(new PrintWriter(System.out, true), 1).run();
 * }</pre>
 */
public final class BudgetBench {
    private static final double MAX_CALM_FALSE_REFUSALS = 1.0;
    private static final double MAX_OTHER_FALSE_REFUSALS = 100.0;
    private static final double MAX_WRITES_PER_SECOND = 50.0;
    private static final double MAX_FORFEITED_SECONDS = 5.0;
    private static final int SMALL_FLEET = 7;
    private static final int LARGE_FLEET = 64;
    private static final Demand SMALL_DEMAND = new Demand(10, 2, 16, 500);
    private static final Demand HORIZON_DEMAND = new Demand(10, 2, 16, 100);
    private static final Demand LARGE_DEMAND = new Demand(1_000, 20, 40, 500);

    private final PrintWriter out;
    private final long seed;
    private final List<String> missed = new ArrayList<>();

    /** Creates a benchmark that prints its tables to {@code out}; {@code seed} determines the calls of every run. */
    public BudgetBench(PrintWriter out, long seed) {
        this.out = out;
        this.seed = seed;
    }

    /** Returns the scenario without faults in which the calls use up the budgets. */
    public static BudgetScenario calm() {
        return BudgetScenario.calm("calm", SMALL_FLEET, SMALL_DEMAND, 200, 1.1);
    }

    /**
     * Returns the scenario in which two of seven routers are partitioned from the platform and the other routers for 10
     * minutes.
     */
    public static BudgetScenario partition() {
        return BudgetScenario.calm("cut 2 of 7, 600 s", SMALL_FLEET, SMALL_DEMAND, 780, 0.5)
                .withPartition(2, 120, 600);
    }

    /** Returns the scenario in which the platform is down for 5 minutes. */
    public static BudgetScenario outage() {
        return BudgetScenario.calm("outage 300 s", SMALL_FLEET, SMALL_DEMAND, 480, 0.5)
                .withOutage(120, 300);
    }

    /** Returns the scenario in which a router crashes. */
    public static BudgetScenario crash() {
        return BudgetScenario.calm("crash", SMALL_FLEET, SMALL_DEMAND, 200, 0.5).withCrash(120);
    }

    /** Returns the scenario with 64 routers and 1,000 budgets. */
    public static BudgetScenario large() {
        return BudgetScenario.calm("64 VMs, 1000 budgets", LARGE_FLEET, LARGE_DEMAND, 30, 0.05);
    }

    /** Runs all scenarios and prints their results; returns whether the share code met every target. */
    public boolean run() {
        out.println(BudgetResult.header());
        for (BudgetScenario scenario : List.of(calm(), partition(), outage(), crash())) {
            for (BaselineBudgetRun.Baseline baseline : BaselineBudgetRun.Baseline.values()) {
                printRow(new BaselineBudgetRun(baseline, scenario, seed).run());
            }
            addMissedTargets(printRow(runShares(scenario, SharePolicy.DEFAULT)));
        }
        addMissedTargets(printRow(new FleetBudgetRun("shares", large(), SharePolicy.DEFAULT, seed, 16).run()));
        out.println();
        compareHorizons();
        out.println();
        missed.forEach(out::println);
        out.println(missed.isEmpty() ? "every target was met" : missed.size() + " targets were missed");
        return missed.isEmpty();
    }

    private BudgetResult printRow(BudgetResult result) {
        out.println(result.row());
        return result;
    }

    /** Runs a scenario with the real share code under a policy; returns the result. */
    public BudgetResult runShares(BudgetScenario scenario, SharePolicy policy) {
        return new FleetBudgetRun("shares", scenario, policy, seed, 1).run();
    }

    /** Returns a message for each target that a result misses; empty if it meets all of them. */
    public static List<String> missedTargets(BudgetResult result) {
        List<String> missed = new ArrayList<>();
        check(missed, result, "overspent tokens", result.overspentTokens(), 0);
        boolean relaxed = !result.scenario.equals(calm().name());
        if (relaxed) {
            check(
                    missed,
                    result,
                    "false refusals in 10,000 below 75% spent",
                    result.falseRefusalsBelow75PerTenThousand(),
                    MAX_OTHER_FALSE_REFUSALS);
        } else {
            check(
                    missed,
                    result,
                    "false refusals in 10,000 below 98% spent",
                    result.falseRefusalsPerTenThousand(),
                    MAX_CALM_FALSE_REFUSALS);
        }
        check(missed, result, "seconds of demand forfeited", result.forfeitedSeconds(), MAX_FORFEITED_SECONDS);
        if (!result.scenario.equals(large().name())) {
            check(missed, result, "writes a second", result.writesPerSecond(), MAX_WRITES_PER_SECOND);
        }
        return missed;
    }

    private static void check(
            List<String> missed, BudgetResult result, String measure, double measured, double maximum) {
        if (measured > maximum) {
            missed.add(String.format(
                    Locale.ROOT,
                    "MISSED  %s: %s is %.2f, at most %.2f allowed",
                    result.scenario,
                    measure,
                    measured,
                    maximum));
        }
    }

    private void addMissedTargets(BudgetResult result) {
        missed.addAll(missedTargets(result));
    }

    /** Prints how the share horizon affects the results for partitions of different lengths. */
    private void compareHorizons() {
        out.println("share horizon by length of the partition (2 of 7 routers, budgets 60% spent at the end)");
        out.println(BudgetResult.header());
        for (long horizonSeconds : new long[] {5, 30, 120, 600}) {
            for (int partitionSeconds : new int[] {30, 120, 600}) {
                BudgetScenario scenario = BudgetScenario.calm(
                                "cut " + partitionSeconds + " s",
                                SMALL_FLEET,
                                HORIZON_DEMAND,
                                120 + partitionSeconds,
                                0.6)
                        .withPartition(2, 100, partitionSeconds);
                SharePolicy policy = SharePolicy.DEFAULT.withHorizonMillis(horizonSeconds * 1_000);
                printRow(new FleetBudgetRun("horizon " + horizonSeconds + " s", scenario, policy, seed, 1).run());
            }
        }
    }
}
