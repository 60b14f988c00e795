package org.radishspan.budget;

/**
 * The settings that determine how many tokens of a budget a router holds and how it requests them.
 *
 * @param horizonMillis how long a share covers the demand if the ledger is unavailable
 * @param freeFraction the maximum fraction of the free tokens that one grant takes
 * @param heldFraction the fraction of the spendable tokens that all shares together should hold; used only if {@link
 *     Tuning#reserveFraction} is 0
 * @param minimumGrantTokens the minimum headroom in tokens that a share holds beyond the expected demand
 * @param waitMillis how long a call waits for tokens before it is refused
 * @param retryMillis the minimum time between two requests to the ledger for one share
 * @param handoverAfterMillis the time after which a bill that the ledger has not committed is handed over to holders
 * @param holderCount the number of routers that may hold unposted bills of a share
 */
public record SharePolicy(
        long horizonMillis,
        double freeFraction,
        double heldFraction,
        long minimumGrantTokens,
        long waitMillis,
        long retryMillis,
        long handoverAfterMillis,
        int holderCount) {

    /**
     * The settings for fine tuning.
     *
     * @param demandSmoothing the weight of the last second in the smoothed demand, from 0 to 1
     * @param priorCalls the number of recent calls at which a router's own measured demand and the mean demand of all
     *     routers have equal weight in its estimate; 0 to use the measured demand only
     * @param initialFraction the fraction of the unspent tokens that all routers together hold before demand is measured
     * @param idleMillis the time without calls after which a share is given back completely
     * @param lowWaterFraction the fraction of its desired size below which a share is filled up
     * @param minimumCalls the number of calls of average size that a share should at least hold as headroom
     * @param safetyFactor the number of standard deviations of the horizon's demand that a share holds beyond the mean
     * @param reserveFraction the fraction of the spendable tokens that remains in the ledger for waiting calls
     * @param reserveMillis limits that reserve to the fleet's demand of this time; 0 for no such limit
     * @param settleIntervalMillis the minimum time between two reports of bills
     * @param noticeIntervalMillis the minimum time between two announcements that a share has too few tokens
     * @param boundMillis how long a stated spending bound is valid; 0 to state no bounds, so that the whole grant can be
     *     spent at any time
     * @param urgentFraction the fraction of a budget's limit that is reserved for urgent calls; 0 for none
     * @param maxUnconfirmedMillis how long a share may be spent after the last change that the ledger confirmed; 0 for no limit
     */
    public record Tuning(
            double demandSmoothing,
            double priorCalls,
            double initialFraction,
            long idleMillis,
            double lowWaterFraction,
            double minimumCalls,
            double safetyFactor,
            double reserveFraction,
            long reserveMillis,
            long settleIntervalMillis,
            long noticeIntervalMillis,
            long boundMillis,
            double urgentFraction,
            long maxUnconfirmedMillis) {
        /**
         * The default: smooths the demand strongly, holds nothing before demand is measured, reports bills immediately and
         * states no spending bounds.
         */
        public static final Tuning DEFAULT = new Tuning(0.03, 0, 0, 15_000, 0.9, 4, 0, 0, 0, 0, 1_000, 0, 0, 0);

        /** Returns this tuning without spending bounds and without a reserve for urgent calls. */
        public Tuning withoutBounds() {
            return new Tuning(
                    demandSmoothing,
                    priorCalls,
                    initialFraction,
                    idleMillis,
                    lowWaterFraction,
                    minimumCalls,
                    safetyFactor,
                    reserveFraction,
                    reserveMillis,
                    settleIntervalMillis,
                    noticeIntervalMillis,
                    0,
                    0,
                    maxUnconfirmedMillis);
        }

        /** Returns until when a share may be spent whose last confirmed change was sent at the given time. */
        long spendableUntilMillis(long sentAtMillis) {
            return maxUnconfirmedMillis == 0 ? Long.MAX_VALUE : sentAtMillis + maxUnconfirmedMillis;
        }
    }

    /** The default policy. */
    public static final SharePolicy DEFAULT = new SharePolicy(660_000, 0.5, 0.9, 256, 2_000, 100, 500, 2);

    /** Checks that the horizon is positive and the free fraction is above 0 and at most 1. */
    public SharePolicy {
        if (horizonMillis <= 0) {
            throw new IllegalArgumentException("horizonMillis must be positive: " + horizonMillis);
        }
        if (freeFraction <= 0 || freeFraction > 1) {
            throw new IllegalArgumentException("freeFraction must be above 0 and at most 1: " + freeFraction);
        }
    }

    /** Returns a copy of this policy with another horizon. */
    public SharePolicy withHorizonMillis(long millis) {
        return new SharePolicy(
                millis,
                freeFraction,
                heldFraction,
                minimumGrantTokens,
                waitMillis,
                retryMillis,
                handoverAfterMillis,
                holderCount);
    }
}
