package org.radishspan.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;

/**
 * Records which requests crashed targets, by request fingerprint, and quarantines repeat offenders.
 *
 * <p>Once a request has crashed the configured number of targets, every router refuses it for
 * {@value #QUARANTINE_MILLIS} ms, so that a caller that keeps sending it cannot crash one target after the other. When
 * a target crashes, every request on it gets a strike, because any of them may be the cause. A request with a strike is
 * a suspect: it is sent only to a target that runs no other suspect of this router. If that target crashes as well,
 * only the suspect gets a strike. A complete response removes all strikes of a request.
 */
public final class QuarantineTable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Notifies the other routers of a strike or of the removal of all strikes of a request. */
    @FunctionalInterface
    public interface Notifier {
        /** Sends the notification; an empty {@code target} means that the strikes were removed. */
        void send(String fingerprint, String target);
    }

    /**
     * A quarantined request.
     *
     * @param fingerprint the hash of workspace, path and body
     * @param targets the targets that it crashed
     * @param untilMillis the time at which the quarantine ends
     */
    public record Quarantined(String fingerprint, List<String> targets, long untilMillis) {}

    /** The number of crashed targets after which a router refuses a request of its own HTTP interface. */
    static final int DEFAULT_TARGETS_BEFORE_QUARANTINE = 2;

    private static final long QUARANTINE_MILLIS = 300_000;
    private static final int MAX_ENTRIES = 10_000;

    private static final class Entry {
        private final Set<String> targets = new HashSet<>();
        private long untilMillis;
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Notifier notifier;
    private final int targetsBeforeQuarantine;

    /**
     * Creates an empty table.
     *
     * @param notifier notifies the other routers
     * @param targetsBeforeQuarantine a request that crashed this many targets is refused
     */
    public QuarantineTable(Notifier notifier, int targetsBeforeQuarantine) {
        this.notifier = notifier;
        this.targetsBeforeQuarantine = targetsBeforeQuarantine;
    }

    /** Records that a request crashed a target, and notifies the other routers. */
    public void strike(String fingerprint, String target, long nowMillis) {
        add(fingerprint, target, nowMillis);
        notifier.send(fingerprint, target);
    }

    /** Applies the notification of another router; an empty target removes the strikes of the request. */
    public void onPeerNotification(String fingerprint, String target, long nowMillis) {
        if (target.isEmpty()) {
            entries.remove(fingerprint);
            return;
        }
        add(fingerprint, target, nowMillis);
    }

    private void add(String fingerprint, String target, long nowMillis) {
        Entry entry = entries.computeIfAbsent(fingerprint, ignored -> new Entry());
        entry.targets.add(target);
        entry.untilMillis = nowMillis + QUARANTINE_MILLIS;
        if (entry.targets.size() == targetsBeforeQuarantine) {
            LOGGER.atWarning().log(
                    "request with fingerprint %s crashed targets %s and is quarantined", fingerprint, entry.targets);
        }
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /** Returns whether no request has a strike. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns whether a request has crashed a target and received no complete response since. */
    boolean isSuspect(String fingerprint) {
        return entries.containsKey(fingerprint);
    }

    /** Removes the strikes of a request that received a complete response; notifies the other routers if it had any. */
    void clear(String fingerprint) {
        if (entries.remove(fingerprint) != null) {
            notifier.send(fingerprint, "");
        }
    }

    /** Returns how long a request is still refused; 0 if it may run. Removes an expired entry. */
    private long remainingQuarantineMillis(String fingerprint, long nowMillis) {
        Entry entry = entries.get(fingerprint);
        if (entry == null) {
            return 0;
        }
        if (nowMillis >= entry.untilMillis) {
            entries.remove(fingerprint);
            return 0;
        }
        return entry.targets.size() >= targetsBeforeQuarantine ? entry.untilMillis - nowMillis : 0;
    }

    /** Returns the refusal of a request in quarantine; empty if it may run. */
    public Optional<Failure> refusal(String fingerprint, Failure.Ran ran, long nowMillis) {
        long millis = remainingQuarantineMillis(fingerprint, nowMillis);
        if (millis == 0) {
            return Optional.empty();
        }
        String message = "the request is quarantined because it crashed several targets";
        return Optional.of(new Failure(ErrorKind.QUARANTINED, message, ran, millis));
    }

    /** Removes the strikes of a request here and at the other routers; returns whether it had any on this router. */
    public boolean release(String fingerprint) {
        boolean hadStrikes = entries.remove(fingerprint) != null;
        notifier.send(fingerprint, "");
        return hadStrikes;
    }

    /** Returns the requests that are quarantined at this time. */
    public List<Quarantined> quarantined(long nowMillis) {
        List<Quarantined> result = new ArrayList<>();
        for (String fingerprint : List.copyOf(entries.keySet())) {
            if (remainingQuarantineMillis(fingerprint, nowMillis) > 0) {
                Entry entry = entries.get(fingerprint);
                if (entry != null) {
                    result.add(new Quarantined(fingerprint, List.copyOf(entry.targets), entry.untilMillis));
                }
            }
        }
        return result;
    }
}
