package org.radishspan.front;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects stalls of the event loop and estimates how long a request may have waited before this process read it.
 *
 * <p>A VM that was frozen, starved of CPU time or overloaded finds a backlog of requests in its sockets. Many of their callers
 * have already disconnected, but the process reads a request before it detects that the connection was closed.
 */
final class StallWatch {
    /** Requests that arrived during a stall are read within this time after it. */
    private static final long BACKLOG_MILLIS = 100;

    /**
     * The time over which the standing delay is measured. Pauses for garbage collection and for the processor quota of a small
     * VM, a tenth of a second each, are shorter.
     */
    private static final long DELAY_WINDOW_MILLIS = 300;

    /** A tick that was due at a time and ran later. */
    private record TickDelay(long atMillis, long delayMillis) {}

    private final Deque<TickDelay> delays = new ArrayDeque<>();
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

    /** Records a tick that was due at {@code dueAtMillis}, as {@link #onTick(long)} does, and by how much it is late. */
    void onTick(long dueAtMillis, long nowMillis) {
        onTick(nowMillis);
        delays.addLast(new TickDelay(nowMillis, Math.max(0, nowMillis - dueAtMillis)));
        while (delays.size() > 2 && delays.getFirst().atMillis() < nowMillis - DELAY_WINDOW_MILLIS) {
            delays.removeFirst();
        }
    }

    /**
     * Returns by how much every tick is late at present: the shortest delay of the latest ticks. A single late tick does not
     * count, as the work that it delayed has been done by then.
     */
    long standingDelayMillis() {
        return delays.size() < 2
                ? 0
                : delays.stream().mapToLong(TickDelay::delayMillis).min().orElse(0);
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
