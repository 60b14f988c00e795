package org.radishspan.relay;

/**
 * A request that waits in a {@link RequestQueue}.
 *
 * @param request the request
 * @param service the service that serves it
 * @param workspace the workspace that it counts for
 * @param priority its priority; lower numbers are sent first
 * @param tokens what the request counts in fair queueing and in the drain rate
 * @param bytes the memory that it occupies in this router
 * @param roomKey requests with equal keys find room at the same targets, apart from their tokens
 * @param arrivedAtMillis when it arrived
 * @param latestOnTimeStartAtMillis when it has to be sent so that its answer probably starts on time
 * @param latestStartAtMillis when it has to be sent so that its answer is probably complete before its deadline
 * @param deadlineAtMillis its deadline
 */
record QueuedRequest<T>(
        T request,
        String service,
        String workspace,
        int priority,
        long tokens,
        long bytes,
        Object roomKey,
        long arrivedAtMillis,
        long latestOnTimeStartAtMillis,
        long latestStartAtMillis,
        long deadlineAtMillis) {

    /**
     * The fraction of the time from the arrival to the latest start after which a request counts as ageing. It is long enough
     * for a few more sends of a router that sends some requests a second.
     */
    private static final double AGEING_FRACTION = 7 / 8.0;

    /** Returns whether the request can meet its deadline only if it is sent soon. */
    boolean ageing(long nowMillis) {
        return nowMillis >= arrivedAtMillis + AGEING_FRACTION * (latestStartAtMillis - arrivedAtMillis);
    }

    /** Returns how long the request may still wait; negative if it can no longer meet its deadline. */
    long slackMillis(long nowMillis) {
        return latestStartAtMillis - nowMillis;
    }

    /**
     * Returns whether the request goes before another one of the same workspace and priority: a request that can still be on
     * time goes before one that cannot, and then the earlier deadline goes first.
     */
    boolean isBefore(QueuedRequest<T> other, long nowMillis) {
        boolean onTime = nowMillis <= latestOnTimeStartAtMillis;
        boolean otherOnTime = nowMillis <= other.latestOnTimeStartAtMillis;
        return onTime == otherOnTime ? deadlineAtMillis < other.deadlineAtMillis : onTime;
    }
}
