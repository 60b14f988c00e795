package org.radishspan.budget;

/**
 * The knobs of how much of a budget a router holds.
 *
 * @param horizonMillis a share covers the demand of this long without the platform
 * @param freeFraction one grant takes at most this part of the free tokens
 * @param heldFraction all shares together aim at this part of the unspent tokens
 * @param minimumGrantTokens the least that is asked for beyond the need of the moment
 * @param waitMillis how long a request waits for tokens before it is refused
 * @param retryMillis the time between two requests to the ledger for one share
 * @param handoverAfterMillis a bill that the ledger has not taken for so long is handed to a holder
 * @param holderCount how many routers may hold unposted bills of a share
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
     * The finer knobs.
     *
     * @param demandSmoothing the weight of the last second in the measured demand
     * @param priorCalls how many calls of its own weigh as much as the mean of all routers, when a router estimates its
     *     demand for a budget of which it sees few calls
     * @param startFraction the part of the unspent tokens that all routers together hold before demand is measured
     * @param idleMillis a share without calls for so long is given back whole
     * @param lowWaterFraction a share below this part of its aim is filled up
     * @param callsHeld how many usual calls a share holds at least
     * @param safetyFactor how many standard deviations of the horizon's demand a share holds beyond the mean
     * @param reserveFraction the part of the spendable tokens that shares leave to calls that wait
     * @param reserveMillis they leave no more than the fleet's demand of this time; 0 for no such bound
     * @param settleMillis the shortest time between two reports of bills
     * @param noticeMillis the shortest time between two notices that a share is short
     * @param boundMillis for how long a stated bound keeps a router from spending more; 0 to state none and spend the whole
     *     grant at any time
     * @param urgentFraction the last part of a budget, which only urgent calls get; 0 for none
     */
    public record Tuning(
            double demandSmoothing,
            double priorCalls,
            double startFraction,
            long idleMillis,
            double lowWaterFraction,
            double callsHeld,
            double safetyFactor,
            double reserveFraction,
            long reserveMillis,
            long settleMillis,
            long noticeMillis,
            long boundMillis,
            double urgentFraction) {
        /** Measures demand slowly, holds nothing before, reports bills at once, spends the whole grant at any time. */
        public static final Tuning USUAL = new Tuning(0.03, 0, 0, 15_000, 0.9, 4, 0, 0, 0, 0, 1_000, 0, 0);

        /** Returns these knobs for a router that states no bounds and keeps nothing for urgent calls. */
        public Tuning withoutBounds() {
            return new Tuning(
                    demandSmoothing,
                    priorCalls,
                    startFraction,
                    idleMillis,
                    lowWaterFraction,
                    callsHeld,
                    safetyFactor,
                    reserveFraction,
                    reserveMillis,
                    settleMillis,
                    noticeMillis,
                    0,
                    0);
        }
    }

    /** The setting for ordinary days. */
    public static final SharePolicy DEFAULT = new SharePolicy(660_000, 0.5, 0.9, 256, 2_000, 100, 500, 2);

    /** Checks the fields. */
    public SharePolicy {
        if (horizonMillis <= 0) {
            throw new IllegalArgumentException("horizonMillis must be positive: " + horizonMillis);
        }
        if (freeFraction <= 0 || freeFraction > 1) {
            throw new IllegalArgumentException("freeFraction must be above 0 and at most 1: " + freeFraction);
        }
    }

    /** Returns this policy with another horizon. */
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
