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
 * Sends requests to targets, relays the responses to the callers and decides whether a failed attempt is repeated.
 *
 * <p>As long as nothing of a request has been sent, any other target may be tried. Once bytes have been sent, a request
 * that is not repeatable is sent again only if the target reported that it executed nothing. A repeatable request is
 * sent again unless part of the response has already been relayed to a streaming caller. A chat stream that breaks off
 * after its first event is first resumed at the same target.
 */
final class DispatchSystem {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Response header with which a target reports that it did not execute any part of the request. */
    static final String NOT_RUN_HEADER = "x-not-run";

    private static final String REQUEST_ID_HEADER = "x-request-id";

    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_RESUMES = 3;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final RequestTable table;
    private final RequestCounters counters;
    private final RequestSystem.Ports ports;
    private final RequestSystem.Limits limits;
    private final QuarantineTable quarantineTable;
    private final TargetTable targets;
    private final Finisher finisher;
    private long nowMillis;

    DispatchSystem(
            RequestTable table,
            RequestCounters counters,
            RequestSystem.Ports ports,
            RequestSystem.Limits limits,
            QuarantineTable quarantineTable,
            Finisher finisher) {
        this.table = table;
        this.counters = counters;
        this.ports = ports;
        this.limits = limits;
        this.quarantineTable = quarantineTable;
        this.targets = ports.targets();
        this.finisher = finisher;
    }

    /**
     * Chooses a target and sends the request to it.
     *
     * <p>The request fails if it is quarantined or if no target is available for it. A request with a strike remains in
     * this phase until a target is available that runs no other request with a strike.
     */
    void dispatch(Request request, long tickMillis) {
        nowMillis = tickMillis;
        Failure.Ran ran = request.dispatched ? Failure.Ran.UNKNOWN : Failure.Ran.NO;
        Optional<Failure> refusal = quarantineTable.refusal(request.spec.fingerprint(), ran, tickMillis);
        if (refusal.isPresent()) {
            finisher.fail(request, refusal.get());
            return;
        }
        List<Target> candidates =
                targets.candidates(request.spec.modelOrService(), request.excludedTargets, tickMillis);
        request.suspect = quarantineTable.isSuspect(request.spec.fingerprint());
        if (request.suspect && !candidates.isEmpty()) {
            candidates = TargetTable.withoutSuspects(candidates);
            if (candidates.isEmpty()) {
                // Every candidate runs another suspect. RequestSystem.sweep queues this request again.
                return;
            }
        }
        Optional<Target> chosen = ports.chooser().choose(candidates, limits.failureDomain());
        if (chosen.isEmpty()) {
            finisher.fail(request, noTargetFailure(request));
            return;
        }
        request.attempts++;
        if (request.attempts > 1) {
            counters.retried++;
        }
        request.response = newResponse(request);
        send(request, chosen.get(), "POST", request.spec.path(), request.spec.body());
    }

    private static Failure noTargetFailure(Request request) {
        Failure failure = request.dispatched
                ? Failure.unknown(
                        ErrorKind.TARGET_FAILED, "all targets tried for " + request.spec.modelOrService() + " failed")
                : Failure.notRun(ErrorKind.NO_TARGET, "no live target available for " + request.spec.modelOrService());
        return failure.retryAfter(RETRY_AFTER_MILLIS);
    }

    private TargetResponse newResponse(Request request) {
        if (request.spec.kind() == CallSpec.Kind.SERVICE) {
            return new TargetResponse.ServiceResponse(request.spec.worstCaseTokens());
        }
        return new ChatResponse(request.requestId, request.spec.modelOrService(), bytes -> relay(request, bytes));
    }

    /** Counts an event and, for a streaming caller, relays it; pauses the target while the caller cannot take more. */
    private void relay(Request request, byte[] bytes) {
        request.relayedEvents++;
        if (!request.spec.stream() || request.callerDisconnected) {
            return;
        }
        request.callerResponse.startStream(ServerSentEvents.CONTENT_TYPE, Map.of("x-request-id", request.requestId));
        request.callerResponse.write(bytes);
        HttpTransport.Call call = request.call;
        if (call != null && !request.callerResponse.writable()) {
            call.setPaused(true);
            request.callerResponse.onWritable(() -> call.setPaused(false));
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
        headers.put(REQUEST_ID_HEADER, request.requestId);
        headers.put("x-priority", request.spec.urgent() ? "urgent" : "batch");
        if (request.spec.idempotencyKey() != null) {
            headers.put("idempotency-key", request.spec.idempotencyKey());
        }
        AttemptListener listener = new AttemptListener(request, target, request.attempts, request.resumes);
        request.call = ports.transport()
                .send(
                        new HttpTransport.Request(
                                target.host(),
                                target.port(),
                                method,
                                path,
                                List.copyOf(headers.entrySet()),
                                body,
                                limits.progressTimeoutMillis(),
                                listener::matches),
                        listener);
    }

    /** Cancels the attempt in progress at the target; does nothing if there is none. */
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
     * Handles an attempt that ended without a complete response: resumes the stream, tries another target or fails the
     * request.
     *
     * @param sent whether the target may have received the request
     * @param refused whether the target reported that it executed nothing
     * @param connectionLost whether the connection was lost, as happens when a target crashes
     */
    private void onAttemptFailed(
            Request request, String message, boolean sent, boolean refused, boolean connectionLost) {
        request.dispatched |= sent && !refused;
        Target failedTarget = request.target;
        request.call = null;
        request.target = null;
        if (failedTarget != null) {
            targets.onFinished(failedTarget, refused, nowMillis);
        }
        if (failedTarget != null) {
            updateStrikes(request, failedTarget, connectionLost);
        }
        if (canResume(request, failedTarget, sent, refused)) {
            resume(request, failedTarget);
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
        if (failedTarget != null) {
            request.excludedTargets.add(failedTarget.name());
        }
        request.relayedEvents = 0;
        table.moveTo(request, Request.Phase.DISPATCH);
    }

    /** Gives the request a strike if the connection was lost and no other suspect is the likelier cause. */
    private void updateStrikes(Request request, Target failedTarget, boolean connectionLost) {
        boolean attributable = request.suspect || !targets.suspectInvolved(failedTarget, nowMillis);
        if (request.suspect) {
            targets.removeSuspect(failedTarget, connectionLost, nowMillis);
        }
        if (connectionLost && attributable) {
            quarantineTable.strike(request.spec.fingerprint(), failedTarget.name(), nowMillis);
        }
    }

    private static boolean canResume(Request request, @Nullable Target failedTarget, boolean sent, boolean refused) {
        return failedTarget != null
                && sent
                && !refused
                && request.relayedEvents > 0
                && request.resumes < MAX_RESUMES
                && request.response instanceof ChatResponse;
    }

    private void resume(Request request, @Nullable Target target) {
        if (target == null || !(request.response instanceof ChatResponse response)) {
            return;
        }
        request.resumes++;
        counters.resumed++;
        LOGGER.atInfo().log(
                "request %s: resuming the stream at target %s from event %d",
                request.requestId, target.name(), response.nextIndex());
        response.discardPartialEvent();
        String path = "/v1/requests/" + request.requestId + "/stream?from=" + response.nextIndex();
        send(request, target, "GET", path, new byte[0]);
    }

    /** Handles the response to one attempt. Anything received after the attempt has ended is dropped and counted. */
    private final class AttemptListener implements HttpTransport.Listener {
        private final Request request;
        private final Target target;
        private final int attempt;
        private final int resume;
        private boolean refused;
        private boolean requestIdMismatch;
        private boolean connectionReused;

        AttemptListener(Request request, Target target, int attempt, int resume) {
            this.request = request;
            this.target = target;
            this.attempt = attempt;
            this.resume = resume;
        }

        /**
         * Returns whether a response may belong to this request. A response to an earlier request on the connection is
         * skipped.
         */
        private boolean matches(HttpTransport.Headers headers, boolean reusedConnection) {
            connectionReused = reusedConnection;
            String responseId = headers.get(REQUEST_ID_HEADER);
            return responseId == null || responseId.equals(request.requestId);
        }

        /**
         * Returns whether a response states that the target did not run this request. On a connection that has carried other
         * requests, a refusal without a request id may be a repetition of an earlier one.
         */
        private boolean isRefusal(HttpTransport.Headers headers) {
            String responseId = headers.get(REQUEST_ID_HEADER);
            boolean belongsHere = responseId == null ? !connectionReused : responseId.equals(request.requestId);
            return belongsHere && "true".equals(headers.get(NOT_RUN_HEADER));
        }

        /** Returns whether the attempt is no longer the current one, and if so counts a dropped frame. */
        private boolean dropIfStale() {
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
            TargetResponse response = request.response;
            if (dropIfStale() || response == null) {
                return;
            }
            String responseId = headers.get(REQUEST_ID_HEADER);
            requestIdMismatch = responseId != null && !responseId.equals(request.requestId);
            refused = isRefusal(headers);
            String contentType = headers.get("content-type");
            boolean usable = response.onHead(status, contentType == null ? "" : contentType);
            if (requestIdMismatch || refused || !usable) {
                abortAttempt(
                        requestIdMismatch
                                ? "the target sent the response to another request"
                                : "the target responded with status " + status);
            }
        }

        private void abortAttempt(String message) {
            HttpTransport.Call call = request.call;
            if (call != null) {
                call.cancel();
            }
            if (requestIdMismatch) {
                counters.droppedFrames++;
            }
            onAttemptFailed(request, message, true, refused, false);
        }

        @Override
        public void onBody(byte[] bytes) {
            TargetResponse response = request.response;
            if (dropIfStale() || response == null) {
                return;
            }
            TargetResponse.Verdict verdict = response.onBody(bytes);
            if (verdict == TargetResponse.Verdict.DROPPED) {
                counters.droppedFrames++;
            }
            if (verdict == TargetResponse.Verdict.MALFORMED) {
                abortAttempt("the target sent a malformed response");
            }
        }

        @Override
        public void onEnd() {
            TargetResponse response = request.response;
            if (dropIfStale() || response == null) {
                return;
            }
            if (!response.isComplete()) {
                onAttemptFailed(request, "the target's response ended before it was complete", true, false, true);
                return;
            }
            request.dispatched = true;
            request.call = null;
            request.target = null;
            if (request.suspect) {
                targets.removeSuspect(target, false, nowMillis);
            }
            quarantineTable.clear(request.spec.fingerprint());
            targets.onFinished(target, true, nowMillis);
            table.moveTo(request, Request.Phase.BILL);
        }

        @Override
        public void onFailure(String message, boolean sent) {
            if (dropIfStale()) {
                return;
            }
            onAttemptFailed(request, message, sent, false, sent);
        }
    }
}
