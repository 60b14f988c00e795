package org.radishspan.deployment;

import java.util.List;

/**
 * Where requests of a host and path prefix go, and what holds for them.
 *
 * @param name the route
 * @param host the host
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest that a caller may be kept waiting
 * @param objectiveMillis an answer within this time is on time
 * @param priority the rank; 0 goes first
 * @param splits the services and their weights; never empty
 * @param maxAttempts the most targets that one request may be sent to
 * @param anonymous whether callers need no key
 * @param promptAffinity whether requests carry prompts whose parts targets cache
 * @param resumable whether a broken stream may go on at another target
 * @param pauseObjectiveMillis the longest pause between two events; 0 if there is none
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        List<Split> splits,
        int maxAttempts,
        boolean anonymous,
        boolean promptAffinity,
        boolean resumable,
        long pauseObjectiveMillis) {

    /**
     * A service and its part of a route's requests.
     *
     * @param service the service
     * @param weight its part in relation to the others
     */
    public record Split(String service, double weight) {}

    /** Returns whether a request that may have run may be sent again. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Returns the service for a request.
     *
     * @param draw evenly distributed from 0 to below 1
     */
    public String serviceFor(double draw) {
        double total = splits.stream().mapToDouble(Split::weight).sum();
        double left = draw * total;
        for (Split split : splits) {
            left -= split.weight();
            if (left < 0) {
                return split.service();
            }
        }
        return splits.get(splits.size() - 1).service();
    }
}
