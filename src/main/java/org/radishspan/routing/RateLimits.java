package org.radishspan.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

import org.jspecify.annotations.Nullable;

/**
 * Limits that incarnations of targets have named and not taken back.
 *
 * <p>Kept apart from the rows of the {@link TargetTable}, as a row goes and comes back with each lapse of the target's entry.
 */
final class RateLimits {
    private record Incarnation(String name, long startedAtUnixMillis) {}

    private final RateSenders senders;
    private final Map<Incarnation, RateLimit> limits = new HashMap<>();

    RateLimits(RateSenders senders) {
        this.senders = senders;
    }

    @Nullable
    RateLimit get(String name, long startedAtUnixMillis) {
        return limits.isEmpty() ? null : limits.get(new Incarnation(name, startedAtUnixMillis));
    }

    /** Notes the limit of an incarnation; empty if it has none. Returns whether that is new. */
    boolean onNamed(String name, long startedAtUnixMillis, OptionalDouble requestsPerSecond, long nowMillis) {
        RateLimit known = get(name, startedAtUnixMillis);
        if (requestsPerSecond.isEmpty()) {
            return known != null && limits.remove(new Incarnation(name, startedAtUnixMillis)) != null;
        }
        if (known != null) {
            return known.onNamed(requestsPerSecond.getAsDouble(), nowMillis);
        }
        RateLimit added = new RateLimit(RendezvousRank.hash(name), senders, requestsPerSecond.getAsDouble(), nowMillis);
        limits.put(new Incarnation(name, startedAtUnixMillis), added);
        return true;
    }

    /** Forgets limits of which nothing was heard for long; returns whether there were any. */
    boolean forgetLapsed(long nowMillis) {
        return !limits.isEmpty() && limits.values().removeIf(limit -> limit.lapsed(nowMillis));
    }
}
