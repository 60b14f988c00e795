package org.radishspan.deployment;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.radishspan.log.EventLog;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetTable;
import org.radishspan.store.KindWatch;

/**
 * Updates the table of targets from the entries of targets in the platform's store.
 *
 * <p>Entries also lapse while the store is unavailable, and targets write them again soon after it has recovered. A target
 * whose entry is missing shortly after an outage therefore stays in the table until the entry has had time to reappear.
 *
 * <p>A store that comes back from an older copy may list targets that left, or that drain, as ready. For a while such entries are
 * held back.
 */
public final class TargetDirectory implements KindWatch.Listener<TargetEntry> {
    /**
     * Time after a restore of the store in which targets that left or drain are not used although an older copy lists them as
     * ready. By then live targets have written their entries again, and the entries of others have expired.
     */
    private static final long HOLD_MILLIS = 4_000;

    /** Removed targets are remembered up to this number; their names are not used again. */
    private static final int MAX_REMOVED = 10_000;

    /** Time after an outage in which missing entries are tolerated. Lapsed entries are written again within two seconds. */
    public static final long ENTRIES_RESTORED_MILLIS = 2_200;

    private final TargetTable targets;
    private final LongPredicate storeOutageWithin;
    private final EventLog log;
    private final LongSupplier clockMillis;
    private final Consumer<Target> onEnded;
    private final Map<String, Boolean> lapsed = new HashMap<>();

    /** The incarnations that were removed from the table, by the names of their targets. */
    private final Map<String, Long> removedIncarnations = new HashMap<>();

    /** Entries that contradict what was known before the store came back from an older copy. */
    private final Map<String, TargetEntry> heldEntries = new HashMap<>();

    /** When the cold times of targets end, by the names of the targets that are cold. */
    private final Map<String, Long> coldUntilMillis = new HashMap<>();

    /** The entries whose cold times were applied, kept as long as the targets' entries are the same. */
    private final Map<String, TargetEntry> appliedColdEntries = new HashMap<>();

    private @Nullable Consumer<Target> onCold;

    private long holdUntilMillis = Long.MIN_VALUE;
    private boolean initialListRead;

    /**
     * Creates the directory.
     *
     * @param storeOutageWithin returns whether there was an outage of the store within the given number of milliseconds, long
     *     enough for entries of live targets to lapse
     * @param clockMillis a monotonic clock in milliseconds
     * @param onEnded receives each target that has been replaced by another incarnation
     */
    public TargetDirectory(
            TargetTable targets,
            LongPredicate storeOutageWithin,
            LongSupplier clockMillis,
            EventLog log,
            Consumer<Target> onEnded) {
        this.targets = targets;
        this.storeOutageWithin = storeOutageWithin;
        this.clockMillis = clockMillis;
        this.log = log;
        this.onEnded = onEnded;
    }

    /**
     * Applies the cold times of targets, which are ignored otherwise.
     *
     * @param receiver receives each target that has become cold
     */
    public void applyColdTimes(Consumer<Target> receiver) {
        onCold = receiver;
    }

    @Override
    public void onStoreRestored() {
        holdUntilMillis = clockMillis.getAsLong() + HOLD_MILLIS;
    }

    @Override
    public void onPresent(String name, TargetEntry entry) {
        heldEntries.remove(name);
        if (clockMillis.getAsLong() < holdUntilMillis && contradictsEarlierEntry(name, entry)) {
            heldEntries.put(name, entry);
            log.belief("target_held")
                    .with("target", name)
                    .with("reason", "it was leaving before the store came back from an older copy")
                    .write();
            return;
        }
        register(name, entry);
    }

    private boolean contradictsEarlierEntry(String name, TargetEntry entry) {
        Target known = targets.get(name);
        if (known != null) {
            return known.leaving() && !entry.draining() && known.startedAtUnixMillis() == entry.startedAtUnixMillis();
        }
        return Long.valueOf(entry.startedAtUnixMillis()).equals(removedIncarnations.get(name));
    }

    private void register(String name, TargetEntry entry) {
        lapsed.remove(name);
        removedIncarnations.remove(name);
        Target known = targets.get(name);
        boolean drainingBefore = known != null && known.leaving();
        Target registered = targets.register(entry.withId(name), clockMillis.getAsLong());
        if (known != null && known.startedAtUnixMillis() != registered.startedAtUnixMillis()) {
            onEnded.accept(known);
        }
        applyColdTime(name, entry, registered);
        if ((known == null && initialListRead) || drainingBefore != entry.draining()) {
            log.belief(entry.draining() ? "target_draining" : "target_ready")
                    .with("target", name)
                    .with("service", entry.service())
                    .with("address", entry.address().toString())
                    .with("failure_domain", entry.failureDomain())
                    .write();
        }
    }

    /** A target may become cold again for the same time as before. */
    @Override
    public void onRepeated(String name, TargetEntry entry) {
        Target target = targets.get(name);
        if (target == null || heldEntries.containsKey(name)) {
            return;
        }
        appliedColdEntries.remove(name);
        applyColdTime(name, entry, target);
    }

    /**
     * Applies the cold time of an entry that was written just now. An entry that is merely listed again does not begin its cold
     * time anew.
     */
    private void applyColdTime(String name, TargetEntry entry, Target target) {
        Consumer<Target> receiver = onCold;
        if (receiver == null || entry.equals(appliedColdEntries.get(name))) {
            return;
        }
        if (entry.coldMillis() == 0) {
            appliedColdEntries.remove(name);
            endColdTime(name);
            return;
        }
        long nowMillis = clockMillis.getAsLong();
        targets.onColdTime(target, entry.coldMillis(), nowMillis);
        appliedColdEntries.put(name, entry);
        coldUntilMillis.put(name, nowMillis + entry.coldMillis());
        log.belief("target_cold")
                .with("target", name)
                .with("service", entry.service())
                .with("cold_ms", entry.coldMillis())
                .with("limited", targets.isColdLimited(target, nowMillis))
                .write();
        receiver.accept(target);
    }

    private void endColdTime(String name) {
        if (coldUntilMillis.remove(name) == null) {
            return;
        }
        Target target = targets.get(name);
        if (target != null) {
            targets.onColdTime(target, 0, clockMillis.getAsLong());
            log.belief("target_warm").with("target", name).write();
        }
    }

    /** Returns the number of cold targets. */
    public int coldTargets() {
        return coldUntilMillis.size();
    }

    @Override
    public void onListed() {
        if (!initialListRead) {
            initialListRead = true;
            log.belief("targets_listed").with("targets", targets.rows().size()).write();
        }
    }

    @Override
    public void onAbsent(String name) {
        heldEntries.remove(name);
        if (storeOutageWithin.test(ENTRIES_RESTORED_MILLIS)) {
            lapsed.put(name, true);
            log.belief("target_lapsed")
                    .with("target", name)
                    .with("reason", "its entry is missing after an outage of the store")
                    .write();
            return;
        }
        remove(name, "its entry was removed");
    }

    private void remove(String name, String reason) {
        Target removed = targets.get(name);
        if (removed != null && removedIncarnations.size() < MAX_REMOVED) {
            removedIncarnations.put(name, removed.startedAtUnixMillis());
        }
        targets.deregister(name);
        appliedColdEntries.remove(name);
        coldUntilMillis.remove(name);
        log.belief("target_gone").with("target", name).with("reason", reason).write();
    }

    /** Registers the held entries that are still present when live targets have written theirs again. */
    private void releaseHeldEntries() {
        if (heldEntries.isEmpty() || clockMillis.getAsLong() < holdUntilMillis) {
            return;
        }
        Map.copyOf(heldEntries).forEach(this::register);
        heldEntries.clear();
    }

    private void endColdTimes() {
        if (coldUntilMillis.isEmpty()) {
            return;
        }
        long nowMillis = clockMillis.getAsLong();
        Map.copyOf(coldUntilMillis).forEach((name, untilMillis) -> {
            if (nowMillis >= untilMillis) {
                endColdTime(name);
            }
        });
    }

    /** Removes the targets whose entries have not reappeared in time after an outage of the store. */
    public void tick() {
        releaseHeldEntries();
        endColdTimes();
        if (lapsed.isEmpty() || storeOutageWithin.test(ENTRIES_RESTORED_MILLIS)) {
            return;
        }
        lapsed.keySet().forEach(name -> remove(name, "its entry did not reappear after an outage of the store"));
        lapsed.clear();
    }
}
