package org.radishspan.routing;

/**
 * Decides whether the memory of a target has room for a request, so that all routers together never exceed it.
 *
 * <p>Load addressed: requests of 800 to 9,500 tokens from 80 routers to 100 engines, also if all routers get requests at
 * the same moment, and reports that are some tenths of a second old. An engine crashes if what it holds exceeds its
 * memory.
 *
 * <p>The room that a target had when it last reported is divided into parts of the size of a large request. The parts
 * belong to the first routers by rendezvous hashing, so that the requests sent since the report fit even if every router
 * uses its part at once. Other routers use other targets until the next report. If there is no recent report, the whole
 * memory is divided in the same way among the requests in progress.
 */
final class TargetMemory {
    /**
     * Number of standard deviations by which the sizes of reported requests may exceed their mean. The users' busiest days
     * have some 20,000 requests to engines, and a deviation of 4 is exceeded once in 30,000 decisions.
     */
    private static final double DEVIATIONS = 4;

    /**
     * How much later than this one another router may get a report: the time of three messages. Requests of this router
     * count as not reported until every router has a report that contains them. Otherwise this router could use its part
     * again while routers with an older report still use theirs of that report.
     */
    private static final long VIEW_SPREAD_MILLIS = 1_500;

    /**
     * Age of a report from which on it is not used. The requests that it counts have ended by then: the users give long
     * prompts 5 s. An engine that reads many prompts may send no report for seconds and still hold all of them.
     */
    private static final long STALE_MILLIS = 10_000;

    private final LimitDivision limitDivision;

    TargetMemory(LimitDivision limitDivision) {
        this.limitDivision = limitDivision;
    }

    /** Returns whether a target can hold a request of {@code tokens} in addition to those that it may hold already. */
    boolean hasRoom(Target target, long tokens, long nowMillis) {
        long capacity = target.load.service().memoryTokens;
        if (capacity <= 0 || tokens <= 0) {
            return true;
        }
        LoadView load = target.load;
        if (load.ageMillis(nowMillis) >= STALE_MILLIS) {
            return target.heldTokens + tokens <= shareTokens(target, tokens, capacity);
        }
        long knownEverywhereMillis = load.lastReportBefore(nowMillis - VIEW_SPREAD_MILLIS);
        long unseen =
                Math.min(target.heldTokens, load.tokensSentAfter(knownEverywhereMillis - LoadView.TRANSIT_MILLIS));
        double reported = target.heldTokens - unseen + reportedOthersTokens(load, tokens);
        return unseen + tokens <= shareTokens(target, tokens, capacity - (long) Math.ceil(reported));
    }

    /** Returns the part of free memory that this router may use; the first router also gets what remains undivided. */
    private long shareTokens(Target target, long tokens, long freeTokens) {
        long partTokens = Math.max(tokens, target.load.service().sizes.large());
        if (freeTokens < partTokens) {
            return freeTokens >= tokens && isFirst(target) ? freeTokens : 0;
        }
        int parts = (int) Math.min(Integer.MAX_VALUE, freeTokens / partTokens);
        long share = limitDivision.connectionShare(target.nameHash, parts) * partTokens;
        return share + (isFirst(target) ? freeTokens % partTokens : 0);
    }

    private boolean isFirst(Target target) {
        return limitDivision.connectionShare(target.nameHash, 1) > 0;
    }

    /** Returns an upper bound of the tokens of the other routers' requests that a target reported. */
    private static double reportedOthersTokens(LoadView load, long ownTokens) {
        RequestSizes sizes = load.service().sizes;
        double requests = load.reportedOthersLoad();
        double expected = requests * sizes.mean(ownTokens) + DEVIATIONS * Math.sqrt(requests) * sizes.deviation();
        return Math.min(expected, requests * Math.max(sizes.largest(), ownTokens));
    }
}
