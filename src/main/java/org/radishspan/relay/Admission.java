package org.radishspan.relay;

import java.util.Optional;

import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.deployment.DeploymentConfiguration;
import org.radishspan.deployment.Route;
import org.radishspan.deployment.Workspace;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;

/** Decides by the configuration in force whether a request may be served, and by whom. */
final class Admission {
    /** When callers come back to another router after this one refused because it stops or has not started. */
    private static final long OTHER_ROUTER_RETRY_MILLIS = 50;

    private final CrashWatch crashes;
    private final UniformRandomProvider random;
    private boolean refusing;

    Admission(CrashWatch crashes, UniformRandomProvider random) {
        this.crashes = crashes;
        this.random = random;
    }

    /** Refuses every request from now on. */
    void refuseNew() {
        refusing = true;
    }

    /** Returns what holds for a request, or why it is refused before it has any effect. */
    Either<Failure, RelayRequest.Terms> decide(
            CallerRequest request, Optional<DeploymentConfiguration> inForce, long nowMillis) {
        if (refusing || inForce.isEmpty()) {
            ErrorKind kind = refusing ? ErrorKind.DRAINING : ErrorKind.PLATFORM_UNAVAILABLE;
            String message = refusing ? "this router is stopping" : "this router knows no configuration yet";
            return Either.left(Failure.notRun(kind, message).retryAfter(OTHER_ROUTER_RETRY_MILLIS));
        }
        DeploymentConfiguration configuration = inForce.get();
        Optional<Route> route = configuration.route(request.host(), request.path());
        if (route.isEmpty()) {
            return refused(ErrorKind.NOT_FOUND, "no route for this host and path");
        }
        Optional<Workspace> workspace = request.callerKey().flatMap(configuration::workspaceOf);
        boolean keyNeeded = configuration.keysNeeded() && !route.get().anonymous();
        if (keyNeeded && workspace.isEmpty()) {
            return refused(ErrorKind.UNAUTHORIZED, "the caller's key is missing or wrong");
        }
        if (request.requestId().isEmpty()) {
            return refused(ErrorKind.INVALID_REQUEST, "the request has no id");
        }
        Optional<Failure> quarantined = crashes.refusal(request, nowMillis);
        if (quarantined.isPresent()) {
            return Either.left(quarantined.get());
        }
        String service = route.get().serviceFor(random.nextDouble());
        return Either.right(new RelayRequest.Terms(
                route.get(),
                service,
                configuration.service(service),
                workspace,
                configuration.isDeferrable(route.get(), service, workspace)));
    }

    private static Either<Failure, RelayRequest.Terms> refused(ErrorKind kind, String message) {
        return Either.left(Failure.notRun(kind, message));
    }
}
