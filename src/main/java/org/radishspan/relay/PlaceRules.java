package org.radishspan.relay;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.radishspan.deployment.Route;
import org.radishspan.deployment.Workspace;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetFilter;

/**
 * Decides by the failure domains of targets where requests may be sent: to no target of an evacuated failure domain, and only
 * to targets in a region that both the route and the workspace allow.
 */
public final class PlaceRules implements TargetRules {
    /** The retry delay while the list of evacuations has not been read, which takes one call to the store. */
    private static final long UNKNOWN_RETRY_MILLIS = 400;

    private final Map<String, String> regionsByFailureDomain;
    private final BooleanSupplier evacuationsKnown;
    private final Predicate<String> isEvacuated;
    private final long retryMillis;
    private final Counter refusedUnknown;
    private final Counter refusedRegion;
    private final Counter refusedEvacuated;

    /**
     * Creates the rules.
     *
     * @param regionsByFailureDomain the region of each failure domain; a target in any other one is in no region
     * @param evacuationsKnown returns whether requests may be sent as far as the list of evacuations is concerned; false
     *     for a bounded time after the start
     * @param isEvacuated returns whether a failure domain is evacuated
     * @param changeMillis the time within which the end of an evacuation takes effect. Refused callers are told to return after
     *     this time: when an evacuation will end is not known, an earlier attempt would be refused even if it had just ended,
     *     and a later one would leave callers waiting for targets that accept requests again.
     */
    public PlaceRules(
            Map<String, String> regionsByFailureDomain,
            BooleanSupplier evacuationsKnown,
            Predicate<String> isEvacuated,
            long changeMillis,
            MeterRegistry meters) {
        this.regionsByFailureDomain = Map.copyOf(regionsByFailureDomain);
        this.evacuationsKnown = evacuationsKnown;
        this.isEvacuated = isEvacuated;
        this.retryMillis = Math.max(1, changeMillis);
        this.refusedUnknown = counter(meters, "evacuations_unknown");
        this.refusedRegion = counter(meters, "region");
        this.refusedEvacuated = counter(meters, "evacuated");
    }

    private static Counter counter(MeterRegistry meters, String cause) {
        return Counter.builder("radishspan.relay.place.refusals")
                .tag("cause", cause)
                .register(meters);
    }

    @Override
    public TargetFilter filterFor(Route route, Optional<Workspace> workspace, Optional<Prompt> prompt) {
        return (target, nowMillis) -> evacuationsKnown.getAsBoolean()
                && !isEvacuated.test(target.failureDomain())
                && isInAllowedRegion(target, route, workspace);
    }

    private boolean isInAllowedRegion(Target target, Route route, Optional<Workspace> workspace) {
        return isInOneOf(route.allowedRegions(), target)
                && (workspace.isEmpty() || isInOneOf(workspace.get().allowedRegions(), target));
    }

    private boolean isInOneOf(Set<String> regions, Target target) {
        if (regions.isEmpty()) {
            return true;
        }
        String region = regionsByFailureDomain.get(target.failureDomain());
        return region != null && regions.contains(region);
    }

    @Override
    public Optional<Failure> refusal(Route route, Optional<Workspace> workspace, Collection<Target> targets) {
        if (targets.isEmpty()) {
            return Optional.empty();
        }
        if (!evacuationsKnown.getAsBoolean()) {
            return refuse(refusedUnknown, "this router has not read the list of evacuations yet", UNKNOWN_RETRY_MILLIS);
        }
        Set<String> allowedDomains = new TreeSet<>();
        for (Target target : targets) {
            if (isInAllowedRegion(target, route, workspace)) {
                allowedDomains.add(target.failureDomain());
            }
        }
        if (allowedDomains.isEmpty()) {
            return refuse(
                    refusedRegion,
                    "no target of the service is in a region that the route and the workspace allow",
                    retryMillis);
        }
        if (!allowedDomains.stream().allMatch(isEvacuated)) {
            return Optional.empty();
        }
        return refuse(
                refusedEvacuated,
                "all targets that may serve the request are in evacuated failure domains: "
                        + String.join(", ", allowedDomains),
                retryMillis);
    }

    private static Optional<Failure> refuse(Counter counter, String message, long retryAfterMillis) {
        counter.increment();
        return Optional.of(Failure.notRun(ErrorKind.NO_TARGET, message).retryAfter(retryAfterMillis));
    }
}
