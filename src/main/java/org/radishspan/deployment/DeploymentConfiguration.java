package org.radishspan.deployment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One immutable version of the deployment's configuration, with indexes to find the route and workspace of a request. */
public final class DeploymentConfiguration {
    private final long version;
    private final CallerLimits limits;
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final Map<String, Workspace> workspacesByKey = new HashMap<>();
    private final List<Workspace> workspaces;
    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    private final Map<String, Integer> highestPriorityByService = new HashMap<>();

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
                highestPriorityByService.merge(split.service(), route.priority(), Math::min);
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

    /** Returns all workspaces; empty if callers need no keys. */
    public List<Workspace> workspaces() {
        return workspaces;
    }

    /** Returns whether callers need keys, which is the case if there are workspaces. */
    public boolean keysRequired() {
        return !workspaces.isEmpty();
    }

    /** Returns the workspace that a caller's key belongs to; empty if no workspace has this key. */
    public Optional<Workspace> workspaceOf(String callerKey) {
        return Optional.ofNullable(workspacesByKey.get(callerKey));
    }

    /** Returns all services. */
    public Collection<ServiceSpec> services() {
        return services.values();
    }

    /** Returns the service of a name; empty if there is none. */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns whether requests of a route may be deferred because another route to the same service has a higher priority. A
     * workspace with a priority of its own has the same priority on all routes, so that none of its requests is deferrable.
     */
    public boolean isDeferrable(Route route, String service, Optional<Workspace> workspace) {
        boolean samePriority = workspace
                .flatMap(known -> known.priority().stream().boxed().findFirst())
                .isPresent();
        return !samePriority && route.priority() > highestPriorityByService.getOrDefault(service, route.priority());
    }

    /** Returns the number of routes of all hosts. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the routes of all hosts in no particular order. */
    public List<Route> routes() {
        List<Route> result = new ArrayList<>();
        routesByHost.values().forEach(byPrefix -> result.addAll(byPrefix.values()));
        return result;
    }

    /**
     * Returns the route of a host whose prefix is the longest one that matches a path; empty if none matches.
     *
     * @param host the host of the request without a port
     * @param path the path of the request without a query
     */
    public Optional<Route> route(String host, String path) {
        Map<String, Route> byPrefix = routesByHost.get(host);
        if (byPrefix == null) {
            return Optional.empty();
        }
        // Prefixes end with a slash, so only the parts of the path that end with a slash can match.
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
