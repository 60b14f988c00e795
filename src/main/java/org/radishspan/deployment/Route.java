package org.radishspan.deployment;

import java.util.List;
import java.util.Set;

/**
 * Defines to which services the requests of a host and path prefix are sent, and the rules that apply to them.
 *
 * @param name the name of the route
 * @param host the host of its requests, without a port
 * @param pathPrefix the prefix of its requests' paths; begins and ends with a slash
 * @param kind whether its requests may be repeated
 * @param timeoutMillis the maximum time that a caller may wait for the answer
 * @param latencyObjectiveMillis the latency objective: the time within which an answer counts as on time
 * @param priority the priority of its requests; 0 is the highest
 * @param splits the services and their weights; never empty
 * @param maxAttempts the maximum number of targets that one request may be sent to
 * @param anonymous whether requests without a key are accepted
 * @param promptAffinity whether requests contain prompts whose parts are cached by targets
 * @param resumable whether a broken stream may be resumed on another target
 * @param eventGapObjectiveMillis the objective for the longest pause between two events of a stream; 0 for none
 * @param allowedRegions the regions whose targets may receive its requests; empty if all may
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long latencyObjectiveMillis,
        int priority,
        List<Split> splits,
        int maxAttempts,
        boolean anonymous,
        boolean promptAffinity,
        boolean resumable,
        long eventGapObjectiveMillis,
        Set<String> allowedRegions) {

    /**
     * A service that receives a fraction of a route's requests.
     *
     * @param service the name of the service
     * @param weight the weight of the service; its fraction is the weight divided by the sum of all weights
     */
    public record Split(String service, double weight) {}

    /** Returns whether a request that may already have run may be sent again. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Returns a service chosen by weight.
     *
     * @param draw a random number, uniformly distributed from 0 inclusive to 1 exclusive
     */
    public String serviceFor(double draw) {
        double totalWeight = splits.stream().mapToDouble(Split::weight).sum();
        double remaining = draw * totalWeight;
        for (Split split : splits) {
            remaining -= split.weight();
            if (remaining < 0) {
                return split.service();
            }
        }
        return splits.get(splits.size() - 1).service();
    }
}
