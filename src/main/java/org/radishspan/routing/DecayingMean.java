package org.radishspan.routing;

/** The mean of a quantity in which the latest samples have the same weight and earlier ones an exponentially falling one. */
final class DecayingMean {
    private final double maxCount;
    private double count;
    private double mean;

    /**
     * Creates a mean without samples.
     *
     * @param maxCount how many of the latest samples the mean follows; fewer samples are averaged equally
     */
    DecayingMean(double maxCount) {
        this.maxCount = maxCount;
    }

    void add(double sample) {
        add(sample, 1);
    }

    /** Adds a number of samples with the same value. */
    void add(double sample, double samples) {
        count = Math.min(maxCount, count + samples);
        mean += (sample - mean) * Math.min(1, samples / count);
    }

    /** Returns the number of samples, at most the maximum count. */
    double count() {
        return count;
    }

    /** Returns the mean; 0 without samples. */
    double mean() {
        return mean;
    }

    double orElse(double fallback) {
        return count == 0 ? fallback : mean;
    }
}
