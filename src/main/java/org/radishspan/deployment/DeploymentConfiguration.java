package org.radishspan.deployment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the configuration, indexed for requests; immutable. */
public final class DeploymentConfiguration {
    private final long version;
    private final CallerLimits limits;
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final Map<String, Workspace> workspacesByKey = new HashMap<>();
    private final List<Workspace> workspaces;
    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    private final Map<String, Integer> highestPriorities = new HashMap<>();

    /** Creates a version from its parts. */
    public DeploymentConfiguration(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            CallerLimits limits,
            List<Workspace> workspaces) {
        this.version = version;
        this.limits = limits;
        this.workspaces = List.copyOf(workspaces);
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host(), ignored -> new HashMap<>())
                    .put(route.pathPrefix(), route);
            for (Route.Split split : route.splits()) {
                highestPriorities.merge(split.service(), route.priority(), Math::min);
            }
        }
        for (ServiceSpec service : services) {
            this.services.put(service.name(), service);
        }
        for (Workspace workspace : workspaces) {
            workspace.callerKeys().forEach(key -> workspacesByKey.put(key, workspace));
        }
    }

    /** Returns the version; a later configuration has a higher one. */
    public long version() {
        return version;
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the workspaces. */
    public List<Workspace> workspaces() {
        return workspaces;
    }

    /** Returns whether callers have to show keys at all. */
    public boolean keysNeeded() {
        return !workspaces.isEmpty();
    }

    /** Returns the workspace of a caller's key. */
    public Optional<Workspace> workspaceOf(String callerKey) {
        return Optional.ofNullable(workspacesByKey.get(callerKey));
    }

    /** Returns the services. */
    public Collection<ServiceSpec> services() {
        return services.values();
    }

    /** Returns a service by name. */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns whether other routes to the same service are more urgent; a workspace's own priority makes all its routes equal. */
    public boolean isDeferrable(Route route, String service, Optional<Workspace> workspace) {
        boolean samePriority = workspace
                .flatMap(known -> known.priority().stream().boxed().findFirst())
                .isPresent();
        return !samePriority && route.priority() > highestPriorities.getOrDefault(service, route.priority());
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns every route. */
    public List<Route> routes() {
        List<Route> result = new ArrayList<>();
        routesByHost.values().forEach(byPrefix -> result.addAll(byPrefix.values()));
        return result;
    }

    /**
     * Returns the route of the host with the longest prefix of the path.
     *
     * @param host without a port
     * @param path without a query
     */
    public Optional<Route> route(String host, String path) {
        Map<String, Route> byPrefix = routesByHost.get(host);
        if (byPrefix == null) {
            return Optional.empty();
        }
        // Prefixes end with a slash, so only the parts of the path that do can be one.
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
            if (end == 0) {
                break;
            }
        }
        return Optional.empty();
    }
}
