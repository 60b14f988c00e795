package org.radishspan.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.google.common.flogger.FluentLogger;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;

/**
 * Records which requests crashed targets, by fingerprint, and quarantines what caused several crashes.
 *
 * <p>A request has the fingerprint of the whole request, and one for each part of its prompt that other requests may share.
 * {@link CrashCauses} decides what is refused, by every router, for {@value #QUARANTINE_MILLIS} ms after the last crash, so
 * that a caller that keeps sending such requests cannot crash one target after the other. Once a target has begun to answer a
 * request, all records of its fingerprints are removed.
 */
public final class QuarantineTable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Notifies the other routers of a crash, or of the removal of all records of a fingerprint. */
    @FunctionalInterface
    public interface Notifier {
        /**
         * Sends the notification.
         *
         * @param fingerprints the fingerprints of the requests that may be the cause
         * @param target the target that crashed; empty if the records are removed
         * @param ageMillis the time since the crash, in milliseconds
         */
        void send(List<String> fingerprints, String target, long ageMillis);
    }

    /**
     * A quarantined fingerprint.
     *
     * @param fingerprint the hash of workspace, path and body, or a part of a prompt
     * @param targets the targets that crashed
     * @param untilMillis the time at which the quarantine ends
     */
    public record Quarantined(String fingerprint, List<String> targets, long untilMillis) {}

    /** The number of crashed targets after which a router refuses a request of its own HTTP interface. */
    static final int DEFAULT_TARGETS_BEFORE_QUARANTINE = 2;

    /** The number of crashed targets, at requests that differ, after which the part that they share is refused. */
    private static final int TARGETS_BEFORE_PART_QUARANTINE = 2;

    /** The same for parts of requests that were answered before, which are less likely to be the cause. */
    private static final int TARGETS_BEFORE_ANSWERED_PART_QUARANTINE = 3;

    /** Targets that end within this time of each other may have failed together, as with their host or network. */
    public static final long SAME_FAILURE_MILLIS = CrashCauses.SAME_FAILURE_MILLIS;

    private static final long QUARANTINE_MILLIS = 300_000;
    private static final int MAX_ENTRIES = 10_000;
    private static final int MAX_TARGETS_PER_ENTRY = 16;

    /** Parts that were answered most recently, so that late reports of earlier crashes are ignored. */
    private static final int MAX_ANSWERED_PARTS = 4_096;

    private static final class Entry {
        private final Map<String, Long> crashedAtMillis = new LinkedHashMap<>();
        private final Set<String> observedHere = new TreeSet<>();
        private long lastCrashAtMillis = Long.MIN_VALUE;
        private long untilMillis;
    }

    private static final class AnsweredParts extends LinkedHashMap<String, Long> {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_ANSWERED_PARTS;
        }
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Long> answeredAtMillis = new AnsweredParts();
    private final Notifier notifier;
    private final CrashCauses.MinCrashes minCrashes;
    private List<CrashCauses.Cause> causes = List.of();
    private long nextExpiryAtMillis = Long.MAX_VALUE;
    private int changes;

    /**
     * Creates an empty table.
     *
     * @param notifier notifies the other routers
     * @param targetsBeforeQuarantine a request that crashed this many targets is refused
     */
    public QuarantineTable(Notifier notifier, int targetsBeforeQuarantine) {
        this.notifier = notifier;
        this.minCrashes = new CrashCauses.MinCrashes(
                targetsBeforeQuarantine, TARGETS_BEFORE_PART_QUARANTINE, TARGETS_BEFORE_ANSWERED_PART_QUARANTINE);
    }

    /** Records that a request crashed a target at this time, and notifies the other routers. */
    public void strike(String fingerprint, String target, long nowMillis) {
        strike(List.of(fingerprint), target, nowMillis, nowMillis);
    }

    /**
     * Records that a request crashed a target, and notifies the other routers.
     *
     * @param fingerprints the fingerprints of the request, which are judged together
     */
    public void strike(List<String> fingerprints, String target, long crashedAtMillis, long nowMillis) {
        List<String> added = add(fingerprints, target, crashedAtMillis, nowMillis);
        if (!added.isEmpty()) {
            notifier.send(added, target, nowMillis - crashedAtMillis);
        }
        markObservedHere(fingerprints, target);
    }

    private void markObservedHere(List<String> fingerprints, String target) {
        for (String fingerprint : fingerprints) {
            Entry entry = entries.get(fingerprint);
            if (entry != null && entry.crashedAtMillis.containsKey(target) && entry.observedHere.add(target)) {
                changes++;
            }
        }
    }

    /**
     * Applies the report of another router; an empty target removes the records of the fingerprints. If a target has begun to
     * answer a request with one of them since the crash, that is announced instead.
     *
     * @param ageMillis the time since the crash, in milliseconds
     */
    public void onPeerNotification(List<String> fingerprints, String target, long ageMillis, long nowMillis) {
        if (target.isEmpty()) {
            fingerprints.forEach(fingerprint -> onAnswered(fingerprint, nowMillis));
            remove(fingerprints);
            return;
        }
        long crashedAtMillis = nowMillis - ageMillis;
        List<String> answered = fingerprints.stream()
                .filter(fingerprint -> answeredSince(fingerprint, crashedAtMillis))
                .toList();
        if (!answered.isEmpty()) {
            notifier.send(answered, "", 0);
        }
        add(fingerprints, target, crashedAtMillis, nowMillis);
    }

    /**
     * Records a crash that was read from the store.
     *
     * @param observedHere whether a previous process of this router observed it
     */
    public void onReport(
            List<String> fingerprints, String target, long crashedAtMillis, boolean observedHere, long nowMillis) {
        add(fingerprints, target, crashedAtMillis, nowMillis);
        if (observedHere) {
            markObservedHere(fingerprints, target);
        }
    }

    private boolean answeredSince(String fingerprint, long millis) {
        Long answered = answeredAtMillis.get(fingerprint);
        return answered != null && answered >= millis;
    }

    /** Returns the fingerprints for which the record is new. */
    private List<String> add(List<String> fingerprints, String target, long crashedAtMillis, long nowMillis) {
        List<String> added = fingerprints.stream()
                .filter(fingerprint -> add(fingerprint, target, crashedAtMillis, nowMillis))
                .toList();
        if (!added.isEmpty()) {
            changes++;
            updateCauses();
        }
        return added;
    }

    private boolean add(String fingerprint, String target, long crashedAtMillis, long nowMillis) {
        boolean expired = nowMillis >= crashedAtMillis + QUARANTINE_MILLIS;
        if (expired || answeredSince(fingerprint, crashedAtMillis)) {
            return false;
        }
        Entry entry = entries.computeIfAbsent(fingerprint, ignored -> new Entry());
        boolean full = entry.crashedAtMillis.size() >= MAX_TARGETS_PER_ENTRY;
        if (full || entry.crashedAtMillis.putIfAbsent(target, crashedAtMillis) != null) {
            return false;
        }
        entry.lastCrashAtMillis = Math.max(entry.lastCrashAtMillis, crashedAtMillis);
        entry.untilMillis = entry.lastCrashAtMillis + QUARANTINE_MILLIS;
        nextExpiryAtMillis = Math.min(nextExpiryAtMillis, entry.untilMillis);
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
        return true;
    }

    /** Removes the records of fingerprints; returns those that had any. */
    private List<String> remove(Collection<String> fingerprints) {
        List<String> removed = fingerprints.stream()
                .filter(fingerprint -> entries.remove(fingerprint) != null)
                .toList();
        if (!removed.isEmpty()) {
            changes++;
            updateCauses();
        }
        return removed;
    }

    private void updateCauses() {
        Map<String, Map<String, Long>> crashes = new TreeMap<>();
        entries.forEach((fingerprint, entry) -> {
            if (entry.crashedAtMillis.size() >= minCrashes.ofPart()) {
                crashes.put(fingerprint, entry.crashedAtMillis);
            }
        });
        List<CrashCauses.Cause> before = causes;
        causes = crashes.isEmpty() ? List.of() : CrashCauses.of(crashes, answeredAtMillis::containsKey, minCrashes);
        for (CrashCauses.Cause cause : causes) {
            if (before.stream().noneMatch(known -> known.fingerprints().equals(cause.fingerprints()))) {
                LOGGER.atWarning().log(
                        "requests with fingerprints %s crashed targets %s and are quarantined",
                        cause.fingerprints(), cause.targets());
            }
        }
    }

    /** Removes the records whose last crash is longer ago than the duration of a quarantine. */
    public void tick(long nowMillis) {
        if (nowMillis < nextExpiryAtMillis) {
            return;
        }
        if (entries.values().removeIf(entry -> nowMillis >= entry.untilMillis)) {
            changes++;
            updateCauses();
        }
        nextExpiryAtMillis = entries.values().stream()
                .mapToLong(entry -> entry.untilMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns a number that changes with each change of the records. */
    public int changes() {
        return changes;
    }

    /** Returns whether no crash is recorded. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns whether any requests are quarantined. */
    public boolean refusesAny() {
        return !causes.isEmpty();
    }

    /** Returns whether a request has crashed a target and received no complete response since. */
    boolean isSuspect(String fingerprint) {
        return entries.containsKey(fingerprint);
    }

    /** Returns the time of the last crash recorded for a fingerprint; the lowest number if there is none. */
    public long lastCrashAtMillis(String fingerprint) {
        Entry entry = entries.get(fingerprint);
        return entry == null ? Long.MIN_VALUE : entry.lastCrashAtMillis;
    }

    /** Removes the records of a request that received a complete response; notifies the other routers if it had any. */
    void clear(String fingerprint) {
        clear(List.of(fingerprint));
    }

    private void clear(Collection<String> fingerprints) {
        List<String> removed = remove(fingerprints);
        if (!removed.isEmpty()) {
            notifier.send(removed, "", 0);
        }
    }

    /**
     * Records that a target has begun to answer a request, so that its fingerprints do not crash targets. Removes their
     * records and notifies the other routers if there were any.
     */
    public void onAnswerBegan(Collection<String> fingerprints, long nowMillis) {
        fingerprints.forEach(fingerprint -> onAnswered(fingerprint, nowMillis));
        if (!entries.isEmpty()) {
            clear(fingerprints);
        }
    }

    private void onAnswered(String fingerprint, long nowMillis) {
        if (Fingerprint.isPart(fingerprint)) {
            // Reinserted, so that the least recently answered part is removed first.
            answeredAtMillis.remove(fingerprint);
            answeredAtMillis.put(fingerprint, nowMillis);
        }
    }

    /** Returns the refusal of a request with one fingerprint if it is in quarantine; empty if it may run. */
    public Optional<Failure> refusal(String fingerprint, Failure.Ran ran, long nowMillis) {
        return refusal(List.of(fingerprint), ran, nowMillis);
    }

    /** Returns the refusal of a request in quarantine; empty if it may run. */
    public Optional<Failure> refusal(Collection<String> fingerprints, Failure.Ran ran, long nowMillis) {
        tick(nowMillis);
        for (CrashCauses.Cause cause : causes) {
            if (fingerprints.containsAll(cause.fingerprints())) {
                String message = "the request is quarantined because requests with " + cause.fingerprints()
                        + " crashed several targets";
                return Optional.of(new Failure(
                        ErrorKind.QUARANTINED, message, ran, untilMillis(cause.fingerprints()) - nowMillis));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a request in quarantine is also cancelled where it is in progress. It is not if targets have answered
     * requests with each of the refused parts before: if the parts are sound after all, its answer ends the quarantine.
     */
    public boolean isCancelled(Collection<String> fingerprints) {
        return causes.stream()
                .map(CrashCauses.Cause::fingerprints)
                .anyMatch(cause -> fingerprints.containsAll(cause)
                        && !answeredAtMillis.keySet().containsAll(cause));
    }

    private long untilMillis(Set<String> fingerprints) {
        long untilMillis = 0;
        for (String fingerprint : fingerprints) {
            Entry entry = entries.get(fingerprint);
            untilMillis = entry == null ? untilMillis : Math.max(untilMillis, entry.untilMillis);
        }
        return untilMillis;
    }

    /** Removes the records of a fingerprint here and at the other routers; returns whether it had any on this router. */
    public boolean release(String fingerprint) {
        boolean known = !remove(List.of(fingerprint)).isEmpty();
        notifier.send(List.of(fingerprint), "", 0);
        return known;
    }

    /** Returns the fingerprints that are quarantined at this time. */
    public List<Quarantined> quarantined(long nowMillis) {
        tick(nowMillis);
        List<Quarantined> result = new ArrayList<>();
        for (CrashCauses.Cause cause : causes) {
            for (String fingerprint : cause.fingerprints()) {
                result.add(
                        new Quarantined(fingerprint, List.copyOf(cause.targets()), untilMillis(Set.of(fingerprint))));
            }
        }
        return result;
    }

    /** Returns when the targets crashed whose crashes this router observed, by fingerprint and target. */
    public Map<String, Map<String, Long>> observedHere() {
        Map<String, Map<String, Long>> result = new TreeMap<>();
        entries.forEach((fingerprint, entry) -> {
            Map<String, Long> observed = new TreeMap<>(entry.crashedAtMillis);
            observed.keySet().retainAll(entry.observedHere);
            if (!observed.isEmpty()) {
                result.put(fingerprint, observed);
            }
        });
        return result;
    }

    /** Passes the records of every target to a notifier, for a router that may have missed the notifications. */
    public void sendAll(Notifier receiver, long nowMillis) {
        Map<String, List<String>> fingerprints = new LinkedHashMap<>();
        Map<String, Long> crashedAtMillis = new LinkedHashMap<>();
        entries.forEach((fingerprint, entry) -> entry.crashedAtMillis.forEach((target, crashedAt) -> {
            fingerprints.computeIfAbsent(target, ignored -> new ArrayList<>()).add(fingerprint);
            crashedAtMillis.merge(target, crashedAt, Math::max);
        }));
        fingerprints.forEach((target, ofTarget) -> receiver.send(
                ofTarget, target, Math.max(0, nowMillis - crashedAtMillis.getOrDefault(target, nowMillis))));
    }
}
