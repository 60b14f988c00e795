package org.radishspan.relay;

/**
 * Measures how fast the waiting requests for a service are sent, in tokens, and estimates from it how long others take.
 *
 * <p>The rate is an exponentially weighted mean over the time in which requests waited. The time in which none waited does not
 * count, as the rate is then that of arrivals and says nothing about the room at the targets.
 */
final class DrainRate {
    /**
     * Time constant of the mean. It holds some ten sends of a router at the users' rate of five a second, and is shorter than
     * the bursts of 3 to 17 s that the queue is for.
     */
    private static final double WINDOW_MILLIS = 2_000;

    /** The time for which requests must have waited until the rate is known. */
    private static final long MIN_MEASURED_MILLIS = 500;

    private double sentTokens;
    private long measuredMillis;
    private long updatedAtMillis;
    private long busySinceMillis;
    private boolean busy;

    /** Records whether requests wait from now on. */
    void setBusy(boolean waiting, long nowMillis) {
        advance(nowMillis);
        if (waiting && !busy) {
            busySinceMillis = nowMillis;
        }
        busy = waiting;
    }

    private void advance(long nowMillis) {
        if (busy) {
            long elapsedMillis = nowMillis - updatedAtMillis;
            sentTokens *= Math.exp(-elapsedMillis / WINDOW_MILLIS);
            measuredMillis += elapsedMillis;
        }
        updatedAtMillis = nowMillis;
    }

    /** Records that a request was sent. One that was sent at once does not count. */
    void onSent(long tokens, long nowMillis) {
        advance(nowMillis);
        if (busy && nowMillis > busySinceMillis) {
            sentTokens += tokens;
        }
    }

    /** Returns whether requests have waited long enough for the rate to be known. */
    boolean known(long nowMillis) {
        advance(nowMillis);
        return measuredMillis >= MIN_MEASURED_MILLIS;
    }

    /** Returns the tokens of requests that are sent in a second; 0 if the rate is not known. */
    double tokensPerSecond(long nowMillis) {
        return known(nowMillis) ? 1_000 * tokensPerMilli() : 0;
    }

    private double tokensPerMilli() {
        return sentTokens / WINDOW_MILLIS / (1 - Math.exp(-measuredMillis / WINDOW_MILLIS));
    }

    /** Returns the time in which requests with so many tokens are sent; 0 if the rate is not known. */
    long millisFor(long tokens, long nowMillis) {
        if (tokens == 0 || !known(nowMillis)) {
            return 0;
        }
        return Math.round(Math.min(Integer.MAX_VALUE, tokens / tokensPerMilli()));
    }
}
