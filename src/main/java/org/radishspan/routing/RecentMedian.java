package org.radishspan.routing;

import java.util.Arrays;

/**
 * The median of the latest samples of one quantity. The median is unknown if there has been no sample for a given time.
 */
final class RecentMedian {
    /**
     * Minimum time between two computations of a median from a full set of samples. It changes slowly compared with the
     * samples of a busy service, and is read for every candidate of every request.
     */
    private static final long REFRESH_MILLIS = 250;

    private final double[] samples;
    private final long maxAgeMillis;
    private int count;
    private int next;
    private long newestAtMillis;
    private boolean changed;
    private long medianAtMillis = Long.MIN_VALUE / 2;
    private double median;

    /**
     * Creates a median without samples.
     *
     * @param capacity the number of latest samples that count
     * @param maxAgeMillis the time without a sample after which the median is unknown
     */
    RecentMedian(int capacity, long maxAgeMillis) {
        this.samples = new double[capacity];
        this.maxAgeMillis = maxAgeMillis;
    }

    void add(double sample, long nowMillis) {
        if (isStale(nowMillis)) {
            count = 0;
            next = 0;
        }
        newestAtMillis = nowMillis;
        samples[next] = sample;
        next = (next + 1) % samples.length;
        count = Math.min(samples.length, count + 1);
        changed = true;
        if (count < samples.length) {
            medianAtMillis = Long.MIN_VALUE / 2;
        }
    }

    private boolean isStale(long nowMillis) {
        return nowMillis - newestAtMillis > maxAgeMillis;
    }

    /**
     * Returns the median, or {@code fallback} if there are fewer than {@code minSamples} samples or the latest one is
     * too old.
     */
    double orElse(int minSamples, double fallback, long nowMillis) {
        if (count < minSamples || isStale(nowMillis)) {
            return fallback;
        }
        if (changed && nowMillis - medianAtMillis >= REFRESH_MILLIS) {
            changed = false;
            medianAtMillis = nowMillis;
            double[] sorted = Arrays.copyOf(samples, count);
            Arrays.sort(sorted);
            median = sorted[count / 2];
        }
        return median;
    }
}
