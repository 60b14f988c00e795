package org.radishspan.routing;

import java.util.function.DoubleUnaryOperator;

/**
 * The rate limit of a target, in requests a second from all routers together, with a token bucket for this router's
 * share.
 *
 * <p>The bucket starts empty, so that a router that has just started, or just received the limit, adds nothing to the
 * requests of the others.
 */
final class RateLimit {
    /**
     * Capacity of the bucket, as the time to fill it. It holds at least one request, because callers send at uneven
     * intervals.
     */
    private static final double BURST_MILLIS = 500;

    /** The same for cold targets, whose limit is checked in windows of one second. */
    private static final double COLD_BURST_MILLIS = 250;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Tolerance for rounding errors in the sum of refills. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final LimitDivision limitDivision;
    private final DoubleUnaryOperator sharePerSecond;
    private final double burstMillis;
    private double requestsPerSecond;
    private long reportedAtMillis;
    private double bucketTokens;
    private long refilledAtMillis;

    private RateLimit(
            LimitDivision limitDivision,
            DoubleUnaryOperator sharePerSecond,
            double burstMillis,
            double requestsPerSecond,
            long nowMillis) {
        this.limitDivision = limitDivision;
        this.sharePerSecond = sharePerSecond;
        this.burstMillis = burstMillis;
        this.requestsPerSecond = requestsPerSecond;
        this.reportedAtMillis = nowMillis;
        this.refilledAtMillis = nowMillis;
    }

    /** Returns the limit that a target reported. */
    static RateLimit ofReport(int targetHash, LimitDivision limitDivision, double requestsPerSecond, long nowMillis) {
        return new RateLimit(
                limitDivision,
                limit -> limitDivision.sharePerSecond(targetHash, limit),
                BURST_MILLIS,
                requestsPerSecond,
                nowMillis);
    }

    /** Returns the limit of a cold target. */
    static RateLimit ofColdTarget(
            int targetHash, LimitDivision limitDivision, double requestsPerSecond, long nowMillis) {
        return new RateLimit(
                limitDivision,
                limit -> limitDivision.coldSharePerSecond(targetHash, limit),
                COLD_BURST_MILLIS,
                requestsPerSecond,
                nowMillis);
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Returns when an answer or a peer last reported the limit. */
    long reportedAtMillis() {
        return reportedAtMillis;
    }

    /** Records a report of the limit; returns whether its rate differs from the one before. */
    boolean onReported(double reportedPerSecond, long nowMillis) {
        refill(nowMillis);
        boolean changed = reportedPerSecond != requestsPerSecond;
        requestsPerSecond = reportedPerSecond;
        reportedAtMillis = nowMillis;
        return changed;
    }

    private double sharePerMilli() {
        return sharePerSecond.applyAsDouble(requestsPerSecond) / MILLIS_PER_SECOND;
    }

    private void refill(long nowMillis) {
        double share = sharePerMilli();
        double capacity = Math.max(1, share * burstMillis);
        bucketTokens = Math.min(capacity, bucketTokens + share * (nowMillis - refilledAtMillis));
        refilledAtMillis = nowMillis;
    }

    /** Returns whether this router may send a request now. */
    boolean allows(long nowMillis) {
        refill(nowMillis);
        return sharePerMilli() > 0 && bucketTokens >= 1 - ROUNDING_TOLERANCE;
    }

    /** Takes the token of a request that was sent. */
    void onSent(long nowMillis) {
        refill(nowMillis);
        bucketTokens--;
    }

    /**
     * Returns the time until this router may send a request. If it has no share, returns the estimated time until
     * another router may, which is at most the expiry time of the limit.
     */
    long waitMillis(long nowMillis) {
        refill(nowMillis);
        double share = sharePerMilli();
        if (share > 0) {
            return (long) Math.ceil(Math.max(0, 1 - bucketTokens) / share);
        }
        double fleetPerMilli = requestsPerSecond / MILLIS_PER_SECOND;
        return Math.min(limitDivision.expiryMillis(requestsPerSecond), (long) Math.ceil(1 / fleetPerMilli));
    }

    /** Returns whether the limit has not been reported for so long that the target is to be tried again. */
    boolean expired(long nowMillis) {
        return nowMillis - reportedAtMillis >= limitDivision.expiryMillis(requestsPerSecond);
    }
}
