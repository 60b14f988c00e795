package org.radishspan.bench;

/**
 * The size, the calls and the faults of one run of the budget benchmark. Times count from the start of the run.
 *
 * @param name the name of the scenario in the table
 * @param routers the number of routers
 * @param demand the calls of the whole fleet
 * @param durationSeconds the length of the run
 * @param spentFractionAtEnd the expected fraction of each budget that is spent by the end of the run; above 1 it runs out
 * @param partitionedRouters the number of routers that a partition separates from the platform and from the other routers
 * @param partitionFromSeconds the start of the partition
 * @param partitionSeconds the length of the partition
 * @param outageFromSeconds the start of the platform outage
 * @param outageSeconds the length of the platform outage; 0 for none
 * @param crashAtSeconds when a router crashes, to restart 5 s later; 0 for no crash
 */
public record BudgetScenario(
        String name,
        int routers,
        Demand demand,
        int durationSeconds,
        double spentFractionAtEnd,
        int partitionedRouters,
        int partitionFromSeconds,
        int partitionSeconds,
        int outageFromSeconds,
        int outageSeconds,
        int crashAtSeconds) {

    /** Returns a scenario without faults. */
    public static BudgetScenario calm(
            String name, int routers, Demand demand, int durationSeconds, double spentFractionAtEnd) {
        return new BudgetScenario(name, routers, demand, durationSeconds, spentFractionAtEnd, 0, 0, 0, 0, 0, 0);
    }

    /** Returns this scenario with a partition of {@code count} routers, and without a platform outage. */
    public BudgetScenario withPartition(int count, int fromSeconds, int seconds) {
        return new BudgetScenario(
                name,
                routers,
                demand,
                durationSeconds,
                spentFractionAtEnd,
                count,
                fromSeconds,
                seconds,
                0,
                0,
                crashAtSeconds);
    }

    /** Returns this scenario with an outage of the platform. */
    public BudgetScenario withOutage(int fromSeconds, int seconds) {
        return new BudgetScenario(
                name,
                routers,
                demand,
                durationSeconds,
                spentFractionAtEnd,
                partitionedRouters,
                partitionFromSeconds,
                partitionSeconds,
                fromSeconds,
                seconds,
                crashAtSeconds);
    }

    /** Returns this scenario with the crash of a router. */
    public BudgetScenario withCrash(int atSeconds) {
        return new BudgetScenario(
                name,
                routers,
                demand,
                durationSeconds,
                spentFractionAtEnd,
                partitionedRouters,
                partitionFromSeconds,
                partitionSeconds,
                outageFromSeconds,
                outageSeconds,
                atSeconds);
    }

    /** Returns the limit of a budget in tokens, of which the expected demand uses the configured fraction. */
    public long limitTokens(int budget) {
        double usedTokens =
                demand.callsPerSecond() * demand.callFraction(budget) * Demand.MEAN_TOKENS * durationSeconds;
        return Math.round(usedTokens / spentFractionAtEnd);
    }

    /** Returns whether a router is partitioned at a time. */
    boolean isPartitionedAt(int router, long atMillis) {
        long fromMillis = partitionFromSeconds * 1_000L;
        return router < partitionedRouters
                && atMillis >= fromMillis
                && atMillis < fromMillis + partitionSeconds * 1_000L;
    }

    /** Returns whether the platform is down at a time. */
    boolean isOutageAt(long atMillis) {
        long fromMillis = outageFromSeconds * 1_000L;
        return outageSeconds > 0 && atMillis >= fromMillis && atMillis < fromMillis + outageSeconds * 1_000L;
    }
}
