package org.radishspan.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.vavr.control.Either;
import org.radishspan.deployment.ServiceSpec;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.routing.Placement;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetFilter;
import org.radishspan.routing.TargetTable;

/** Selects the target that a request is sent to next, or the failure if there is none. */
final class TargetPicker {
    /**
     * The retry delay for callers when no target is available. A crashed target is available again only after some seconds, but
     * another target may be available sooner.
     */
    private static final long NO_TARGET_RETRY_MILLIS = 400;

    /** The retry delay for callers when every target was overloaded; a simple call takes about ten milliseconds. */
    static final long OVERLOADED_RETRY_MILLIS = 200;

    /** The maximum number of sends of a request, counting those that did not arrive or were refused. */
    static final int MAX_SENDS = 6;

    private static final String NO_FURTHER_TARGET = "no further target of the service is available";
    private static final String MAX_SENDS_REACHED = "the request has reached the maximum number of sends";

    private final TargetTable targets;
    private final TargetRules targetRules;
    private final Placement placement;
    private final String failureDomain;
    private final StreamVersions streamVersions;

    TargetPicker(
            TargetTable targets,
            TargetRules targetRules,
            StreamVersions streamVersions,
            Placement placement,
            String failureDomain) {
        this.targets = targets;
        this.targetRules = targetRules;
        this.streamVersions = streamVersions;
        this.placement = placement;
        this.failureDomain = failureDomain;
    }

    /** Returns the best target that the request has not tried yet, or the failure to answer the request with. */
    Either<Failure, Placement.Choice> pick(RelayRequest request, long nowMillis) {
        Optional<Placement.Choice> choice = choose(request, filterFor(request), true, nowMillis);
        if (choice.isEmpty()) {
            return Either.left(noTargetFailure(request, NO_FURTHER_TARGET, nowMillis));
        }
        if (request.sends >= MAX_SENDS) {
            return Either.left(noTargetFailure(request, MAX_SENDS_REACHED, nowMillis));
        }
        return Either.right(choice.get());
    }

    private Optional<Placement.Choice> choose(
            RelayRequest request, TargetFilter filter, boolean lastResorts, long nowMillis) {
        List<Target> candidates = targets.candidates(request.service, request.triedTargets, filter, nowMillis);
        if (request.sends == 0) {
            candidates = targets.preferWarmUp(candidates, nowMillis);
        }
        if (candidates.isEmpty() && lastResorts) {
            candidates = targets.lastResorts(request.service, request.triedTargets, filter, nowMillis);
        }
        candidates = placement.sample(candidates, request.promptShape, nowMillis);
        return request.promptShape == null
                ? placement.choose(candidates, failureDomain, nowMillis)
                : placement.choose(
                        candidates,
                        request.promptShape,
                        request.route.latencyObjectiveMillis(),
                        request.serviceSpec.map(ServiceSpec::memoryTokens).orElse(0L),
                        nowMillis);
    }

    /** Returns the best target that the request has not tried yet and that has room for it now; empty if there is none. */
    Optional<Placement.Choice> pickWithRoom(RelayRequest request, long nowMillis) {
        TargetFilter withRoom = withRoom(request);
        Optional<Placement.Choice> choice = choose(request, withRoom, false, nowMillis);
        if (choice.isPresent()) {
            return choice;
        }
        // A target that failed recently has room, but is tried only if no other one could have room later.
        boolean anotherMayHaveRoom = !targets.candidates(
                        request.service, request.triedTargets, filterFor(request), nowMillis)
                .isEmpty();
        return anotherMayHaveRoom ? choice : choose(request, withRoom, true, nowMillis);
    }

    /** Returns whether any target of a service has room for a small request now. */
    boolean hasRoom(String service, long nowMillis) {
        return !targets.lastResorts(service, Set.of(), targets.roomFor(0), nowMillis)
                .isEmpty();
    }

    /** Returns the failure of a request that no target can serve, neither now nor when one has room; otherwise empty. */
    Optional<Failure> failureIfUnservable(RelayRequest request, long nowMillis) {
        if (request.sends >= MAX_SENDS) {
            return Optional.of(noTargetFailure(request, MAX_SENDS_REACHED, nowMillis));
        }
        return targets.hasTarget(request.service, request.triedTargets, filterFor(request), nowMillis)
                ? Optional.empty()
                : Optional.of(noTargetFailure(request, NO_FURTHER_TARGET, nowMillis));
    }

    /** Returns the time until a target accepts work again, if all have paused or reached their limits; otherwise 0. */
    long waitMillis(RelayRequest request, long nowMillis) {
        return targets.waitMillis(request.service, filterFor(request), nowMillis)
                .orElse(0);
    }

    private TargetFilter filterFor(RelayRequest request) {
        TargetFilter allowed = targetRules.filterFor(request.route, request.workspace, request.callerRequest.prompt());
        String version = request.softwareVersion;
        if (version != null) {
            return allowed.and((target, nowMillis) -> target.softwareVersion().equals(version));
        }
        return request.route.resumable() ? allowed.and(streamVersions::mayBegin) : allowed;
    }

    /** Returns whether a stream cannot go on because its software version is not in service any more. */
    private boolean versionHasLeft(RelayRequest request) {
        String version = request.softwareVersion;
        return version != null
                && targets.remaining(request.service).stream()
                        .noneMatch(target -> target.softwareVersion().equals(version));
    }

    /**
     * Returns whether at least two targets that the request has not tried yet are candidates, or one if the rules exclude the
     * target that it was sent to.
     */
    boolean hasAlternative(RelayRequest request, long nowMillis) {
        TargetFilter filter = filterFor(request);
        Attempt attempt = request.attempt;
        boolean currentExcluded = attempt != null && !filter.admits(attempt.target, nowMillis);
        return targets.candidates(request.service, request.triedTargets, filter, nowMillis)
                        .size()
                > (currentExcluded ? 0 : 1);
    }

    /** Returns whether a target that the request has not tried yet, other than its present one, has room for it. */
    boolean hasAlternativeWithRoom(RelayRequest request, Target present, long nowMillis) {
        return targets.candidates(request.service, request.triedTargets, withRoom(request), nowMillis).stream()
                .anyMatch(target -> target != present);
    }

    private TargetFilter withRoom(RelayRequest request) {
        long tokens =
                request.callerRequest.prompt().map(Prompt::worstCaseTokens).orElse(0L);
        return filterFor(request).and(targets.roomFor(tokens));
    }

    /**
     * Returns the failure of a request that no further target can serve.
     *
     * @param cause why no target was selected; not used if all targets have paused or reached their limits
     */
    Failure noTargetFailure(RelayRequest request, String cause, long nowMillis) {
        if (request.targetsThatMayHaveRun > 0) {
            return Failure.unknown(
                    ErrorKind.TARGET_FAILED, "a target that may have run the request failed, and " + cause);
        }
        if (versionHasLeft(request)) {
            // Without Retry-After, because the version does not come back while the caller waits.
            return Failure.notRun(
                    ErrorKind.NO_TARGET,
                    "no target of the software version at which the stream began is in service: "
                            + request.softwareVersion);
        }
        Optional<Failure> refusal =
                targetRules.refusal(request.route, request.workspace, targets.remaining(request.service));
        if (refusal.isPresent()) {
            return refusal.get();
        }
        OptionalLong waitMillis = targets.waitMillis(request.service, filterFor(request), nowMillis);
        if (waitMillis.isPresent()) {
            return Failure.notRun(ErrorKind.OVERLOADED, limitsReached(request, nowMillis))
                    .retryAfter(waitMillis.getAsLong());
        }
        boolean sentBefore = request.sends > 0;
        return Failure.notRun(sentBefore ? ErrorKind.OVERLOADED : ErrorKind.NO_TARGET, cause)
                .retryAfter(sentBefore ? OVERLOADED_RETRY_MILLIS : NO_TARGET_RETRY_MILLIS);
    }

    private String limitsReached(RelayRequest request, long nowMillis) {
        if (targets.refusedByColdLimit(request.service, filterFor(request), nowMillis)) {
            return "every target of the service is cold, requested a pause or has reached its request limit";
        }
        return "every target of the service requested a pause or has reached its request limit";
    }
}
