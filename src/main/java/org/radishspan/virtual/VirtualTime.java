package org.radishspan.virtual;

import java.util.PriorityQueue;

/** A clock that moves from one scheduled action to the next; equal times run in the order of scheduling. */
public final class VirtualTime {
    private record Action(long atMillis, long order, Runnable run) implements Comparable<Action> {
        @Override
        public int compareTo(Action other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Action> actions = new PriorityQueue<>();
    private long nowMillis;
    private long scheduled;

    /** Creates a clock that starts at a time. */
    public VirtualTime(long startMillis) {
        this.nowMillis = startMillis;
    }

    /** Returns the time. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Runs an action after a delay. */
    public void schedule(long delayMillis, Runnable run) {
        scheduled++;
        actions.add(new Action(nowMillis + Math.max(0, delayMillis), scheduled, run));
    }

    /** Runs everything that is due within a span of time. */
    public void run(long spanMillis) {
        long endMillis = nowMillis + spanMillis;
        while (!actions.isEmpty() && actions.peek().atMillis() <= endMillis) {
            Action next = actions.remove();
            nowMillis = next.atMillis();
            next.run().run();
        }
        nowMillis = endMillis;
    }
}
