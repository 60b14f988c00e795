package org.radishspan.routing;

/** The distribution of the tokens that requests occupy in the memory of targets, over the latest requests of the fleet. */
final class RequestSizes {
    /** Number of latest requests that count: those of some seconds at the users' load. */
    private static final double REQUESTS = 2_000;

    /** Time after which the largest request is forgotten unless another one was as large. */
    private static final long LARGEST_MILLIS = 60_000;

    /** Number of standard deviations above the mean at which a request counts as large. */
    private static final double LARGE_DEVIATIONS = 2;

    private final DecayingMean tokens = new DecayingMean(REQUESTS);
    private final DecayingMean tokensSquared = new DecayingMean(REQUESTS);
    private long largestTokens;
    private long largestAtMillis;

    /** Adds requests by their number, their sum, the sum of their squares and the largest of them. */
    void add(long requests, double sumTokens, double sumSquared, long largest, long nowMillis) {
        if (requests <= 0 || !(sumTokens >= 0) || !(sumSquared >= 0)) {
            return;
        }
        tokens.add(sumTokens / requests, requests);
        tokensSquared.add(sumSquared / requests, requests);
        if (largest >= largestTokens || nowMillis - largestAtMillis >= LARGEST_MILLIS) {
            largestTokens = largest;
            largestAtMillis = nowMillis;
        }
    }

    /** Returns the mean, or {@code fallback} if no request is known. */
    double mean(double fallback) {
        return tokens.orElse(fallback);
    }

    private double variance() {
        return Math.max(0, tokensSquared.mean() - tokens.mean() * tokens.mean());
    }

    double deviation() {
        return Math.sqrt(variance());
    }

    /** Returns a size that few requests exceed; 0 if no request is known. */
    long large() {
        return Math.min(largestTokens, Math.round(tokens.mean() + LARGE_DEVIATIONS * deviation()));
    }

    long largest() {
        return largestTokens;
    }
}
