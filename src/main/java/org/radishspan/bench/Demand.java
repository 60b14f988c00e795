package org.radishspan.bench;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * The calls that a benchmark makes: large and small workspaces, worst cases and actual uses.
 *
 * @param budgets the number of budgets
 * @param largeBudgets how many of them are large
 * @param largeWeight how many small ones a large one equals
 * @param callsPerSecond the calls of the whole fleet
 */
public record Demand(int budgets, int largeBudgets, int largeWeight, double callsPerSecond) {
    private static final int MIN_WORST_CASE_TOKENS = 100;
    private static final int WORST_CASE_SPAN_TOKENS = 400;
    private static final double MIN_USE = 0.2;
    private static final double USE_SPAN = 0.6;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** The mean of what a call is billed. */
    public static final double MEAN_TOKENS =
            (MIN_WORST_CASE_TOKENS + WORST_CASE_SPAN_TOKENS / 2.0) * (MIN_USE + USE_SPAN / 2.0);

    /**
     * One call.
     *
     * @param budget the number of its budget
     * @param worstCaseTokens what it reserves
     * @param tokens what it is billed
     */
    public record Call(int budget, long worstCaseTokens, long tokens) {}

    /** Returns the name of a budget. */
    public static String name(int budget) {
        return "budget-" + budget;
    }

    private int totalWeight() {
        return largeBudgets * largeWeight + (budgets - largeBudgets);
    }

    /** Returns the part of all calls that a budget pays for. */
    public double part(int budget) {
        return (budget < largeBudgets ? largeWeight : 1) / (double) totalWeight();
    }

    /** Draws the time to the next call. */
    public long nextDelayMillis(UniformRandomProvider random) {
        return Math.round(exponential(random) * MILLIS_PER_SECOND / callsPerSecond);
    }

    /** Draws from the exponential distribution with mean 1, as that of the times between independent events. */
    static double exponential(UniformRandomProvider random) {
        return -Math.log(1 - random.nextDouble());
    }

    /** Draws a call. */
    public Call draw(UniformRandomProvider random) {
        int place = random.nextInt(totalWeight());
        int large = largeBudgets * largeWeight;
        int budget = place < large ? place / largeWeight : largeBudgets + (place - large);
        long worst = MIN_WORST_CASE_TOKENS + random.nextInt(WORST_CASE_SPAN_TOKENS);
        return new Call(budget, worst, Math.round(worst * (MIN_USE + USE_SPAN * random.nextDouble())));
    }
}
