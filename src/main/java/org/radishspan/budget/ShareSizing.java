package org.radishspan.budget;

import java.util.function.IntSupplier;

/**
 * Calculates how many tokens of a budget a router should hold in its share, and how many of them it may spend before it
 * reports them to the ledger.
 */
final class ShareSizing {
    private static final long RATE_PERIOD_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double GIVE_BACK_FACTOR = 1.1;
    private static final double CALL_SMOOTHING = 0.05;

    /**
     * Standard deviations that the spending bound always adds to the expected demand. The value is small because a share
     * that reaches its bound only has to wait for one write of the ledger.
     */
    private static final double MIN_UNREPORTED_DEVIATIONS = 0.25;

    /**
     * Standard deviations that the spending bound adds where the budget can afford it. The bound then covers the demand in
     * 13 of 14 interruptions of the connection to the ledger.
     */
    private static final double MAX_UNREPORTED_DEVIATIONS = 1.5;

    /**
     * The part of a budget that may be forfeited when all routers are lost at once. The minimum bound applies where it is
     * larger.
     */
    private static final double MAX_FORFEITED_FRACTION = 0.12;

    private SharePolicy policy;
    private SharePolicy.Tuning tuning = SharePolicy.Tuning.DEFAULT;
    private IntSupplier routerCount = () -> 1;
    private double meanCallTokens;
    private double meanSquaredCallTokens;

    ShareSizing(SharePolicy policy) {
        this.policy = policy;
    }

    void useTuning(SharePolicy.Tuning newTuning, IntSupplier newRouterCount) {
        tuning = newTuning;
        routerCount = newRouterCount;
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

    /** Updates the average call sizes of the share and of the router with the size of a call. */
    void recordCall(Share share, long tokens) {
        share.recordCall(tokens);
        meanCallTokens = smoothed(meanCallTokens, tokens);
        meanSquaredCallTokens = smoothed(meanSquaredCallTokens, (double) tokens * tokens);
    }

    private static double smoothed(double average, double value) {
        return average == 0 ? value : average + CALL_SMOOTHING * (value - average);
    }

    /**
     * Updates the measured demand of a share with the tokens requested since the last measurement. A measurement that covers
     * more than two periods is discarded.
     *
     * @param elapsedMillis the time since the last measurement, usually about a second
     */
    void measureDemand(Share share, long elapsedMillis) {
        if (elapsedMillis > RATE_PERIOD_MILLIS * 2) {
            share.periodDemandTokens = 0;
            return;
        }
        double rate = share.periodDemandTokens * MILLIS_PER_SECOND / elapsedMillis;
        share.demandSamples++;
        double weight = Math.max(tuning.demandSmoothing(), 1.0 / share.demandSamples);
        share.demandTokensPerSecond += weight * (rate - share.demandTokensPerSecond);
        share.recentCalls *= 1 - tuning.demandSmoothing();
        share.periodDemandTokens = 0;
    }

    /** Returns whether a call would use tokens of the last part of its budget, which is reserved for urgent calls. */
    boolean isInUrgentReserve(Share share, long tokens) {
        long urgentReserveTokens = (long) (tuning.urgentFraction() * share.budgetLimitTokens);
        return urgentReserveTokens > 0 && spendableTokens(share) - tokens < urgentReserveTokens;
    }

    /** Returns whether a call needs more tokens than the whole fleet can still spend. */
    boolean exceedsSpendable(Share share, long tokens) {
        return spendableTokens(share) < tokens;
    }

    /**
     * Returns whether a call needs more tokens than a router holds on average of those that the fleet can still spend. If
     * the ledger has no free tokens either, no other router can be expected to give that many back.
     */
    boolean exceedsAverageShare(Share share, long tokens) {
        return spendableTokens(share) < tokens * Math.max(1, routerCount.getAsInt());
    }

    /**
     * Returns the number of unused tokens above which a share gives back what exceeds its desired size. The threshold is the
     * desired size itself while another share is waiting for tokens.
     */
    double giveBackThresholdTokens(Share share, long desiredTokens) {
        double slackTokens = tuning.minimumCalls() * expectedCallTokens(share);
        return share.wantedElsewhere ? desiredTokens : desiredTokens * GIVE_BACK_FACTOR + slackTokens;
    }

    /**
     * Returns the tokens that a router may spend before it reports them to the ledger. They cover the demand for as long as
     * a stated bound is valid, because the ledger may stop responding at any time.
     */
    long unreportedTokens(Share share) {
        double demand = expectedDemand(share) * tuning.boundMillis() / MILLIS_PER_SECOND;
        double deviation = Math.sqrt(demand * sizeBiasedCallTokens());
        double initialBound = (double) initialTokens(share) * tuning.boundMillis() / policy.horizonMillis();
        double minimumBound = demand + MIN_UNREPORTED_DEVIATIONS * deviation;
        double maximumBound = demand + MAX_UNREPORTED_DEVIATIONS * deviation;
        double affordableBound = MAX_FORFEITED_FRACTION * spendableTokens(share) * demandFraction(share);
        return (long) Math.max(initialBound, Math.max(minimumBound, Math.min(maximumBound, affordableBound)));
    }

    /** Returns this router's fraction of the fleet's demand for a budget, above 0. */
    private double demandFraction(Share share) {
        return (expectedDemand(share) + 1) / (fleetDemand(share) + 1);
    }

    /**
     * Returns the tokens that the share should have available: the demand of the horizon plus headroom, limited to the
     * share's fair part of the tokens that the fleet can still spend.
     */
    long desiredTokens(Share share) {
        long horizonMillis = share.horizonMillis > 0 ? share.horizonMillis : policy.horizonMillis();
        double demand = expectedDemand(share) * horizonMillis / MILLIS_PER_SECOND;
        double deviation = Math.sqrt(demand * sizeBiasedCallTokens());
        double headroom = tuning.minimumCalls() * expectedCallTokens(share) + tuning.safetyFactor() * deviation;
        long headroomTokens = Math.max(policy.minimumGrantTokens(), (long) headroom);
        long wantedTokens = (long) demand + headroomTokens;
        if (!share.hasLedgerState) {
            return wantedTokens;
        }
        double fraction = demandFraction(share);
        long fairTokens = (long) (totalDesiredTokens(share) * fraction) - share.reservedTokens;
        return Math.max(initialTokens(share), Math.max(0, Math.min(wantedTokens, fairTokens)));
    }

    /** Returns the unspent tokens of the whole fleet without those forfeited by processes that have ended. */
    private static long spendableTokens(Share share) {
        return Math.max(0, share.unspentTokens - share.forfeitedTokens);
    }

    /** Returns the tokens that the shares of all routers together should hold. */
    private double totalDesiredTokens(Share share) {
        long spendable = spendableTokens(share);
        if (tuning.reserveFraction() == 0) {
            return spendable * policy.heldFraction();
        }
        return spendable
                - GrantRule.reserveTokens(
                        spendable, share.fleetDemandTokensPerSecond, tuning.reserveFraction(), tuning.reserveMillis());
    }

    /**
     * Returns the demand of all routers in tokens per second. The demand of this router is the current measurement, that of
     * the others is taken from the last result of the ledger.
     */
    private static double fleetDemand(Share share) {
        double otherDemand = Math.max(0, share.fleetDemandTokensPerSecond - share.reportedDemandTokensPerSecond);
        return share.demandTokensPerSecond + otherDemand;
    }

    /**
     * Returns the expected demand of this router in tokens per second: its measured demand, shrunk towards the mean of all
     * routers. The fewer calls the router has received recently, the more the mean counts.
     */
    private double expectedDemand(Share share) {
        double priorCalls = share.hasLedgerState ? tuning.priorCalls() : 0;
        double shrinkage = priorCalls == 0 ? 0 : priorCalls / (priorCalls + share.recentCalls);
        double meanDemand = fleetDemand(share) / Math.max(1, routerCount.getAsInt());
        return shrinkage * meanDemand + (1 - shrinkage) * share.demandTokensPerSecond;
    }

    /**
     * Returns the size-biased mean of the call sizes, which is the mean square divided by the mean. Multiplied by the demand
     * of a period, it gives the variance of that demand.
     */
    private double sizeBiasedCallTokens() {
        return meanCallTokens == 0 ? 0 : meanSquaredCallTokens / meanCallTokens;
    }

    /**
     * Returns the expected size of a call in tokens. If shares are held before demand is measured, it is at least the mean
     * of all budgets, as this budget may have had smaller calls only, or none.
     */
    private double expectedCallTokens(Share share) {
        boolean heldBeforeDemand = tuning.initialFraction() > 0;
        return heldBeforeDemand ? Math.max(share.meanCallTokens, meanCallTokens) : share.meanCallTokens;
    }

    /**
     * Returns the tokens that a share holds until demand has been measured for a whole horizon: an equal part of the initial
     * fraction for each router, less the tokens already reserved. Returns 0 after that.
     */
    private long initialTokens(Share share) {
        boolean measured = share.demandSamples * RATE_PERIOD_MILLIS >= policy.horizonMillis();
        if (measured) {
            return 0;
        }
        double fraction = tuning.initialFraction() / Math.max(1, routerCount.getAsInt());
        return (long) (spendableTokens(share) * fraction) - share.reservedTokens;
    }
}
