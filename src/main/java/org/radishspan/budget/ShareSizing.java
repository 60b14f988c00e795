package org.radishspan.budget;

import java.util.function.IntSupplier;

/** Decides how much of a budget a router holds and how much of that it may spend without telling the ledger. */
final class ShareSizing {
    private static final long RATE_PERIOD_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double EXCESS_FACTOR = 1.1;
    private static final double CALL_SMOOTHING = 0.05;

    /** Deviations beyond the mean; a share that runs short of its bound waits for one write of the ledger only. */
    private static final double LEAST_UNREPORTED_DEVIATIONS = 0.25;

    /** The bound covers 13 of 14 cuts where the budget affords it. */
    private static final double MOST_UNREPORTED_DEVIATIONS = 1.5;

    /** A loss of all routers may take so much of a budget with it, if that is more than the least bound. */
    private static final double UNREPORTED_FRACTION = 0.12;

    private SharePolicy policy;
    private SharePolicy.Tuning tuning = SharePolicy.Tuning.USUAL;
    private IntSupplier routerCount = () -> 1;
    private double typicalCallTokens;
    private double squaredCallTokens;

    ShareSizing(SharePolicy policy) {
        this.policy = policy;
    }

    void useTuning(SharePolicy.Tuning newTuning, IntSupplier routers) {
        tuning = newTuning;
        routerCount = routers;
    }

    void usePolicy(SharePolicy newPolicy) {
        policy = newPolicy;
    }

    SharePolicy policy() {
        return policy;
    }

    SharePolicy.Tuning tuning() {
        return tuning;
    }

    /** Learns the usual size of calls. */
    void noteCall(Share share, long tokens) {
        share.noteCall(tokens);
        typicalCallTokens = smoothed(typicalCallTokens, tokens);
        squaredCallTokens = smoothed(squaredCallTokens, (double) tokens * tokens);
    }

    private static double smoothed(double average, double value) {
        return average == 0 ? value : average + CALL_SMOOTHING * (value - average);
    }

    /** Measures the demand of the last second or so. */
    void measureDemand(Share share, long elapsedMillis) {
        if (elapsedMillis > RATE_PERIOD_MILLIS * 2) {
            share.demandTokens = 0;
            return;
        }
        double rate = share.demandTokens * MILLIS_PER_SECOND / elapsedMillis;
        share.demandSeconds++;
        double weight = Math.max(tuning.demandSmoothing(), 1.0 / share.demandSeconds);
        share.demandTokensPerSecond += weight * (rate - share.demandTokensPerSecond);
        share.callsSeen *= 1 - tuning.demandSmoothing();
        share.demandTokens = 0;
    }

    /** Returns whether a call that can wait would take of the last tokens of its budget. */
    boolean keptForUrgentCalls(Share share, long tokens) {
        long keptTokens = (long) (tuning.urgentFraction() * share.budgetLimitTokens);
        return keptTokens > 0 && spendableTokens(share) - tokens < keptTokens;
    }

    /** Returns whether a call needs more than can still be spent. */
    boolean isBeyondSpendable(Share share, long tokens) {
        return spendableTokens(share) < tokens;
    }

    /**
     * Returns whether a call needs more than a router holds on average of what can still be spent: with nothing free in the
     * ledger, no other router can spare that much.
     */
    boolean isScattered(Share share, long tokens) {
        return spendableTokens(share) < tokens * Math.max(1, routerCount.getAsInt());
    }

    /** Returns the tokens beyond which a share gives back what exceeds its aim. */
    double excessTokens(Share share, long targetTokens) {
        double slack = tuning.callsHeld() * usualCallTokens(share);
        return share.wantedElsewhere ? targetTokens : targetTokens * EXCESS_FACTOR + slack;
    }

    /**
     * Returns the tokens that a router may spend before it has told the ledger: the demand of the time for which it keeps to
     * a stated bound, as the ledger may stop answering at any moment.
     */
    long unreportedTokens(Share share) {
        double demand = expectedDemand(share) * tuning.boundMillis() / MILLIS_PER_SECOND;
        double deviation = Math.sqrt(demand * sizeBiasedCallTokens());
        double start = (double) startTokens(share) * tuning.boundMillis() / policy.horizonMillis();
        double least = demand + LEAST_UNREPORTED_DEVIATIONS * deviation;
        double most = demand + MOST_UNREPORTED_DEVIATIONS * deviation;
        double affordable = UNREPORTED_FRACTION * spendableTokens(share) * partOfDemand(share);
        return (long) Math.max(start, Math.max(least, Math.min(most, affordable)));
    }

    /** Returns this router's part of the fleet's demand for a budget. */
    private double partOfDemand(Share share) {
        return (expectedDemand(share) + 1) / (fleetDemand(share) + 1);
    }

    /** Returns what the share should have available: the demand of the horizon, within its fair part of what is left. */
    long targetTokens(Share share) {
        long horizonMillis = share.horizonMillis > 0 ? share.horizonMillis : policy.horizonMillis();
        double demand = expectedDemand(share) * horizonMillis / MILLIS_PER_SECOND;
        double deviation = Math.sqrt(demand * sizeBiasedCallTokens());
        double spare = tuning.callsHeld() * usualCallTokens(share) + tuning.safetyFactor() * deviation;
        long few = Math.max(policy.minimumGrantTokens(), (long) spare);
        long wanted = (long) demand + few;
        if (!share.accountSeen) {
            return wanted;
        }
        double part = partOfDemand(share);
        long fair = (long) (heldTokens(share) * part) - share.reservedTokens;
        return Math.max(startTokens(share), Math.max(0, Math.min(wanted, fair)));
    }

    /** Returns the unspent tokens of the whole fleet without those that ended processes took with them. */
    private static long spendableTokens(Share share) {
        return Math.max(0, share.unspentTokens - share.forfeitedTokens);
    }

    /** Returns what all shares together aim at. */
    private double heldTokens(Share share) {
        long spendable = spendableTokens(share);
        if (tuning.reserveFraction() == 0) {
            return spendable * policy.heldFraction();
        }
        return spendable
                - GrantRule.reserveTokens(
                        spendable, share.fleetDemandTokensPerSecond, tuning.reserveFraction(), tuning.reserveMillis());
    }

    /** Returns the demand of all routers: this one's as it is now, that of the others as the ledger last told. */
    private static double fleetDemand(Share share) {
        double others = Math.max(0, share.fleetDemandTokensPerSecond - share.reportedDemandTokensPerSecond);
        return share.demandTokensPerSecond + others;
    }

    /** Returns a router's demand, drawn towards the mean of all routers. */
    private double expectedDemand(Share share) {
        double priorCalls = share.accountSeen ? tuning.priorCalls() : 0;
        double shrinkage = priorCalls == 0 ? 0 : priorCalls / (priorCalls + share.callsSeen);
        double mean = fleetDemand(share) / Math.max(1, routerCount.getAsInt());
        return shrinkage * mean + (1 - shrinkage) * share.demandTokensPerSecond;
    }

    /** Returns by how much a call usually changes a sum of calls: the mean square over the mean. */
    private double sizeBiasedCallTokens() {
        return typicalCallTokens == 0 ? 0 : squaredCallTokens / typicalCallTokens;
    }

    /** Returns the usual size of a call; that of all budgets where this one has had smaller calls or none. */
    private double usualCallTokens(Share share) {
        boolean prepared = tuning.startFraction() > 0;
        return prepared ? Math.max(share.typicalCallTokens, typicalCallTokens) : share.typicalCallTokens;
    }

    /** Returns what a share has before demand is measured: an equal part for each router. */
    private long startTokens(Share share) {
        boolean measured = share.demandSeconds * RATE_PERIOD_MILLIS >= policy.horizonMillis();
        if (measured) {
            return 0;
        }
        double part = tuning.startFraction() / Math.max(1, routerCount.getAsInt());
        return (long) (spendableTokens(share) * part) - share.reservedTokens;
    }
}
