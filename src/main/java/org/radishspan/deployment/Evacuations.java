package org.radishspan.deployment;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

import org.radishspan.log.EventLog;
import org.radishspan.store.KindWatch;

/**
 * The failure domains that operators have evacuated: while the entry of a failure domain exists, its targets get no new
 * requests. Requests in progress continue.
 *
 * <p>The evacuations known last stay in force while the store is unavailable, and until the list has been read again after the
 * store has come back from an older copy.
 */
public final class Evacuations implements KindWatch.Listener<EvacuationEntry> {
    /**
     * Maximum number of names in force that are not failure domains of the settings. They are kept because a deployment may
     * have got another failure domain since this router read its settings.
     */
    private static final int MAX_UNKNOWN = 64;

    private final Set<String> failureDomains;
    private final EventLog log;
    private final Consumer<String> onEvacuated;
    private final Set<String> evacuated = new HashSet<>();
    private int unknown;
    private boolean tooManyReported;
    private boolean storeRestored;

    /**
     * Creates a table without evacuations.
     *
     * @param failureDomains all failure domains of the deployment
     * @param onEvacuated receives each failure domain when its evacuation comes into force
     */
    public Evacuations(Set<String> failureDomains, EventLog log, Consumer<String> onEvacuated) {
        this.failureDomains = Set.copyOf(failureDomains);
        this.log = log;
        this.onEvacuated = onEvacuated;
    }

    /** Returns whether a failure domain is evacuated. */
    public boolean isEvacuated(String failureDomain) {
        return evacuated.contains(failureDomain);
    }

    /** Returns the number of evacuations in force. */
    public int count() {
        return evacuated.size();
    }

    @Override
    public void onPresent(String name, EvacuationEntry entry) {
        if (evacuated.contains(name)) {
            return;
        }
        boolean known = failureDomains.contains(name);
        if (!known && unknown >= MAX_UNKNOWN) {
            reportTooMany(name);
            return;
        }
        unknown += known ? 0 : 1;
        evacuated.add(name);
        logBegin(name, known, entry);
        onEvacuated.accept(name);
    }

    private void logBegin(String name, boolean known, EvacuationEntry entry) {
        log.belief("failure_domain_evacuated")
                .with("failure_domain", name)
                .with("known", known)
                .with("unexpected_content", !entry.empty())
                .with("evacuated", evacuated.size())
                .with("all", evacuated.containsAll(failureDomains))
                .write();
    }

    private void reportTooMany(String name) {
        if (tooManyReported) {
            return;
        }
        tooManyReported = true;
        log.belief("evacuation_ignored")
                .with("failure_domain", name)
                .with("reason", "more than " + MAX_UNKNOWN + " evacuations are of unknown failure domains")
                .write();
    }

    @Override
    public void onAbsent(String name) {
        if (!evacuated.remove(name)) {
            return;
        }
        unknown -= failureDomains.contains(name) ? 0 : 1;
        log.belief("failure_domain_evacuation_ended")
                .with("failure_domain", name)
                .with(
                        "reason",
                        storeRestored
                                ? "the store came back from an older copy without its entry"
                                : "its entry was removed")
                .with("evacuated", evacuated.size())
                .write();
    }

    @Override
    public void onStoreRestored() {
        storeRestored = true;
    }

    @Override
    public void onListed() {
        storeRestored = false;
    }
}
