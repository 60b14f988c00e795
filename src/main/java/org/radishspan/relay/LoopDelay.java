package org.radishspan.relay;

/**
 * Decides which requests this router is too slow for at present, from the delay of its event loop.
 *
 * <p>Addresses a router that is short of processor time: every request then waits for the event loop, and requests with short
 * deadlines miss them first. Refusing these early leaves the processor to requests that can still be answered. A request that
 * would only be late for its latency objective is not refused: in trials its caller's retry was mostly refused as well.
 */
final class LoopDelay {
    /** The passes of the event loop that an answer waits for: reading the request, and relaying the first event. */
    private static final int PASSES = 2;

    /** The minimum Retry-After: the time over which the delay is measured, within which it can have ended. */
    private static final long MIN_RETRY_MILLIS = 300;

    /** The time between two returning callers. A small router of the users handles some ten requests a second. */
    private static final long RETURN_GAP_MILLIS = 100;

    /** The time over which callers return; callers with short deadlines do not wait longer. */
    private static final long RETURN_SPREAD_MILLIS = 1_000;

    private final ReturnTimes returnTimes = new ReturnTimes();
    private long delayMillis;

    /** Records by how much every pass of the event loop is late at present. */
    void onMeasured(long measuredMillis) {
        delayMillis = measuredMillis;
    }

    long millis() {
        return delayMillis;
    }

    /** Returns whether a request cannot be answered within the time until its deadline. */
    boolean tooLong(long remainingMillis) {
        return PASSES * delayMillis > remainingMillis;
    }

    /** Returns the Retry-After of a request that was refused because of the delay. */
    long retryAfterMillis(long nowMillis) {
        return returnTimes.next(
                Math.max(MIN_RETRY_MILLIS, PASSES * delayMillis), RETURN_GAP_MILLIS, RETURN_SPREAD_MILLIS, nowMillis);
    }
}
