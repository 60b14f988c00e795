package org.radishspan.relay;

import java.util.Optional;

import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.deployment.DeploymentConfiguration;
import org.radishspan.deployment.Route;
import org.radishspan.deployment.Workspace;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;

/** Decides from the configuration in force whether a request is accepted, and which service serves it. */
final class Admission {
    private final CrashDetector crashDetector;
    private final UniformRandomProvider random;
    private final RelayMetrics metrics;
    private final LoopDelay loopDelay = new LoopDelay();
    private boolean draining;

    Admission(CrashDetector crashDetector, UniformRandomProvider random, RelayMetrics metrics) {
        this.crashDetector = crashDetector;
        this.random = random;
        this.metrics = metrics;
    }

    /** Refuses every request that arrives from now on. */
    void refuseNew() {
        draining = true;
    }

    /** Returns the delay of the event loop, because of which requests are refused that cannot be handled in time. */
    LoopDelay loopDelay() {
        return loopDelay;
    }

    /** Returns the terms of an accepted request, or the failure of a refused one. A refused request has had no effect. */
    Either<Failure, RelayRequest.Terms> decide(
            CallerRequest request, Optional<DeploymentConfiguration> currentConfiguration, long nowMillis) {
        if (draining || currentConfiguration.isEmpty()) {
            ErrorKind kind = draining ? ErrorKind.DRAINING : ErrorKind.PLATFORM_UNAVAILABLE;
            String message = draining ? "this router is stopping" : "this router has not loaded a configuration yet";
            return Either.left(Failure.notRun(kind, message).retryAfter(RelaySystem.OTHER_ROUTER_RETRY_MILLIS));
        }
        DeploymentConfiguration configuration = currentConfiguration.get();
        Optional<Route> route = configuration.route(request.host(), request.path());
        if (route.isEmpty()) {
            return refused(ErrorKind.NOT_FOUND, "no route matches this host and path");
        }
        Optional<Workspace> workspace = request.callerKey().flatMap(configuration::workspaceOf);
        boolean keyRequired = configuration.keysRequired() && !route.get().anonymous();
        if (keyRequired && workspace.isEmpty()) {
            return refused(ErrorKind.UNAUTHORIZED, "the caller's key is missing or unknown");
        }
        if (request.requestId().isEmpty()) {
            return refused(ErrorKind.INVALID_REQUEST, "the request has no id");
        }
        if (cannotBeHandledInTime(request, route.get())) {
            metrics.onShedForLoopDelay();
            return Either.left(Failure.notRun(
                            ErrorKind.OVERLOADED,
                            "this router is " + loopDelay.millis() + " ms late and cannot handle the request in time")
                    .retryAfter(loopDelay.retryAfterMillis(nowMillis)));
        }
        String service = route.get().serviceFor(random.nextDouble());
        Optional<Failure> quarantine = crashDetector.refusal(request, service, nowMillis);
        if (quarantine.isPresent()) {
            return Either.left(quarantine.get());
        }
        return Either.right(new RelayRequest.Terms(
                route.get(),
                service,
                configuration.service(service),
                workspace,
                configuration.isDeferrable(route.get(), service, workspace)));
    }

    private boolean cannotBeHandledInTime(CallerRequest request, Route route) {
        long remainingMillis =
                Math.min(route.timeoutMillis(), request.deadlineMillis().orElse(route.timeoutMillis()));
        return loopDelay.tooLong(remainingMillis);
    }

    private static Either<Failure, RelayRequest.Terms> refused(ErrorKind kind, String message) {
        return Either.left(Failure.notRun(kind, message));
    }
}
