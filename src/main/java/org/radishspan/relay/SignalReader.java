package org.radishspan.relay;

import java.util.OptionalDouble;
import java.util.function.Consumer;

import org.radishspan.routing.Target;

/** Takes from the heads of answers what targets ask of routers: no new work, a pause, fewer requests a second. */
final class SignalReader {
    private final RelaySystem.Ports ports;
    private final Consumer<Target> moveUnsent;

    /**
     * Creates a reader.
     *
     * @param moveUnsent sends requests elsewhere that were placed at a target and have not left this VM
     */
    SignalReader(RelaySystem.Ports ports, Consumer<Target> moveUnsent) {
        this.ports = ports;
        this.moveUnsent = moveUnsent;
    }

    private long now() {
        return ports.clockMillis().getAsLong();
    }

    void onHead(Attempt attempt, TargetProtocol.AnswerHead head) {
        Target target = attempt.target;
        boolean leaving = noteLeaving(target, head);
        boolean paused = notePause(target, head);
        boolean limited = noteRateLimit(attempt, head);
        if (leaving || paused || limited) {
            moveUnsent.accept(target);
        }
    }

    private boolean noteLeaving(Target target, TargetProtocol.AnswerHead head) {
        if (head.leaving() && ports.targets().onLeavingSaid(target)) {
            ports.targetNews().leaving(target);
            ports.log()
                    .belief("target_said_leaving")
                    .with("target", target.name())
                    .with("started_unix_ms", target.startedAtUnixMillis())
                    .write();
        }
        return head.leaving();
    }

    private boolean notePause(Target target, TargetProtocol.AnswerHead head) {
        if (head.pauseMillis().isEmpty()) {
            return false;
        }
        long pauseMillis = head.pauseMillis().getAsLong();
        ports.targets().onPauseAsked(target, pauseMillis, now());
        ports.log()
                .belief("target_asked_for_pause")
                .with("target", target.name())
                .with("pause_ms", pauseMillis)
                .write();
        return true;
    }

    /** Notes a limit, or its end; returns whether there was none before. */
    private boolean noteRateLimit(Attempt attempt, TargetProtocol.AnswerHead head) {
        OptionalDouble named = head.requestsPerSecond();
        // What another target, or nobody, has signed says nothing of a limit that this one had named.
        boolean itsOwn = head.signed() && !head.otherTarget();
        if (named.isEmpty() && !itsOwn) {
            return false;
        }
        Target target = attempt.target;
        OptionalDouble before = target.requestsPerSecond();
        if (!ports.targets().onRateLimitSaid(target, named, attempt.sentAtMillis, now())) {
            return false;
        }
        ports.metrics().onRateLimitChanged();
        ports.targetNews().rateLimited(target, before);
        return before.isEmpty();
    }
}
