package org.radishspan.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.radishspan.deployment.Address;
import org.radishspan.deployment.RouterEntry;
import org.radishspan.log.EventLog;
import org.radishspan.platform.RouterCodec;
import org.radishspan.routing.TargetTable.ListedVm;
import org.radishspan.store.KindWatch;
import org.radishspan.store.ObjectKinds;

/**
 * The routers that are registered in the store, including this one.
 *
 * <p>Registers this router, repeats that until the store has accepted it, and reports changes of the list to a consumer.
 */
final class RouterDirectory implements KindWatch.Listener<RouterEntry> {
    /**
     * Time from a failed attempt to register to the next one. The store answers in about ten milliseconds, and the loss of an
     * answer is detected after half a second.
     */
    private static final long REGISTRATION_RETRY_MILLIS = 500;

    private final RouterEntry self;
    private final ObjectKinds kinds;
    private final EventLog log;
    private final Consumer<List<ListedVm>> onChanged;
    private final Map<String, RouterEntry> routers = new HashMap<>();
    private boolean changed;
    private boolean registered;
    private boolean registering;
    private boolean withdrawn;
    private long nextRegistrationAtMillis;
    private long nowMillis;

    RouterDirectory(RouterEntry self, ObjectKinds kinds, EventLog log, Consumer<List<ListedVm>> onChanged) {
        this.self = self;
        this.kinds = kinds;
        this.log = log;
        this.onChanged = onChanged;
    }

    int count() {
        return routers.size();
    }

    boolean isListed(String vm) {
        return routers.containsKey(vm);
    }

    /** Reports a changed list. */
    void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (changed) {
            changed = false;
            onChanged.accept(
                    routers.values().stream().map(RouterDirectory::toListedVm).toList());
        }
    }

    /**
     * Registers this router unless the store has accepted its entry or it was withdrawn. To be called while the store is
     * available, because a refused call is charged too.
     */
    void registerIfDue() {
        if (registered || registering || withdrawn || nowMillis < nextRegistrationAtMillis) {
            return;
        }
        registering = true;
        kinds.write(RouterCodec.KIND, self.vm(), RouterCodec.encode(self), reply -> {
            registering = false;
            registered = reply.isRight();
            nextRegistrationAtMillis = nowMillis + REGISTRATION_RETRY_MILLIS;
        });
    }

    /** Removes the entry of this router from the store. A failure is logged and not retried. */
    void withdraw() {
        withdrawn = true;
        kinds.remove(RouterCodec.KIND, self.vm(), reply -> {
            if (reply.isLeft()) {
                log.belief("router_entry_left")
                        .with("reason", reply.getLeft().message())
                        .write();
            }
        });
    }

    @Override
    public void onPresent(String name, RouterEntry entry) {
        routers.put(name, entry);
        changed = true;
    }

    /**
     * Registers this router again if the store lost its entry, and removes the entry again if the store brought it back. The
     * entry may have been written after the last list, so that its absence is not reported.
     */
    @Override
    public void onListed() {
        boolean listed = routers.containsKey(self.vm());
        registered &= listed || registering;
        if (withdrawn && listed) {
            withdraw();
        }
    }

    @Override
    public void onAbsent(String name) {
        routers.remove(name);
        if (name.equals(self.vm())) {
            registered = false;
        }
        changed = true;
    }

    private static ListedVm toListedVm(RouterEntry entry) {
        Address address = entry.peerAddress();
        return new ListedVm(
                entry.vm(), "router", address.host(), address.port(), entry.failureDomain(), false, Set.of());
    }
}
