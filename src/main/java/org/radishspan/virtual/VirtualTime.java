package org.radishspan.virtual;

import java.util.PriorityQueue;

/**
 * A simulated clock and scheduler, which makes tests independent of real time.
 *
 * <p>The clock jumps from one scheduled action to the next. Actions of the same time run in the order of scheduling.
 */
public final class VirtualTime {
    private record Action(long atMillis, long order, Runnable task) implements Comparable<Action> {
        @Override
        public int compareTo(Action other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Action> actions = new PriorityQueue<>();
    private long nowMillis;
    private long scheduledCount;

    /** Creates a clock with a start time in milliseconds. */
    public VirtualTime(long startMillis) {
        this.nowMillis = startMillis;
    }

    /** Returns the present simulated time in milliseconds. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Schedules an action; a negative delay counts as 0. The action runs during a later part of {@link #run}. */
    public void schedule(long delayMillis, Runnable task) {
        scheduledCount++;
        actions.add(new Action(nowMillis + Math.max(0, delayMillis), scheduledCount, task));
    }

    /** Advances the clock by a time span and runs the actions due in it, also those that are scheduled meanwhile. */
    public void run(long spanMillis) {
        long endMillis = nowMillis + spanMillis;
        while (!actions.isEmpty() && actions.peek().atMillis() <= endMillis) {
            Action next = actions.remove();
            nowMillis = next.atMillis();
            next.task().run();
        }
        nowMillis = endMillis;
    }
}
