package org.radishspan.relay;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.radishspan.error.ErrorKind;

/** Counters and latency histograms of relayed requests. */
public final class RelayMetrics {
    private static final Duration[] BUCKETS = {
        Duration.ofMillis(5),
        Duration.ofMillis(20),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(400),
        Duration.ofMillis(800),
        Duration.ofMillis(1_600),
        Duration.ofMillis(3_200),
        Duration.ofMillis(6_400)
    };

    /** Bounds of the histogram of the actual time to a first event divided by its estimate. */
    private static final double[] ESTIMATE_RATIOS = {0.25, 0.5, 0.8, 1.25, 2, 4, 8};

    private final Map<ErrorKind, Counter> failures = new EnumMap<>(ErrorKind.class);
    private final Map<RequestQueue.Cause, Counter> shed = new EnumMap<>(RequestQueue.Cause.class);
    private final MeterRegistry registry;
    private final Counter shedForLoopDelay;
    private final Counter accepted;
    private final Counter answered;
    private final Counter repeatedSends;
    private final Counter resumedStreams;
    private final Counter callersDisconnected;
    private final Counter abortedStreams;
    private final Counter rateLimitChanges;
    private final Counter crashRecords;
    private final DistributionSummary estimateRatio;
    private final Timer queueTime;
    private final Timer waiting;
    private final Timer firstByte;
    private final Timer longestPause;
    private final Timer total;

    /** Registers the meters. */
    public RelayMetrics(MeterRegistry registry) {
        this.registry = registry;
        for (ErrorKind kind : ErrorKind.values()) {
            failures.put(
                    kind,
                    Counter.builder("radishspan.relay.failures")
                            .tag("kind", kind.wireName())
                            .register(registry));
        }
        for (RequestQueue.Cause cause : RequestQueue.Cause.values()) {
            shed.put(cause, shedCounter(registry, cause.wireName()));
        }
        shedForLoopDelay = shedCounter(registry, "loop_delay");
        accepted = Counter.builder("radishspan.relay.accepted").register(registry);
        answered = Counter.builder("radishspan.relay.answered").register(registry);
        repeatedSends = Counter.builder("radishspan.relay.repeated.sends").register(registry);
        resumedStreams = Counter.builder("radishspan.relay.resumed.streams").register(registry);
        callersDisconnected = Counter.builder("radishspan.relay.callers.gone").register(registry);
        abortedStreams = Counter.builder("radishspan.relay.broken.off").register(registry);
        rateLimitChanges =
                Counter.builder("radishspan.relay.target.rate.limit.changes").register(registry);
        crashRecords = Counter.builder("radishspan.relay.crash.records").register(registry);
        estimateRatio = DistributionSummary.builder("radishspan.relay.estimate.ratio")
                .serviceLevelObjectives(ESTIMATE_RATIOS)
                .register(registry);
        queueTime = timer(registry, "queue");
        waiting = timer(registry, "waiting");
        firstByte = timer(registry, "first_byte");
        longestPause = timer(registry, "pause");
        total = timer(registry, "whole");
    }

    private static Counter shedCounter(MeterRegistry registry, String cause) {
        return Counter.builder("radishspan.relay.shed").tag("cause", cause).register(registry);
    }

    private static Timer timer(MeterRegistry registry, String phase) {
        return Timer.builder("radishspan.relay.latency")
                .tag("phase", phase)
                .serviceLevelObjectives(BUCKETS)
                .register(registry);
    }

    /** Registers the number and bytes of the waiting requests of a queue as gauges. */
    <T> void observeQueue(T queue, ToDoubleFunction<T> requests, ToDoubleFunction<T> bytes) {
        Gauge.builder("radishspan.relay.queue.requests", queue, requests).register(registry);
        Gauge.builder("radishspan.relay.queue.bytes", queue, bytes).register(registry);
    }

    /** Records how long a request waited for room at a target until it was sent; 0 if it was sent at once. */
    void onLeftQueue(long waitedMillis) {
        waiting.record(waitedMillis, TimeUnit.MILLISECONDS);
    }

    /** Counts a request that was refused because no target had room for it in time. */
    void onShed(RequestQueue.Cause cause) {
        Counter counter = shed.get(cause);
        if (counter != null) {
            counter.increment();
        }
    }

    /** Counts a request that was refused because the event loop was late. */
    void onShedForLoopDelay() {
        shedForLoopDelay.increment();
    }

    void onAccepted() {
        accepted.increment();
    }

    /** Counts a complete answer, and records the time from the acceptance of the request to its end. */
    void onAnswered(long totalMillis) {
        answered.increment();
        total.record(totalMillis, TimeUnit.MILLISECONDS);
    }

    void onFailed(ErrorKind kind) {
        Counter counter = failures.get(kind);
        if (counter != null) {
            counter.increment();
        }
    }

    void onRateLimitChanged() {
        rateLimitChanges.increment();
    }

    /** Counts a crash of a target that is recorded for a request. */
    void onCrashRecorded() {
        crashRecords.increment();
    }

    void onRepeatedSend() {
        repeatedSends.increment();
    }

    void onResumedStream() {
        resumedStreams.increment();
    }

    void onCallerDisconnected() {
        callersDisconnected.increment();
    }

    void onStreamAborted() {
        abortedStreams.increment();
    }

    /** Records the time from the acceptance of a request to a send of it. */
    void onSent(long queuedMillis) {
        queueTime.record(queuedMillis, TimeUnit.MILLISECONDS);
    }

    /** Records the time from the acceptance of a request to the first byte of its answer. */
    void onFirstByte(long millis) {
        firstByte.record(millis, TimeUnit.MILLISECONDS);
    }

    /** Records how long a first event took compared with its estimate; 1 is an exact estimate. */
    void onEstimated(double estimateMillis, long actualMillis) {
        estimateRatio.record(actualMillis / Math.max(1, estimateMillis));
    }

    /** Records the longest pause between two events of a complete stream. */
    void onLongestPause(long millis) {
        longestPause.record(millis, TimeUnit.MILLISECONDS);
    }
}
