package org.radishspan.routing;

/**
 * The requests a second that a target takes from all routers together, and a token bucket with this router's part of them.
 *
 * <p>The bucket starts empty, so that a router that has just started, or just heard of the limit, adds nothing to what others send.
 */
final class RateLimit {
    /** The bucket holds the requests of this time, and one at least: callers come unevenly. */
    private static final double BURST_MILLIS = 500;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Sums of refills are off by rounding. */
    private static final double ROUNDING = 1e-9;

    private final int targetHash;
    private final RateSenders senders;
    private double requestsPerSecond;
    private long namedAtMillis;
    private double tokens;
    private long refilledAtMillis;

    RateLimit(int targetHash, RateSenders senders, double requestsPerSecond, long nowMillis) {
        this.targetHash = targetHash;
        this.senders = senders;
        this.requestsPerSecond = requestsPerSecond;
        this.namedAtMillis = nowMillis;
        this.refilledAtMillis = nowMillis;
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Returns when an answer, or another router, last named the limit. */
    long namedAtMillis() {
        return namedAtMillis;
    }

    /** Notes that the limit was named; returns whether it has another height than before. */
    boolean onNamed(double namedPerSecond, long nowMillis) {
        refill(nowMillis);
        boolean changed = namedPerSecond != requestsPerSecond;
        requestsPerSecond = namedPerSecond;
        namedAtMillis = nowMillis;
        return changed;
    }

    private double sharePerMilli() {
        return senders.sharePerSecond(targetHash, requestsPerSecond) / MILLIS_PER_SECOND;
    }

    private void refill(long nowMillis) {
        double share = sharePerMilli();
        double most = Math.max(1, share * BURST_MILLIS);
        tokens = Math.min(most, tokens + share * (nowMillis - refilledAtMillis));
        refilledAtMillis = nowMillis;
    }

    /** Returns whether this router may send a request now. */
    boolean allows(long nowMillis) {
        refill(nowMillis);
        return sharePerMilli() > 0 && tokens >= 1 - ROUNDING;
    }

    /** Counts a request. */
    void onSent(long nowMillis) {
        refill(nowMillis);
        tokens--;
    }

    /** Returns how long it takes until this router, or the first other one, may send a request. */
    long waitMillis(long nowMillis) {
        refill(nowMillis);
        double share = sharePerMilli();
        if (share > 0) {
            return (long) Math.ceil(Math.max(0, 1 - tokens) / share);
        }
        double all = requestsPerSecond / MILLIS_PER_SECOND;
        return Math.min(senders.trialMillis(requestsPerSecond), (long) Math.ceil(1 / all));
    }

    /** Returns whether nothing was heard of the limit for so long that the target is to be tried again. */
    boolean lapsed(long nowMillis) {
        return nowMillis - namedAtMillis >= senders.trialMillis(requestsPerSecond);
    }
}
