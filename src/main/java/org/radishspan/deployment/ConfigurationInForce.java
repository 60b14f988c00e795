package org.radishspan.deployment;

import java.util.Optional;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.radishspan.log.EventLog;
import org.radishspan.store.KindWatch;

/**
 * Holds the configuration in force, which is the highest version received from any source. A lower version never replaces it.
 */
public final class ConfigurationInForce implements KindWatch.Listener<DeploymentConfiguration> {
    private final String objectName;
    private final EventLog log;
    private final Consumer<DeploymentConfiguration> onAdopted;
    private @Nullable DeploymentConfiguration current;

    /**
     * Creates a holder without a configuration.
     *
     * @param objectName the name of the stored object that holds the configuration; other objects of the kind are ignored
     * @param onAdopted receives each configuration when it comes into force
     */
    public ConfigurationInForce(String objectName, EventLog log, Consumer<DeploymentConfiguration> onAdopted) {
        this.objectName = objectName;
        this.log = log;
        this.onAdopted = onAdopted;
    }

    /** Returns the configuration in force; empty until one has been adopted. */
    public Optional<DeploymentConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Returns the version in force; 0 until a configuration has been adopted. */
    public long version() {
        return current == null ? 0 : current.version();
    }

    /**
     * Puts a configuration in force and logs it. Does nothing if the same or a later version is already in force.
     *
     * @param source where the configuration comes from, for the log
     */
    public void adopt(DeploymentConfiguration configuration, String source) {
        if (configuration.version() <= version() && current != null) {
            return;
        }
        log.belief("configuration_adopted")
                .with("version", configuration.version())
                .with("version_before", version())
                .with("source", source)
                .with("routes", configuration.routeCount())
                .with("workspaces", configuration.workspaces().size())
                .write();
        current = configuration;
        onAdopted.accept(configuration);
    }

    @Override
    public void onPresent(String name, DeploymentConfiguration configuration) {
        if (name.equals(objectName)) {
            adopt(configuration, "store");
        }
    }

    @Override
    public void onAbsent(String name) {
        log.belief("configuration_unreadable")
                .with("name", name)
                .with("version", version())
                .write();
    }
}
