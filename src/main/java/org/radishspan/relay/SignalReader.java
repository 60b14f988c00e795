package org.radishspan.relay;

import java.util.OptionalDouble;
import java.util.function.Consumer;

import org.radishspan.routing.Target;

/**
 * Applies the signals that targets send to routers in the heads of their answers.
 *
 * <p>A target can signal that it is about to stop, that it needs a pause, or how many requests per second it accepts.
 */
final class SignalReader {
    private final RelaySystem.Ports ports;
    private final Consumer<Target> reassignUnsent;

    /**
     * Creates a reader.
     *
     * @param reassignUnsent selects other targets for the requests assigned to a target of which no byte has left this VM
     */
    SignalReader(RelaySystem.Ports ports, Consumer<Target> reassignUnsent) {
        this.ports = ports;
        this.reassignUnsent = reassignUnsent;
    }

    private long now() {
        return ports.clockMillis().getAsLong();
    }

    /** Applies the signals in the head of an answer, and reassigns unsent requests if the target should get none for now. */
    void onHead(Attempt attempt, TargetProtocol.AnswerHead head) {
        Target target = attempt.target;
        boolean stopping = applyStopNotice(target, head);
        boolean paused = applyPause(target, head);
        boolean newlyLimited = applyRateLimit(attempt, head);
        if (stopping || paused || newlyLimited) {
            reassignUnsent.accept(target);
        }
    }

    private boolean applyStopNotice(Target target, TargetProtocol.AnswerHead head) {
        if (head.leaving() && ports.targets().onLeavingReported(target)) {
            ports.targetListener().onTargetLeaving(target);
            ports.log()
                    .belief("target_said_leaving")
                    .with("target", target.name())
                    .with("started_unix_ms", target.startedAtUnixMillis())
                    .write();
        }
        return head.leaving();
    }

    private boolean applyPause(Target target, TargetProtocol.AnswerHead head) {
        if (head.pauseMillis().isEmpty()) {
            return false;
        }
        long pauseMillis = head.pauseMillis().getAsLong();
        ports.targets().onPauseRequested(target, pauseMillis, now());
        ports.log()
                .belief("target_asked_for_pause")
                .with("target", target.name())
                .with("pause_ms", pauseMillis)
                .write();
        return true;
    }

    /** Applies the announced rate limit or, if an answer announces none, its end; returns whether a limit is new. */
    private boolean applyRateLimit(Attempt attempt, TargetProtocol.AnswerHead head) {
        OptionalDouble announced = head.requestsPerSecond();
        // An answer that is unsigned or comes from another target is no evidence that a limit announced earlier has
        // ended.
        boolean fromTarget = head.signed() && !head.otherTarget();
        if (announced.isEmpty() && !fromTarget) {
            return false;
        }
        Target target = attempt.target;
        OptionalDouble previous = target.requestsPerSecond();
        if (!ports.targets().onRateLimitReported(target, announced, attempt.sentAtMillis, now())) {
            return false;
        }
        ports.metrics().onRateLimitChanged();
        ports.targetListener().onRateLimitChanged(target, previous);
        return previous.isEmpty();
    }
}
