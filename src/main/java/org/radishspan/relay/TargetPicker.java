package org.radishspan.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.routing.Placement;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetTable;

/** Decides which target a request is sent to next, or why it is given up. */
final class TargetPicker {
    /** When callers come back after a refusal for want of a target; a crashed one is back after some seconds. */
    private static final long NO_TARGET_RETRY_MILLIS = 400;

    /** When callers come back after every target was full; a plain call takes some ten milliseconds. */
    static final long FULL_RETRY_MILLIS = 200;

    /** Sends that did not arrive or were refused, after which a request is given up. */
    static final int MAX_SENDS = 6;

    private final TargetTable targets;
    private final Placement placement;
    private final String failureDomain;

    TargetPicker(TargetTable targets, Placement placement, String failureDomain) {
        this.targets = targets;
        this.placement = placement;
        this.failureDomain = failureDomain;
    }

    /** Returns the best target that the request has not tried, or the failure that the request ends with. */
    Either<Failure, Placement.Choice> pick(RelayRequest row, long nowMillis) {
        List<Target> candidates = targets.candidates(row.service, row.triedTargets, nowMillis);
        if (candidates.isEmpty()) {
            candidates = targets.lastResorts(row.service, row.triedTargets, nowMillis);
        }
        Optional<Placement.Choice> choice = row.promptShape == null
                ? placement.choose(candidates, failureDomain, nowMillis)
                : placement.choose(candidates, row.promptShape, row.route.objectiveMillis(), nowMillis);
        if (choice.isEmpty()) {
            return Either.left(givenUp(row, "no target of the service is left", nowMillis));
        }
        if (row.sends >= MAX_SENDS) {
            return Either.left(givenUp(row, "every target refused the request", nowMillis));
        }
        return Either.right(choice.get());
    }

    /** Returns the failure of a request that no target can be found for. */
    Failure givenUp(RelayRequest row, String reason, long nowMillis) {
        if (row.targetsThatMayHaveRun > 0) {
            return Failure.unknown(ErrorKind.TARGET_FAILED, "the target broke off, and " + reason);
        }
        OptionalLong waitMillis = targets.waitMillis(row.service, nowMillis);
        if (waitMillis.isPresent()) {
            return Failure.notRun(
                            ErrorKind.OVERLOADED,
                            "every target of the service asked for a pause, or has the requests that it takes")
                    .retryAfter(waitMillis.getAsLong());
        }
        boolean refused = row.sends > 0;
        return Failure.notRun(refused ? ErrorKind.OVERLOADED : ErrorKind.NO_TARGET, reason)
                .retryAfter(refused ? FULL_RETRY_MILLIS : NO_TARGET_RETRY_MILLIS);
    }
}
