package org.radishspan.deployment;

import java.util.Optional;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.radishspan.log.EventLog;
import org.radishspan.store.KindWatch;

/** The configuration in force: the highest version that was ever seen, from whatever source. */
public final class ConfigurationInForce implements KindWatch.Listener<DeploymentConfiguration> {
    private final String objectName;
    private final EventLog log;
    private final Consumer<DeploymentConfiguration> onAdopted;
    private @Nullable DeploymentConfiguration current;

    /** Creates the state before any configuration is known. */
    public ConfigurationInForce(String objectName, EventLog log, Consumer<DeploymentConfiguration> onAdopted) {
        this.objectName = objectName;
        this.log = log;
        this.onAdopted = onAdopted;
    }

    /** Returns the configuration; empty until one is known. */
    public Optional<DeploymentConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Returns the version in force; 0 until one is known. */
    public long version() {
        return current == null ? 0 : current.version();
    }

    /** Puts a configuration in force unless a later one already is. */
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
