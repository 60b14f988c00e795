package org.radishspan.bench;

/**
 * What happens in one run of the budget benchmark.
 *
 * @param name the name in the table
 * @param routers the number of routers
 * @param demand the calls
 * @param durationSeconds the length of the run
 * @param spentAtEnd the part of each budget that the calls would use in that time; above 1 it runs out
 * @param cutRouters how many routers lose the platform and the others
 * @param cutFromSeconds when
 * @param cutSeconds for how long
 * @param outageFromSeconds when the platform goes down
 * @param outageSeconds for how long; 0 for not at all
 * @param crashAtSeconds when a router ends at once and starts anew 5 s later; 0 for not at all
 */
public record BudgetScenario(
        String name,
        int routers,
        Demand demand,
        int durationSeconds,
        double spentAtEnd,
        int cutRouters,
        int cutFromSeconds,
        int cutSeconds,
        int outageFromSeconds,
        int outageSeconds,
        int crashAtSeconds) {

    /** Returns a run without faults. */
    public static BudgetScenario calm(String name, int routers, Demand demand, int durationSeconds, double spentAtEnd) {
        return new BudgetScenario(name, routers, demand, durationSeconds, spentAtEnd, 0, 0, 0, 0, 0, 0);
    }

    /** Returns this run with some routers cut off for a while. */
    public BudgetScenario withCut(int count, int fromSeconds, int seconds) {
        return new BudgetScenario(
                name, routers, demand, durationSeconds, spentAtEnd, count, fromSeconds, seconds, 0, 0, crashAtSeconds);
    }

    /** Returns this run with an outage of the platform. */
    public BudgetScenario withOutage(int fromSeconds, int seconds) {
        return new BudgetScenario(
                name,
                routers,
                demand,
                durationSeconds,
                spentAtEnd,
                cutRouters,
                cutFromSeconds,
                cutSeconds,
                fromSeconds,
                seconds,
                crashAtSeconds);
    }

    /** Returns this run with the crash of a router. */
    public BudgetScenario withCrash(int atSeconds) {
        return new BudgetScenario(
                name,
                routers,
                demand,
                durationSeconds,
                spentAtEnd,
                cutRouters,
                cutFromSeconds,
                cutSeconds,
                outageFromSeconds,
                outageSeconds,
                atSeconds);
    }

    /** Returns the limit of a budget. */
    public long limitTokens(int budget) {
        double used = demand.callsPerSecond() * demand.part(budget) * Demand.MEAN_TOKENS * durationSeconds;
        return Math.round(used / spentAtEnd);
    }

    boolean cutAt(int router, long atMillis) {
        long from = cutFromSeconds * 1_000L;
        return router < cutRouters && atMillis >= from && atMillis < from + cutSeconds * 1_000L;
    }

    boolean outageAt(long atMillis) {
        long from = outageFromSeconds * 1_000L;
        return outageSeconds > 0 && atMillis >= from && atMillis < from + outageSeconds * 1_000L;
    }
}
