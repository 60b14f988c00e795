package org.radishspan.routing;

import org.jspecify.annotations.Nullable;

/**
 * The measured speed of a target, or of all targets of a service together, from the answers that this router received.
 *
 * <p>Engines differ in speed, and an engine can turn slow and recover. A target is judged by its own latest answers,
 * and by the median of its service where there are too few of them, so that a target that was slow is tried again.
 */
final class WorkSpeed {
    /**
     * Number of latest answers of one target that count. A target that turns slow is noticed when half of them were
     * slow.
     */
    private static final int TARGET_SAMPLES = 8;

    /** Number of answers from which on a target is judged by its own speed rather than by that of its service. */
    private static final int MIN_TARGET_SAMPLES = 3;

    /**
     * Maximum age of a target's latest sample. Engines are slow for seconds, so older samples predict no more than
     * those of the service.
     */
    private static final long TARGET_MAX_AGE_MILLIS = 6_000;

    /**
     * Ratio below which a target counts as equal to its service. Smaller differences are random, and would move shared
     * prompt parts between targets.
     */
    private static final double DISTINCT_FACTOR = 1.25;

    private static final int SERVICE_SAMPLES = 64;
    private static final long SERVICE_MAX_AGE_MILLIS = 60_000;

    /**
     * Minimum prompt length for measuring the reading speed. Shorter prompts are read within one step of the engine.
     */
    static final long MIN_READ_TOKENS = 1_000;

    /**
     * Assumed time to read a prompt token before the first answer: a model of 70 billion parameters reads some 30 to 60
     * tokens a millisecond.
     */
    static final double ASSUMED_READ_MILLIS_PER_TOKEN = 1 / 40.0;

    /**
     * Assumed start time before the first answer: a few decoding steps of a model of 70 billion parameters, and the network
     * round trip.
     */
    static final double ASSUMED_START_MILLIS = 25;

    /**
     * Assumed answer time before the first answer: the generation of a hundred tokens by a model of 70 billion parameters
     * that also processes other requests.
     */
    static final double ASSUMED_ANSWER_MILLIS = 2_000;

    private final @Nullable WorkSpeed service;
    private final @Nullable LoadView load;
    private final int minSamples;
    private final RecentMedian readMillisPerToken;
    private final RecentMedian startMillis;
    private final RecentMedian answerMillis;

    private WorkSpeed(
            @Nullable WorkSpeed service, @Nullable LoadView load, int minSamples, int samples, long maxAgeMillis) {
        this.service = service;
        this.load = load;
        this.minSamples = minSamples;
        this.readMillisPerToken = new RecentMedian(samples, maxAgeMillis);
        this.startMillis = new RecentMedian(samples, maxAgeMillis);
        this.answerMillis = new RecentMedian(samples, maxAgeMillis);
    }

    /** Returns the speed of a service without samples, which starts with the assumed values. */
    static WorkSpeed ofService() {
        return new WorkSpeed(null, null, 1, SERVICE_SAMPLES, SERVICE_MAX_AGE_MILLIS);
    }

    /**
     * Returns the speed of a target without samples, which starts with the values of its service. While {@code load} is
     * active, the speed follows from what all routers report there instead of from the answers to this router alone.
     */
    static WorkSpeed ofTarget(WorkSpeed service, LoadView load) {
        return new WorkSpeed(service, load, MIN_TARGET_SAMPLES, TARGET_SAMPLES, TARGET_MAX_AGE_MILLIS);
    }

    /**
     * Records a first event that took {@code elapsedMillis} from the sending of the request. {@code unreadTokens}
     * counts the tokens that the target had to read before it, those of earlier requests in its queue included.
     */
    void onFirstEvent(long unreadTokens, long elapsedMillis, long nowMillis) {
        if (unreadTokens >= MIN_READ_TOKENS) {
            double readingMillis = Math.max(0, elapsedMillis - startMillis(nowMillis));
            readMillisPerToken.add(readingMillis / unreadTokens, nowMillis);
        } else {
            startMillis.add(elapsedMillis, nowMillis);
        }
        if (service != null) {
            service.onFirstEvent(unreadTokens, elapsedMillis, nowMillis);
        }
    }

    /** Records a complete answer that took {@code elapsedMillis} from the sending of the request to its end. */
    void onAnswer(long elapsedMillis, long nowMillis) {
        answerMillis.add(elapsedMillis, nowMillis);
        if (service != null) {
            service.onAnswer(elapsedMillis, nowMillis);
        }
    }

    /** Returns the time to read one prompt token, in milliseconds. */
    double readMillisPerToken(long nowMillis) {
        double fallback = service == null ? ASSUMED_READ_MILLIS_PER_TOKEN : service.readMillisPerToken(nowMillis);
        if (load != null && load.active()) {
            return load.service().readMillisPerToken(fallback) * durationRatio(load, nowMillis);
        }
        return ownIfDistinct(readMillisPerToken, fallback, nowMillis);
    }

    /**
     * Returns the time from sending a request to the first event of its answer, in milliseconds, without the time to read
     * the prompt. It is measured with prompts shorter than {@link #MIN_READ_TOKENS}.
     */
    double startMillis(long nowMillis) {
        double fallback = service == null ? ASSUMED_START_MILLIS : service.startMillis(nowMillis);
        if (load != null && load.active()) {
            return load.service().startMillis(fallback) * durationRatio(load, nowMillis);
        }
        return ownIfDistinct(startMillis, fallback, nowMillis);
    }

    /**
     * Returns the time from sending a request to the end of its answer, in milliseconds. It serves as an estimate of how
     * long a request occupies a slot.
     */
    double answerMillis(long nowMillis) {
        double fallback = service == null ? ASSUMED_ANSWER_MILLIS : service.answerMillis(nowMillis);
        if (load != null && load.active()) {
            // An answer takes longer than a target keeps its pace, so only the inherent speed counts.
            return fallback * load.slowness(nowMillis);
        }
        return ownIfDistinct(answerMillis, fallback, nowMillis);
    }

    private double ownIfDistinct(RecentMedian own, double fallback, long nowMillis) {
        double median = own.orElse(minSamples, fallback, nowMillis);
        boolean withinNoise =
                service != null && median < fallback * DISTINCT_FACTOR && median * DISTINCT_FACTOR > fallback;
        return withinNoise ? fallback : median;
    }

    private static double durationRatio(LoadView load, long nowMillis) {
        return load.slowness(nowMillis) * load.pace(nowMillis);
    }

    /** Returns the time in milliseconds of a first event by the target's present speed; 0 if none was measured. */
    double firstEventMillis(long nowMillis) {
        return load == null ? 0 : load.service().firstEventMillis() * durationRatio(load, nowMillis);
    }

    /** Returns the ratio of this target's answer time to that of its service; 1 for a service. */
    double slowness(long nowMillis) {
        if (load != null && load.active()) {
            return durationRatio(load, nowMillis);
        }
        return service == null ? 1 : answerMillis(nowMillis) / Math.max(1, service.answerMillis(nowMillis));
    }
}
