package org.radishspan.front;

/**
 * Detects stalls of the event loop and estimates how long a request may have waited before this process read it.
 *
 * <p>A VM that was frozen, starved of CPU time or overloaded finds a backlog of requests in its sockets. Many of their callers
 * have already disconnected, but the process reads a request before it detects that the connection was closed.
 */
final class StallWatch {
    /** Requests that arrived during a stall are read within this time after it. */
    private static final long BACKLOG_MILLIS = 100;

    private final long maxTickIntervalMillis;
    private long lastTickAtMillis;
    private long lastStallMillis;
    private long lastStallEndedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a watch of an event loop whose last tick was at the given time.
     *
     * @param maxTickIntervalMillis the longest usual time between two ticks; what exceeds twice this time counts as a stall
     */
    StallWatch(long maxTickIntervalMillis, long nowMillis) {
        this.maxTickIntervalMillis = maxTickIntervalMillis;
        this.lastTickAtMillis = nowMillis;
    }

    /** Records a tick of the event loop, and a stall if the time since the previous tick is too long. */
    void onTick(long nowMillis) {
        long endedStallMillis = currentStallMillis(nowMillis);
        if (endedStallMillis > 0) {
            lastStallMillis = endedStallMillis;
            lastStallEndedAtMillis = nowMillis;
        }
        lastTickAtMillis = nowMillis;
    }

    private long currentStallMillis(long nowMillis) {
        return Math.max(0, nowMillis - lastTickAtMillis - 2 * maxTickIntervalMillis);
    }

    /**
     * Returns how many milliseconds a request that is read now may have waited. This is the length of a stall that is not yet
     * over or ended less than {@link #BACKLOG_MILLIS} ago, else 0.
     */
    long waitedMillis(long nowMillis) {
        boolean backlog = nowMillis - lastStallEndedAtMillis < BACKLOG_MILLIS;
        return Math.max(currentStallMillis(nowMillis), backlog ? lastStallMillis : 0);
    }
}
