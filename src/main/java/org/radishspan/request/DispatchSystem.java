package org.radishspan.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetTable;

/**
 * Sends requests to targets and relays their answers.
 *
 * <p>Until the first byte is sent, any other target may be tried. After it, a request that may not be repeated is sent
 * again only if the target itself refused it; one that may be repeated only if nothing of the answer was relayed.
 */
final class DispatchSystem {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** The header by which a target says that it executed nothing. */
    static final String NOT_RUN_HEADER = "x-not-run";

    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_RESUMES = 3;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final RequestTable table;
    private final RequestCounters counters;
    private final RequestSystem.Ports ports;
    private final RequestSystem.Limits limits;
    private final StrikeTable strikes;
    private final TargetTable targets;
    private final Finisher finisher;
    private long nowMillis;

    DispatchSystem(
            RequestTable table,
            RequestCounters counters,
            RequestSystem.Ports ports,
            RequestSystem.Limits limits,
            StrikeTable strikes,
            Finisher finisher) {
        this.table = table;
        this.counters = counters;
        this.ports = ports;
        this.limits = limits;
        this.strikes = strikes;
        this.targets = ports.targets();
        this.finisher = finisher;
    }

    void dispatch(Request request, long tickMillis) {
        nowMillis = tickMillis;
        Failure.Ran ran = request.dispatched ? Failure.Ran.UNKNOWN : Failure.Ran.NO;
        Optional<Failure> refusal = strikes.refusal(request.spec.fingerprint(), ran, tickMillis);
        if (refusal.isPresent()) {
            finisher.fail(request, refusal.get());
            return;
        }
        List<Target> candidates = targets.candidates(request.spec.serves(), request.excludedTargets, tickMillis);
        request.suspect = strikes.suspect(request.spec.fingerprint());
        if (request.suspect && !candidates.isEmpty()) {
            candidates = TargetTable.withoutSuspects(candidates);
            if (candidates.isEmpty()) {
                // The sweep over all requests brings it back here.
                return;
            }
        }
        Optional<Target> chosen = ports.chooser().choose(candidates, limits.failureDomain());
        if (chosen.isEmpty()) {
            finisher.fail(request, noTarget(request));
            return;
        }
        request.attempts++;
        if (request.attempts > 1) {
            counters.retried++;
        }
        request.answer = newAnswer(request);
        send(request, chosen.get(), "POST", request.spec.path(), request.spec.body());
    }

    private static Failure noTarget(Request request) {
        Failure failure = request.dispatched
                ? Failure.unknown(ErrorKind.TARGET_FAILED, "every target of " + request.spec.serves() + " failed")
                : Failure.notRun(ErrorKind.NO_TARGET, "no live target serves " + request.spec.serves());
        return failure.retryAfter(RETRY_AFTER_MILLIS);
    }

    private TargetAnswer newAnswer(Request request) {
        if (request.spec.kind() == CallSpec.Kind.SERVICE) {
            return new TargetAnswer.ServiceAnswer(request.spec.worstCaseTokens());
        }
        return new ChatAnswer(request.requestId, request.spec.serves(), bytes -> relay(request, bytes));
    }

    private void relay(Request request, byte[] bytes) {
        request.relayedEvents++;
        if (!request.spec.stream() || request.callerGone) {
            return;
        }
        request.reply.startStream(ServerSentEvents.CONTENT_TYPE, Map.of("x-request-id", request.requestId));
        request.reply.write(bytes);
        HttpTransport.Call call = request.call;
        if (call != null && !request.reply.writable()) {
            call.setPaused(true);
            request.reply.onWritable(() -> call.setPaused(false));
        }
    }

    private void send(Request request, Target target, String method, String path, byte[] body) {
        request.phase = Request.Phase.RUNNING;
        request.target = target;
        targets.onDispatched(target, nowMillis);
        if (request.suspect) {
            targets.addSuspect(target);
        }
        Map<String, String> headers = new HashMap<>();
        headers.put("content-type", "application/json");
        headers.put("x-request-id", request.requestId);
        headers.put("x-priority", request.spec.urgent() ? "urgent" : "batch");
        if (request.spec.idempotencyKey() != null) {
            headers.put("idempotency-key", request.spec.idempotencyKey());
        }
        request.call = ports.transport()
                .send(
                        new HttpTransport.Request(
                                target.host(),
                                target.port(),
                                method,
                                path,
                                headers,
                                body,
                                limits.progressTimeoutMillis()),
                        new AttemptListener(request, target, request.attempts, request.resumes));
    }

    /** Cancels the target's work on a request. */
    void cancel(Request request) {
        HttpTransport.Call call = request.call;
        Target target = request.target;
        if (call == null || target == null) {
            return;
        }
        call.cancel();
        if (request.suspect) {
            targets.removeSuspect(target, false, nowMillis);
        }
        request.call = null;
        request.target = null;
        targets.onFinished(target, true, nowMillis);
    }

    /**
     * Takes the end of an attempt without an answer.
     *
     * @param sent whether the target may have seen the request
     * @param refused whether the target said that it executed nothing
     * @param lost whether the connection ended, as it does when a target crashes
     */
    private void onBroken(Request request, String message, boolean sent, boolean refused, boolean lost) {
        request.dispatched |= sent && !refused;
        Target failed = request.target;
        request.call = null;
        request.target = null;
        if (failed != null) {
            targets.onFinished(failed, refused, nowMillis);
        }
        if (failed != null) {
            noteSuspect(request, failed, lost);
        }
        if (resumable(request, failed, sent, refused)) {
            resume(request, failed);
            return;
        }
        if (request.relayedEvents > 0 && request.spec.stream()) {
            finisher.fail(request, Failure.ran(ErrorKind.TARGET_FAILED, message));
            return;
        }
        boolean mayRepeat = request.spec.repeatable() || !sent || refused;
        if (!mayRepeat) {
            finisher.fail(request, Failure.unknown(ErrorKind.OUTCOME_UNKNOWN, message));
            return;
        }
        if (request.attempts >= MAX_ATTEMPTS) {
            Failure.Ran ran = request.dispatched ? Failure.Ran.UNKNOWN : Failure.Ran.NO;
            finisher.fail(request, new Failure(ErrorKind.TARGET_FAILED, message, ran, RETRY_AFTER_MILLIS));
            return;
        }
        if (failed != null) {
            request.excludedTargets.add(failed.name());
        }
        request.relayedEvents = 0;
        table.moveTo(request, Request.Phase.DISPATCH);
    }

    private void noteSuspect(Request request, Target failed, boolean lost) {
        boolean toBlame = request.suspect || !targets.suspectInvolved(failed, nowMillis);
        if (request.suspect) {
            targets.removeSuspect(failed, lost, nowMillis);
        }
        if (lost && toBlame) {
            strikes.strike(request.spec.fingerprint(), failed.name(), nowMillis);
        }
    }

    private static boolean resumable(Request request, @Nullable Target failed, boolean sent, boolean refused) {
        return failed != null
                && sent
                && !refused
                && request.relayedEvents > 0
                && request.resumes < MAX_RESUMES
                && request.answer instanceof ChatAnswer;
    }

    private void resume(Request request, @Nullable Target target) {
        if (target == null || !(request.answer instanceof ChatAnswer answer)) {
            return;
        }
        request.resumes++;
        counters.resumed++;
        LOGGER.atInfo().log(
                "request %s is resumed at %s from event %d", request.requestId, target.name(), answer.nextIndex());
        answer.restartEvents();
        String path = "/v1/requests/" + request.requestId + "/stream?from=" + answer.nextIndex();
        send(request, target, "GET", path, new byte[0]);
    }

    /** Hears what one connection says of one attempt; whatever comes after the attempt has ended is dropped. */
    private final class AttemptListener implements HttpTransport.Listener {
        private final Request request;
        private final Target target;
        private final int attempt;
        private final int resume;
        private boolean refused;
        private boolean crossed;

        AttemptListener(Request request, Target target, int attempt, int resume) {
            this.request = request;
            this.target = target;
            this.attempt = attempt;
            this.resume = resume;
        }

        private boolean late() {
            boolean current = request.phase == Request.Phase.RUNNING
                    && request.attempts == attempt
                    && request.resumes == resume
                    && request.target == target;
            if (!current) {
                counters.droppedFrames++;
            }
            return !current;
        }

        @Override
        public void onHead(int status, HttpTransport.Headers headers) {
            TargetAnswer answer = request.answer;
            if (late() || answer == null) {
                return;
            }
            String answered = headers.get("x-request-id");
            crossed = answered != null && !answered.equals(request.requestId);
            refused = "true".equals(headers.get(NOT_RUN_HEADER));
            String contentType = headers.get("content-type");
            boolean usable = answer.onHead(status, contentType == null ? "" : contentType);
            if (crossed || refused || !usable) {
                breakOff(crossed ? "an answer to another request came" : "the target answered with status " + status);
            }
        }

        private void breakOff(String message) {
            HttpTransport.Call call = request.call;
            if (call != null) {
                call.cancel();
            }
            if (crossed) {
                counters.droppedFrames++;
            }
            onBroken(request, message, true, refused, false);
        }

        @Override
        public void onBody(byte[] bytes) {
            TargetAnswer answer = request.answer;
            if (late() || answer == null) {
                return;
            }
            TargetAnswer.Verdict verdict = answer.onBody(bytes);
            if (verdict == TargetAnswer.Verdict.DROPPED) {
                counters.droppedFrames++;
            }
            if (verdict == TargetAnswer.Verdict.BROKEN) {
                breakOff("the target's answer is broken");
            }
        }

        @Override
        public void onEnd() {
            TargetAnswer answer = request.answer;
            if (late() || answer == null) {
                return;
            }
            if (!answer.whole()) {
                onBroken(request, "the target's answer ended early", true, false, true);
                return;
            }
            request.dispatched = true;
            request.call = null;
            request.target = null;
            if (request.suspect) {
                targets.removeSuspect(target, false, nowMillis);
            }
            strikes.clear(request.spec.fingerprint());
            targets.onFinished(target, true, nowMillis);
            table.moveTo(request, Request.Phase.BILL);
        }

        @Override
        public void onFailure(String message, boolean sent) {
            if (late()) {
                return;
            }
            onBroken(request, message, sent, false, sent);
        }
    }
}
