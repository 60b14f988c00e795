package org.radishspan.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.Failure;
import org.radishspan.proto.ConfigurationState;
import org.radishspan.proto.PresetState;
import org.radishspan.proto.WorkspaceState;
import org.radishspan.store.PlatformStore;
import org.radishspan.store.SharedObject;
import org.radishspan.store.StoredObject;

/**
 * Keeps the configuration in force on this router up to date by watching the configuration object.
 *
 * <p>A revision below the one in force is never adopted, whether it comes from a reconnected watch, a stale read or a peer.
 */
public final class ConfigurationSystem {
    private static final long WATCH_RETRY_MILLIS = 500;

    private final PlatformStore store;
    private final SharedObject<ConfigurationState> object;
    private final List<Consumer<ConfigurationState>> listeners = new ArrayList<>();
    private ConfigurationState inForce = ConfigurationState.getDefaultInstance();
    private long lastSeenVersion;
    private long confirmedAtMillis;
    private long nextWatchAtMillis;
    private boolean watching;
    private long nowMillis;

    /** Creates the system; the first tick starts to watch the configuration object. */
    public ConfigurationSystem(PlatformStore store, SharedObject.Ports ports) {
        this.store = store;
        this.object = new SharedObject<>(Configuration.KEY, Configuration.CODEC, ports);
    }

    /** Returns the configuration in force; an empty one with revision 0 until one has been read. */
    public ConfigurationState inForce() {
        return inForce;
    }

    /** Returns when the platform last confirmed the revision in force by answering a watch; 0 if it has not done so yet. */
    public long confirmedAtMillis() {
        return confirmedAtMillis;
    }

    /** Returns the shared object that holds the configuration. */
    public SharedObject<ConfigurationState> object() {
        return object;
    }

    /** Adds a listener that receives each configuration that comes into force from now on. */
    public void onChange(Consumer<ConfigurationState> listener) {
        listeners.add(listener);
    }

    /** Submits a change. The consumer receives the configuration that includes the change, or the failure. */
    public void submit(
            SharedObject.Mutation<ConfigurationState> mutation, Consumer<Either<Failure, ConfigurationState>> done) {
        object.submit(mutation, result -> {
            result.peek(this::adopt);
            done.accept(result);
        });
    }

    /**
     * Puts a configuration in force and notifies listeners if its revision is above the current one. Returns whether it was.
     */
    public boolean adopt(ConfigurationState candidate) {
        if (candidate.getRevision() <= inForce.getRevision()) {
            return false;
        }
        inForce = candidate;
        for (Consumer<ConfigurationState> listener : listeners) {
            listener.accept(candidate);
        }
        return true;
    }

    /**
     * Returns the workspace that a caller's key belongs to. Empty if the key is malformed, its workspace unknown or its hash
     * wrong.
     */
    public Optional<WorkspaceState> workspaceOf(String callerKey) {
        int dot = callerKey.indexOf('.');
        if (dot <= 0) {
            return Optional.empty();
        }
        WorkspaceState workspace = inForce.getWorkspacesMap().get(callerKey.substring(0, dot));
        if (workspace == null || !CallerKey.matches(workspace, callerKey)) {
            return Optional.empty();
        }
        return Optional.of(workspace);
    }

    /** Returns the preset in force; empty if none is. */
    public Optional<PresetState> preset() {
        return Optional.ofNullable(inForce.getPresetsMap().get(inForce.getPresetInForce()));
    }

    /** Reads the configuration object again, for use when a peer has a later revision. */
    public void refresh() {
        object.refresh();
    }

    /** Sends submitted changes, adopts the configuration that was read and starts the next watch if one is due. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        object.tick(tickMillis);
        ConfigurationState read = object.state();
        if (read != null) {
            adopt(read);
        }
        if (!watching && tickMillis >= nextWatchAtMillis) {
            watch();
        }
    }

    private void watch() {
        watching = true;
        store.watch(Configuration.KEY, lastSeenVersion, this::onWatch);
    }

    private void onWatch(Either<Failure, StoredObject> reply) {
        watching = false;
        if (reply.isLeft()) {
            nextWatchAtMillis = nowMillis + WATCH_RETRY_MILLIS;
            return;
        }
        StoredObject stored = reply.get();
        confirmedAtMillis = nowMillis;
        if (stored.version() > lastSeenVersion) {
            lastSeenVersion = stored.version();
            adopt(Configuration.CODEC.decode().apply(stored.value()));
        }
    }
}
