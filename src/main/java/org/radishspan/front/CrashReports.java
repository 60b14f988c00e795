package org.radishspan.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.vavr.control.Either;
import org.radishspan.deployment.CrashReport;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.log.EventLog;
import org.radishspan.platform.CrashCodec;
import org.radishspan.request.QuarantineTable;
import org.radishspan.store.KindWatch;
import org.radishspan.store.ObjectKinds;

/**
 * Shares the recorded crashes of targets with all routers through the store.
 *
 * <p>Each router writes the crashes that it observed to an object of its own, and reads those of the others. Notices between
 * routers are faster, but do not reach routers that are cut off from each other or start later. After a restart a router
 * continues with the object of its previous process.
 */
final class CrashReports implements KindWatch.Listener<CrashReport> {
    /**
     * Time from a change to the write. Most records of sound requests are removed within it, when the requests are answered
     * by another target.
     */
    private static final long WRITE_DELAY_MILLIS = 300;

    private static final long WRITE_RETRY_MILLIS = 500;

    /** Objects of VMs that are no longer listed are removed after this time; their records have expired by then. */
    private static final long ABANDONED_MILLIS = 600_000;

    private final String vm;
    private final ObjectKinds kinds;
    private final QuarantineTable crashes;
    private final Predicate<String> isListed;
    private final LongSupplier unixMillis;
    private final EventLog log;
    private final Map<String, CrashReport> known = new HashMap<>();
    private final Map<String, Long> learnedAtMillis = new HashMap<>();
    private CrashReport written = new CrashReport(Map.of());
    private boolean listed;
    private boolean writing;
    private boolean changed;
    private int checkedChanges;
    private long nextWriteAtMillis;
    private long nextRemovalAtMillis;
    private long nowMillis;

    /**
     * Creates the reports of a router.
     *
     * @param isListed returns whether a VM is in the list of routers
     * @param unixMillis the time of day
     */
    CrashReports(
            String vm,
            ObjectKinds kinds,
            QuarantineTable crashes,
            Predicate<String> isListed,
            LongSupplier unixMillis,
            EventLog log) {
        this.vm = vm;
        this.kinds = kinds;
        this.crashes = crashes;
        this.isListed = isListed;
        this.unixMillis = unixMillis;
        this.log = log;
    }

    /** Writes the crashes observed here if they have changed, and removes the reports of VMs that left long ago. */
    void tick(long tickMillis) {
        nowMillis = tickMillis;
        crashes.tick(nowMillis);
        if (crashes.changes() != checkedChanges) {
            checkedChanges = crashes.changes();
            if (!changed) {
                changed = true;
                nextWriteAtMillis = Math.max(nextWriteAtMillis, nowMillis + WRITE_DELAY_MILLIS);
            }
        }
        // Before the list is known, a write would replace the report of the previous process.
        if (changed && listed && !writing && nowMillis >= nextWriteAtMillis) {
            changed = false;
            write(report());
        }
        if (nowMillis >= nextRemovalAtMillis) {
            nextRemovalAtMillis = nowMillis + ABANDONED_MILLIS;
            removeAbandoned();
        }
    }

    /** Returns the crashes observed here. Those already written keep their times, as the time of day may have been set since. */
    private CrashReport report() {
        Map<String, Map<String, Long>> result = new TreeMap<>();
        crashes.observedHere().forEach((fingerprint, targets) -> {
            Map<String, Long> writtenBefore = written.crashedAtUnixMillis().getOrDefault(fingerprint, Map.of());
            Map<String, Long> atUnixMillis = new TreeMap<>();
            targets.forEach((target, atMillis) -> atUnixMillis.put(
                    target, writtenBefore.getOrDefault(target, unixMillis.getAsLong() - (nowMillis - atMillis))));
            result.put(fingerprint, atUnixMillis);
        });
        return new CrashReport(result);
    }

    private long toLocalMillis(long atUnixMillis) {
        long ageMillis = Math.max(0, unixMillis.getAsLong() - atUnixMillis);
        return nowMillis - ageMillis;
    }

    private void write(CrashReport report) {
        if (report.equals(written)) {
            return;
        }
        writing = true;
        if (report.isEmpty()) {
            kinds.remove(CrashCodec.KIND, vm, reply -> onWritten(report, reply));
            return;
        }
        kinds.write(CrashCodec.KIND, vm, CrashCodec.encode(report), reply -> onWritten(report, reply));
    }

    private void onWritten(CrashReport report, Either<Failure, Long> reply) {
        writing = false;
        nextWriteAtMillis = nowMillis + WRITE_RETRY_MILLIS;
        // An object that is to be removed and is absent already is reported as a conflict.
        boolean success =
                reply.isRight() || (report.isEmpty() && reply.getLeft().kind() == ErrorKind.CONFLICT);
        if (success) {
            written = report;
            return;
        }
        changed = true;
        log.belief("crash_report_not_written")
                .with("reason", reply.getLeft().message())
                .write();
    }

    private void removeAbandoned() {
        for (String name : Set.copyOf(learnedAtMillis.keySet())) {
            boolean old = nowMillis - learnedAtMillis.getOrDefault(name, nowMillis) >= ABANDONED_MILLIS;
            if (old && !name.equals(vm) && !isListed.test(name)) {
                log.belief("crash_report_removed").with("vm", name).write();
                kinds.remove(CrashCodec.KIND, name, reply -> {
                    if (reply.isLeft()) {
                        log.belief("crash_report_left")
                                .with("vm", name)
                                .with("reason", reply.getLeft().message())
                                .write();
                    }
                });
            }
        }
    }

    @Override
    public void onPresent(String name, CrashReport report) {
        CrashReport before = known.put(name, report);
        learnedAtMillis.put(name, nowMillis);
        Map<String, List<String>> added = new TreeMap<>();
        Map<String, Long> crashedAtMillis = new TreeMap<>();
        report.crashedAtUnixMillis().forEach((fingerprint, targets) -> {
            Map<String, Long> targetsBefore =
                    before == null ? Map.of() : before.crashedAtUnixMillis().getOrDefault(fingerprint, Map.of());
            targets.forEach((target, atUnixMillis) -> {
                if (!targetsBefore.containsKey(target)) {
                    added.computeIfAbsent(target, ignored -> new ArrayList<>()).add(fingerprint);
                    crashedAtMillis.put(target, toLocalMillis(atUnixMillis));
                }
            });
        });
        added.forEach((target, fingerprints) -> crashes.onReport(
                fingerprints, target, crashedAtMillis.getOrDefault(target, nowMillis), name.equals(vm), nowMillis));
        if (name.equals(vm)) {
            onOwnReport(report);
        }
    }

    @Override
    public void onAbsent(String name) {
        known.remove(name);
        learnedAtMillis.remove(name);
        if (name.equals(vm)) {
            onOwnReport(new CrashReport(Map.of()));
        }
    }

    /** Compares what the store holds with what was written, which the store may have lost. */
    private void onOwnReport(CrashReport report) {
        if (!writing) {
            written = report;
            changed = true;
        }
    }

    @Override
    public void onListed() {
        listed = true;
        if (!known.containsKey(vm) && !written.isEmpty()) {
            // The store lost the report before this router had read it.
            onOwnReport(new CrashReport(Map.of()));
        }
    }
}
