package org.radishspan.routing;

/**
 * The weights by which {@link PrefixValue} compares targets. All times that they weigh are milliseconds of the caller who
 * waits, so that a weight of 1 makes a millisecond of prefill time worth a millisecond of waiting near the objective.
 *
 * @param early weight of the start time while it is early, where an even earlier start hardly matters to the caller
 * @param late the loss of a late answer, in objectives. It is worth more to its caller than the prefill saved, which only lets
 * other answers start earlier
 * @param read weight of the reading time of a prompt, in addition to its share of the start time
 * @param readPerWaiting additional weight of the reading time for each request that waits at a target on average, because
 * reading delays the requests that wait
 * @param otherChoices the number of targets, drawn at random, that are considered beside those that may hold the prompt.
 * Loads are known late, so that many routers would send to the same target if each considered all
 */
public record PrefixWeights(double early, double late, double read, double readPerWaiting, int otherChoices) {
    /** The weights of routers in production, chosen by 'bench routing'. */
    public static final PrefixWeights DEFAULT = new PrefixWeights(0.1, 1, 3, 1, 4);

    /**
     * The fraction of the objective by which an actual start is often earlier or later than estimated. A start that is
     * expected within the rest of the objective is rarely late, and one that is expected after as much more rarely in time.
     */
    private static final double ERROR_FRACTION = 0.6;

    /**
     * Returns the cost of an answer that is estimated to start after {@code startMillis}: the time itself, which counts
     * little while it is early, and the expected loss of a late answer, which grows with the probability that the answer is
     * late. It does not grow further where all starts are late, so that prompts are not moved in vain from targets that hold
     * them. An objective of 0 is none, and all time counts in full.
     */
    public double startCostMillis(double startMillis, long objectiveMillis) {
        double earlyMillis = (1 - ERROR_FRACTION) * objectiveMillis;
        double timeMillis = early * Math.min(earlyMillis, startMillis) + Math.max(0, startMillis - earlyMillis);
        if (objectiveMillis == 0) {
            return timeMillis;
        }
        double lateProbability = (startMillis - earlyMillis) / (2 * ERROR_FRACTION * objectiveMillis);
        return timeMillis + late * objectiveMillis * Math.max(0, Math.min(1, lateProbability));
    }

    /**
     * Returns the cost of the reading of a prompt, which delays the streams and prompts that are at the target.
     *
     * @param meanWaiting the mean number of requests that wait at a target. It is the same for all targets that are compared,
     * because the wait at each is part of its start time already
     */
    public double readCostMillis(double readMillis, double meanWaiting) {
        return (read + readPerWaiting * meanWaiting) * readMillis;
    }
}
