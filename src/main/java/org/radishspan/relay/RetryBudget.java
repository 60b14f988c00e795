package org.radishspan.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the repeated sends to a service, which are all sends of a request after its first, in any window of time.
 *
 * <p>The bound holds for all routers together. Each router spends its part without coordination: the ratio of its own
 * requests, and an equal part of the slack.
 */
public final class RetryBudget {

    /**
     * The bound on repeated sends.
     *
     * @param ratio the allowed repeated sends per request
     * @param windowMillis the length of the sliding window
     * @param slack the allowed repeated sends beyond the ratio, of all routers together
     */
    public record Bound(double ratio, long windowMillis, double slack) {}

    /**
     * The part of the slack that live routers share. The remaining fifth covers routers that started and stopped within the
     * window, which have spent a part of the slack as well.
     */
    private static final double USABLE_SLACK_FRACTION = 0.8;

    private static final int BUCKETS_PER_WINDOW = 10;

    private static final class Counts {
        private final long[] bucketNumbers = new long[BUCKETS_PER_WINDOW + 1];
        private final int[] requests = new int[BUCKETS_PER_WINDOW + 1];
        private final int[] repeatedSends = new int[BUCKETS_PER_WINDOW + 1];

        private int slot(long bucket) {
            int slot = (int) (bucket % bucketNumbers.length);
            if (bucketNumbers[slot] != bucket) {
                bucketNumbers[slot] = bucket;
                requests[slot] = 0;
                repeatedSends[slot] = 0;
            }
            return slot;
        }

        private int sum(int[] counts, long bucket) {
            int total = 0;
            for (int i = 0; i < counts.length; i++) {
                total += bucketNumbers[i] > bucket - counts.length ? counts[i] : 0;
            }
            return total;
        }
    }

    private final Bound bound;
    private final Map<String, Counts> countsByService = new HashMap<>();

    /** Creates a budget of which nothing has been spent. */
    public RetryBudget(Bound bound) {
        this.bound = bound;
    }

    private long bucket(long nowMillis) {
        return Math.max(0, nowMillis) * BUCKETS_PER_WINDOW / bound.windowMillis();
    }

    private Counts counts(String service) {
        return countsByService.computeIfAbsent(service, ignored -> new Counts());
    }

    /** Counts a request for a service, which raises the bound by the ratio. */
    public void onRequest(String service, long nowMillis) {
        Counts counts = counts(service);
        counts.requests[counts.slot(bucket(nowMillis))]++;
    }

    /** Returns whether the bound allows one more repeated send to a service, without spending it. */
    public boolean allows(String service, int liveRouters, long nowMillis) {
        Counts counts = counts(service);
        long bucket = bucket(nowMillis);
        counts.slot(bucket);
        double allowed = bound.ratio() * counts.sum(counts.requests, bucket)
                + USABLE_SLACK_FRACTION * bound.slack() / Math.max(1, liveRouters);
        return counts.sum(counts.repeatedSends, bucket) + 1 <= allowed;
    }

    /** Spends one repeated send to a service if the bound allows it; returns whether it did. */
    public boolean tryTake(String service, int liveRouters, long nowMillis) {
        if (!allows(service, liveRouters, nowMillis)) {
            return false;
        }
        Counts counts = counts(service);
        counts.repeatedSends[counts.slot(bucket(nowMillis))]++;
        return true;
    }
}
