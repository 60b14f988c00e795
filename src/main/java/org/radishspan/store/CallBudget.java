package org.radishspan.store;

/**
 * A token bucket that limits one VM's calls to its part of the call rate of the platform's store.
 *
 * <pre>{@code
 * CallBudget writes = new CallBudget(20, 40);
 * if (writes.tryTake(nowMillis)) {
 *     store.put(key, version, value, reply);
 * }
 * }</pre>
 */
public final class CallBudget {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private double callsPerSecond;
    private double burstCalls;
    private double tokens;
    private long refilledAtMillis;
    private boolean started;

    /**
     * Creates a full bucket.
     *
     * @param callsPerSecond the rate at which the bucket is refilled; must be positive
     * @param burstCalls the capacity of the bucket in calls, at least 1
     */
    public CallBudget(double callsPerSecond, double burstCalls) {
        if (callsPerSecond <= 0) {
            throw new IllegalArgumentException("callsPerSecond must be positive: " + callsPerSecond);
        }
        if (burstCalls < 1) {
            throw new IllegalArgumentException("burstCalls must be at least 1: " + burstCalls);
        }
        this.callsPerSecond = callsPerSecond;
        this.burstCalls = burstCalls;
        this.tokens = burstCalls;
    }

    /**
     * Changes the rate, for example because the number of VMs that share a total rate has changed. The capacity becomes
     * the calls of one second, at least 1.
     */
    public void setRate(double newCallsPerSecond) {
        if (newCallsPerSecond <= 0) {
            throw new IllegalArgumentException("callsPerSecond must be positive: " + newCallsPerSecond);
        }
        callsPerSecond = newCallsPerSecond;
        burstCalls = Math.max(1, newCallsPerSecond);
    }

    /** Takes one call from the bucket; returns false and takes nothing if the rate does not allow a call now. */
    public boolean tryTake(long nowMillis) {
        refill(nowMillis);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private void refill(long nowMillis) {
        if (!started) {
            started = true;
            refilledAtMillis = nowMillis;
            return;
        }
        long elapsedMillis = Math.max(0, nowMillis - refilledAtMillis);
        refilledAtMillis = nowMillis;
        tokens = Math.min(burstCalls, tokens + elapsedMillis * callsPerSecond / MILLIS_PER_SECOND);
    }
}
