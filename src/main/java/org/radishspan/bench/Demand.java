package org.radishspan.bench;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws the random calls of a benchmark: their times, their budgets (a few large, the rest small), the tokens that they reserve
 * and the tokens that they are billed.
 *
 * @param budgets the number of budgets
 * @param largeBudgets the number of large budgets among them
 * @param largeWeight how many times as many calls a large budget has as a small one
 * @param callsPerSecond the mean rate of calls of the whole fleet
 */
public record Demand(int budgets, int largeBudgets, int largeWeight, double callsPerSecond) {
    private static final int MIN_WORST_CASE_TOKENS = 100;
    private static final int WORST_CASE_RANGE_TOKENS = 400;
    private static final double MIN_USED_FRACTION = 0.2;
    private static final double USED_FRACTION_RANGE = 0.6;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** The mean number of tokens that a call is billed. */
    public static final double MEAN_TOKENS =
            (MIN_WORST_CASE_TOKENS + WORST_CASE_RANGE_TOKENS / 2.0) * (MIN_USED_FRACTION + USED_FRACTION_RANGE / 2.0);

    /**
     * One call of the benchmark.
     *
     * @param budget the index of its budget
     * @param worstCaseTokens the tokens that it reserves
     * @param tokens the tokens that it is billed
     */
    public record Call(int budget, long worstCaseTokens, long tokens) {}

    /** Returns the name of the budget with an index. */
    public static String budgetName(int budget) {
        return "budget-" + budget;
    }

    private int totalWeight() {
        return largeBudgets * largeWeight + (budgets - largeBudgets);
    }

    /** Returns the fraction of all calls that use a budget. */
    public double callFraction(int budget) {
        return (budget < largeBudgets ? largeWeight : 1) / (double) totalWeight();
    }

    /** Draws the time to the next call in milliseconds, exponentially distributed. */
    public long nextDelayMillis(UniformRandomProvider random) {
        return Math.round(exponential(random) * MILLIS_PER_SECOND / callsPerSecond);
    }

    /** Draws from the exponential distribution with mean 1, the distribution of times between independent events. */
    static double exponential(UniformRandomProvider random) {
        return -Math.log(1 - random.nextDouble());
    }

    /** Draws the budget, the reserved tokens and the billed tokens of a call. */
    public Call draw(UniformRandomProvider random) {
        int drawn = random.nextInt(totalWeight());
        int largeTotalWeight = largeBudgets * largeWeight;
        int budget = drawn < largeTotalWeight ? drawn / largeWeight : largeBudgets + (drawn - largeTotalWeight);
        long worstCaseTokens = MIN_WORST_CASE_TOKENS + random.nextInt(WORST_CASE_RANGE_TOKENS);
        return new Call(
                budget,
                worstCaseTokens,
                Math.round(worstCaseTokens * (MIN_USED_FRACTION + USED_FRACTION_RANGE * random.nextDouble())));
    }
}
