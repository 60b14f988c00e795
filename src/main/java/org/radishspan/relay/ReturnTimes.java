package org.radishspan.relay;

/**
 * Spreads the times at which refused callers are told to return. Callers that return at the same moment would be refused
 * together again.
 */
final class ReturnTimes {
    private long nextReturnAtMillis = Long.MIN_VALUE / 2;

    /**
     * Returns the delay after which the next refused caller is told to return. Each caller gets a later time than the one
     * before, until the spread is used up and the times start again.
     *
     * @param baseMillis the delay after which a request is expected to be served
     * @param gapMillis the time that must pass until the caller after this one returns
     * @param spreadMillis the longest time that may be added to {@code baseMillis}
     */
    long next(long baseMillis, long gapMillis, long spreadMillis, long nowMillis) {
        long earliestAtMillis = nowMillis + baseMillis;
        long returnAtMillis = Math.max(earliestAtMillis, nextReturnAtMillis);
        if (returnAtMillis > earliestAtMillis + spreadMillis) {
            returnAtMillis = earliestAtMillis;
        }
        nextReturnAtMillis = returnAtMillis + gapMillis;
        return returnAtMillis - nowMillis;
    }
}
