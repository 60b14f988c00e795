package org.radishspan.relay;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
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

    private final Map<ErrorKind, Counter> failures = new EnumMap<>(ErrorKind.class);
    private final Counter accepted;
    private final Counter answered;
    private final Counter repeated;
    private final Counter resumed;
    private final Counter callersGone;
    private final Counter brokenOff;
    private final Counter rateLimitChanges;
    private final Timer queue;
    private final Timer firstByte;
    private final Timer pause;
    private final Timer whole;

    /** Registers the meters. */
    public RelayMetrics(MeterRegistry registry) {
        for (ErrorKind kind : ErrorKind.values()) {
            failures.put(
                    kind,
                    Counter.builder("radishspan.relay.failures")
                            .tag("kind", kind.wireName())
                            .register(registry));
        }
        accepted = Counter.builder("radishspan.relay.accepted").register(registry);
        answered = Counter.builder("radishspan.relay.answered").register(registry);
        repeated = Counter.builder("radishspan.relay.repeated.sends").register(registry);
        resumed = Counter.builder("radishspan.relay.resumed.streams").register(registry);
        callersGone = Counter.builder("radishspan.relay.callers.gone").register(registry);
        brokenOff = Counter.builder("radishspan.relay.broken.off").register(registry);
        rateLimitChanges =
                Counter.builder("radishspan.relay.target.rate.limit.changes").register(registry);
        queue = timer(registry, "queue");
        firstByte = timer(registry, "first_byte");
        pause = timer(registry, "pause");
        whole = timer(registry, "whole");
    }

    private static Timer timer(MeterRegistry registry, String phase) {
        return Timer.builder("radishspan.relay.latency")
                .tag("phase", phase)
                .serviceLevelObjectives(BUCKETS)
                .register(registry);
    }

    void onAccepted() {
        accepted.increment();
    }

    void onAnswered(long wholeMillis) {
        answered.increment();
        whole.record(wholeMillis, TimeUnit.MILLISECONDS);
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

    void onRepeated() {
        repeated.increment();
    }

    void onResumed() {
        resumed.increment();
    }

    void onCallerGone() {
        callersGone.increment();
    }

    void onBrokenOff() {
        brokenOff.increment();
    }

    void onSent(long queuedMillis) {
        queue.record(queuedMillis, TimeUnit.MILLISECONDS);
    }

    void onFirstByte(long millis) {
        firstByte.record(millis, TimeUnit.MILLISECONDS);
    }

    void onPause(long millis) {
        pause.record(millis, TimeUnit.MILLISECONDS);
    }
}
