package org.radishspan.relay;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.budget.TokenSource;
import org.radishspan.deployment.DeploymentConfiguration;
import org.radishspan.deployment.Route;
import org.radishspan.deployment.RouteKind;
import org.radishspan.deployment.Workspace;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.BufferLimit;
import org.radishspan.http.HttpTransport;
import org.radishspan.log.EventLog;
import org.radishspan.request.QuarantineTable;
import org.radishspan.routing.Placement;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetTable;

/**
 * Relays requests from callers to targets, and the answers back to the callers.
 *
 * <p>Safety rules: once the first byte of a request has been sent to a target, the request may have run there. A request that
 * may have run is sent again only if its route allows it, and its caller never gets an answer that says it did not run. That
 * includes the answer of a target whose status says so while the target does not report it.
 */
public final class RelaySystem {

    /**
     * The dependencies of the relay.
     *
     * @param transport sends HTTP requests to targets
     * @param protocol encodes requests to targets and decodes the heads of their answers
     * @param targets the known targets and their state
     * @param targetRules which targets a request may be sent to
     * @param streamVersions the software versions at which streams began
     * @param tokens reserves and bills tokens of prepaid budgets
     * @param configuration the configuration in force; empty until one has been loaded
     * @param liveRouters the number of live routers, including this one
     * @param quarantineTable the fingerprints of requests that crashed targets
     * @param targetListener receives target state that other routers need
     * @param random the source of random numbers for splits and placement
     * @param clockMillis a monotonic clock in milliseconds
     * @param log the structured log
     * @param metrics counters and histograms
     */
    public record Ports(
            HttpTransport transport,
            TargetProtocol protocol,
            TargetTable targets,
            TargetRules targetRules,
            StreamVersions streamVersions,
            TokenSource tokens,
            Supplier<Optional<DeploymentConfiguration>> configuration,
            IntSupplier liveRouters,
            QuarantineTable quarantineTable,
            TargetListener targetListener,
            UniformRandomProvider random,
            LongSupplier clockMillis,
            EventLog log,
            RelayMetrics metrics) {}

    /** Receives changes of target state that are to be announced to other routers. */
    @FunctionalInterface
    public interface TargetListener {
        /**
         * Called when a prompt is sent to a target.
         *
         * @param uncachedTokens the prompt tokens that the target has to read
         * @param sharedPartIds the ids of the parts that other prompts share
         */
        void promptSent(Target target, long uncachedTokens, List<String> sharedPartIds);

        /** Called when an answer of a target announced for the first time that the target is about to stop. */
        default void onTargetLeaving(Target target) {}

        /**
         * Called when a target's limit of requests per second has changed or ended.
         *
         * @param before the previous limit; empty if there was none
         */
        default void onRateLimitChanged(Target target, OptionalDouble before) {}
    }

    /** The deadline of a request whose caller sets none; the time-out of the route applies if it is shorter. */
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    /** The retry delay of requests that other routers can serve, because this one ends. */
    static final long OTHER_ROUTER_RETRY_MILLIS = 50;

    /**
     * Until the process ends, a request is sent only if this multiple of the mean time of such answers is left. Without the
     * margin, half of the last requests would be cut off.
     */
    private static final int STOP_MARGIN_FACTOR = 2;

    /** Requests with less time than this until their deadline are not sent to a target. */
    static final long MIN_REMAINING_MILLIS = 10;

    /** A target counts as silent when it makes no progress for this multiple of the latency objective. */
    private static final int SILENCE_OBJECTIVE_FACTOR = 2;

    /** Lower bound of the time until a target counts as silent, for routes with very short objectives. */
    private static final long MIN_SILENCE_MILLIS = 400;

    /**
     * The same lower bound for streams. It is longer because the first event waits until the prompt has been read, and later
     * events wait while the target reads other prompts.
     */
    private static final long MIN_STREAM_SILENCE_MILLIS = 1_000;

    /**
     * The minimum time between two checks for deadlines and silent targets. The checks run with the ticks of the router; the
     * required accuracy is half a second.
     */
    private static final long CHECK_INTERVAL_MILLIS = 10;

    /** The range of urgencies at targets, which process 0 first and 9 last. See {@link TargetProtocol.SendParameters}. */
    private static final int HIGHEST_URGENCY = 0;

    private static final int LOWEST_URGENCY = 9;

    /** A quarter of the heap of 96 MB that routers run with; collecting and joining an answer takes twice its bytes. */
    private static final long MAX_ANSWER_BYTES = 25_165_824;

    private final Ports ports;
    private final RetryBudget retryBudget;
    private final TargetPicker targetPicker;
    private final CrashDetector crashDetector;
    private final Admission admission;
    private final TokenMeter tokenMeter;
    private final Set<RelayRequest> requests = new LinkedHashSet<>();
    private final Attempt.ResultHandler resultHandler = new AttemptResultHandler();
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final BufferLimit answerBufferLimit = new BufferLimit(MAX_ANSWER_BYTES);
    private final SignalReader signalReader;
    private final Optional<AdmissionQueue> admissionQueue;
    private long checkedAtMillis;
    private int checkedCrashes;
    private long endsAtMillis = Long.MAX_VALUE;

    /** Creates the relay of a router in a failure domain; repeated sends are limited by {@code retryBound}. */
    public RelaySystem(Ports ports, String failureDomain, RetryBudget.Bound retryBound) {
        this(ports, failureDomain, retryBound, new Placement(ports.random()), false);
    }

    /**
     * Creates the relay of a router in a failure domain.
     *
     * @param retryBound limits repeated sends
     * @param placement chooses among the targets
     * @param admissionControl whether requests wait in this router for room at targets, and are refused early under overload
     */
    public RelaySystem(
            Ports ports,
            String failureDomain,
            RetryBudget.Bound retryBound,
            Placement placement,
            boolean admissionControl) {
        this.ports = ports;
        this.retryBudget = new RetryBudget(retryBound);
        this.targetPicker = new TargetPicker(
                ports.targets(), ports.targetRules(), ports.streamVersions(), placement, failureDomain);
        this.crashDetector = new CrashDetector(ports.quarantineTable(), ports.log(), ports.metrics());
        this.admission = new Admission(crashDetector, ports.random(), ports.metrics());
        this.tokenMeter = new TokenMeter(ports.tokens(), ports.log());
        this.signalReader = new SignalReader(ports, target -> reassignUnsent(target));
        this.admissionQueue = admissionControl
                ? Optional.of(
                        new AdmissionQueue(ports, targetPicker, tokenMeter, serviceTimes, new QueuedRequestHandler()))
                : Optional.empty();
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return requests.size();
    }

    /** Records that a target has terminated or was replaced by another incarnation. */
    public void onTargetEnded(Target target) {
        crashDetector.onTargetEnded(target, now());
    }

    private void onConnectionRefused(Target target) {
        ports.targets().onUnreachable(target, now());
        onTargetEnded(target);
    }

    /** Refuses all requests that arrive from now on; requests in progress continue. */
    public void refuseNew() {
        admission.refuseNew();
    }

    /** Refuses the requests that wait for room at targets, because the process ends. */
    public void refuseWaiting() {
        admissionQueue.ifPresent(AdmissionQueue::refuseAll);
    }

    /**
     * Announces when the process ends. Requests that are not expected to be answered by then are refused instead of being
     * sent to targets, as another router can serve them whole.
     */
    public void endBy(long atMillis) {
        endsAtMillis = atMillis;
    }

    /**
     * Answers all requests in progress because the process ends: as not run if they were not sent, otherwise as failed.
     * Streams that have begun are aborted.
     */
    public void endAll() {
        for (RelayRequest request : List.copyOf(requests)) {
            endAttempt(request);
            fail(
                    request,
                    request.targetsThatMayHaveRun == 0
                            ? stopping()
                            : Failure.unknown(
                                    ErrorKind.DEADLINE_EXCEEDED, "this router stops before the answer is complete"));
        }
    }

    private static Failure stopping() {
        return Failure.notRun(ErrorKind.DRAINING, "this router is stopping").retryAfter(OTHER_ROUTER_RETRY_MILLIS);
    }

    /** Refuses a request that no target has received if its answer is expected after the end of the process. */
    private boolean refuseIfTooLate(RelayRequest request) {
        if (endsAtMillis == Long.MAX_VALUE || request.targetsThatMayHaveRun > 0) {
            return false;
        }
        long answerMillis = serviceTimes.answerMillis(request.route);
        if (now() + STOP_MARGIN_FACTOR * answerMillis <= endsAtMillis) {
            return false;
        }
        fail(request, stopping());
        return true;
    }

    /** Records by how much every pass of the event loop is late at present. */
    public void onLoopDelay(long delayMillis) {
        if (admissionQueue.isPresent()) {
            admission.loopDelay().onMeasured(delayMillis);
        }
    }

    private long now() {
        return ports.clockMillis().getAsLong();
    }

    /**
     * Accepts a request that was read as soon as it arrived. The exchange gets exactly one answer, now or later, unless the
     * caller disconnects first.
     */
    public void accept(CallerRequest callerRequest, CallerExchange exchange) {
        accept(callerRequest, exchange, 0);
    }

    /**
     * Accepts a request. The exchange gets exactly one answer, now or later, unless the caller disconnects first.
     *
     * @param waitedMillis how long the request may have waited to be read. This time counts towards the deadline, as the
     *     caller may have disconnected meanwhile.
     */
    public void accept(CallerRequest callerRequest, CallerExchange exchange, long waitedMillis) {
        Either<Failure, RelayRequest.Terms> terms =
                admission.decide(callerRequest, ports.configuration().get(), now());
        if (terms.isLeft()) {
            refuse(callerRequest, exchange, terms.getLeft());
            return;
        }
        RelayRequest request = register(callerRequest, terms.get(), exchange, waitedMillis);
        if (request.remainingMillis(now()) < MIN_REMAINING_MILLIS) {
            expire(request);
            return;
        }
        if (request.route.kind() == RouteKind.STREAM && request.lastEventId.isPresent()) {
            continueStream(request);
            return;
        }
        reserveAndPlace(request);
    }

    private void reserveAndPlace(RelayRequest request) {
        tokenMeter.reserve(request, () -> place(request), failure -> fail(request, failure));
    }

    /** Sends a request that takes up a stream to the targets of the software version at which the stream began. */
    private void continueStream(RelayRequest request) {
        ports.streamVersions().find(request.service, request.callerRequest.streamId(), found -> {
            if (request.finished) {
                return;
            }
            if (found.isLeft()) {
                fail(request, found.getLeft());
                return;
            }
            request.softwareVersion = found.get();
            reserveAndPlace(request);
        });
    }

    private RelayRequest register(
            CallerRequest callerRequest, RelayRequest.Terms terms, CallerExchange exchange, long waitedMillis) {
        long nowMillis = now();
        long timeoutMillis = Math.min(
                terms.route().timeoutMillis(), callerRequest.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS));
        RelayRequest request =
                new RelayRequest(callerRequest, terms, exchange, nowMillis, nowMillis + timeoutMillis - waitedMillis);
        requests.add(request);
        retryBudget.onRequest(terms.service(), nowMillis);
        ports.metrics().onAccepted();
        exchange.onClosed(() -> onCallerDisconnected(request));
        exchange.onWritable(() -> {
            if (request.attempt != null) {
                request.attempt.setPaused(false);
            }
        });
        return request;
    }

    private void refuse(CallerRequest callerRequest, CallerExchange exchange, Failure failure) {
        ports.metrics().onFailed(failure.kind());
        ports.log()
                .trouble("request_refused", callerRequest.requestId())
                .with("kind", failure.kind().wireName())
                .with("reason", failure.message())
                .with("host", callerRequest.host())
                .with("path", callerRequest.path())
                .with(
                        "configuration",
                        ports.configuration()
                                .get()
                                .map(DeploymentConfiguration::version)
                                .orElse(0L))
                .write();
        exchange.fail(failure);
    }

    /**
     * Sends a request to the best target that it has not tried yet; fails it if there is none or its deadline is near. With
     * admission control, the request waits if no target has room.
     */
    private void place(RelayRequest request) {
        if (endIfNotSendable(request)) {
            return;
        }
        if (admissionQueue.isPresent()) {
            admissionQueue.get().place(request);
            return;
        }
        Either<Failure, Placement.Choice> choice = targetPicker.pick(request, now());
        if (choice.isLeft()) {
            fail(request, choice.getLeft());
            return;
        }
        send(request, choice.get());
    }

    /** Ends a request whose deadline is near or that crashes targets; returns whether it has ended. */
    private boolean endIfNotSendable(RelayRequest request) {
        if (request.remainingMillis(now()) < MIN_REMAINING_MILLIS) {
            expire(request);
            return true;
        }
        return refuseIfTooLate(request) || failIfQuarantined(request);
    }

    /** Fails a request that is refused because such requests crash targets; returns whether it is. */
    private boolean failIfQuarantined(RelayRequest request) {
        // A request of which events were relayed has not crashed its target before.
        Optional<Failure> refusal =
                request.relayedEvents > 0 ? Optional.empty() : crashDetector.refusal(request, now());
        refusal.ifPresent(failure -> {
            endAttempt(request);
            fail(
                    request,
                    request.targetsThatMayHaveRun == 0
                            ? failure
                            : Failure.unknown(ErrorKind.TARGET_FAILED, failure.message()));
        });
        return refusal.isPresent();
    }

    private void send(RelayRequest request, Placement.Choice choice) {
        long nowMillis = now();
        Target target = choice.target();
        request.sends++;
        Attempt attempt = new Attempt(
                request,
                choice,
                ports.targets().expectFirstEvent(choice, nowMillis),
                ports.protocol(),
                resultHandler,
                answerBufferLimit,
                ports.clockMillis());
        request.attempt = attempt;
        attempt.pendingPromptTokens = choice.uncachedTokens();
        ports.targets().onDispatched(target, nowMillis);
        ports.targets().holdMemory(target, attempt.memoryTokens, nowMillis);
        ports.targets().addPendingPrompt(target, attempt.pendingPromptTokens);
        if (request.promptShape != null) {
            target.cachedParts().onRead(request.promptShape, nowMillis);
            ports.targetListener().promptSent(target, choice.uncachedTokens(), request.promptShape.sharedPartIds());
        }
        ports.metrics().onSent(nowMillis - request.acceptedAtMillis);
        ports.log()
                .request("request_sent", request.id())
                .with("send", request.sends)
                .with("target", target.name())
                .with("service", request.service)
                .with("estimate_ms", (long) choice.estimateMillis())
                .with("uncached_tokens", choice.uncachedTokens())
                .with("target_load", target.expectedLoad())
                .with("remaining_ms", request.remainingMillis(nowMillis))
                .write();
        HttpTransport.Request httpRequest = ports.protocol()
                .request(
                        request.callerRequest,
                        new TargetProtocol.SendParameters(
                                target,
                                request.workspace.map(Workspace::name),
                                request.remainingMillis(nowMillis),
                                Math.max(HIGHEST_URGENCY, Math.min(LOWEST_URGENCY, request.urgency)),
                                request.lastEventId));
        attempt.start(ports.transport(), httpRequest);
    }

    /** Selects new targets for the requests that are assigned to a target but of which no byte has left this VM. */
    private void reassignUnsent(Target target) {
        reassignUnsent(assigned -> assigned == target);
    }

    /**
     * Selects new targets for the requests that are assigned to one of some targets but of which no byte has left this VM,
     * because new requests may not be sent there any more.
     */
    public void reassignUnsent(Predicate<Target> assignedTo) {
        for (RelayRequest request : List.copyOf(requests)) {
            Attempt attempt = request.attempt;
            if (attempt != null && assignedTo.test(attempt.target) && attempt.unsent()) {
                request.attempt = null;
                request.sends--;
                attempt.cancel();
                releaseTarget(attempt, true);
                place(request);
            }
        }
    }

    /** Removes an attempt from the load counted for its target; {@code answered} is false if the target failed. */
    private void releaseTarget(Attempt attempt, boolean answered) {
        attempt.pendingFirstEvent.end();
        ports.targets().onFinished(attempt.target, answered, now());
        ports.targets().releaseMemory(attempt.target, attempt.memoryTokens);
        clearPendingPrompt(attempt);
    }

    private void clearPendingPrompt(Attempt attempt) {
        ports.targets().removePendingPrompt(attempt.target, attempt.pendingPromptTokens);
        attempt.pendingPromptTokens = 0;
    }

    /** Sends a request that did not run to another target; fails it if the retry budget is exhausted. */
    private void resendNotRun(RelayRequest request, String detail) {
        request.attempt = null;
        if (request.reachedTarget
                && !retryBudget.tryTake(request.service, ports.liveRouters().getAsInt(), now())) {
            fail(
                    request,
                    targetPicker.noTargetFailure(request, "the retry budget is exhausted after: " + detail, now()));
            return;
        }
        ports.metrics().onRepeatedSend();
        place(request);
    }

    /** Sends a request that may have run again if its route, its deadline and the retry budget allow it; otherwise fails it. */
    private void resendPossiblyRun(RelayRequest request, String detail) {
        if (!tryResendPossiblyRun(request)) {
            fail(request, Failure.unknown(ErrorKind.TARGET_FAILED, detail));
        }
    }

    /**
     * Sends a request that may have run again if its route, its deadline and the retry budget allow it. Returns whether they
     * do.
     */
    private boolean tryResendPossiblyRun(RelayRequest request) {
        request.attempt = null;
        boolean allowed = request.route.repeatable()
                && request.targetsThatMayHaveRun < request.route.maxAttempts()
                && request.remainingMillis(now()) >= MIN_REMAINING_MILLIS;
        if (!allowed
                || !retryBudget.tryTake(request.service, ports.liveRouters().getAsInt(), now())) {
            return false;
        }
        if (request.relayedEvents > 0) {
            ports.metrics().onResumedStream();
        }
        ports.metrics().onRepeatedSend();
        place(request);
        return true;
    }

    /** Answers a request with a failure, or aborts its stream if the head was already relayed. */
    private void fail(RelayRequest request, Failure failure) {
        fail(request, failure, false);
    }

    /**
     * Answers a request with a failure, or aborts its stream if the head was already relayed.
     *
     * @param targetAnswered whether a target has answered the request completely, so that the tokens that it used are known
     */
    private void fail(RelayRequest request, Failure failure, boolean targetAnswered) {
        if (request.finished) {
            return;
        }
        ports.metrics().onFailed(failure.kind());
        ports.log()
                .trouble(request.headRelayed ? "stream_broken_off" : "request_failed", request.id())
                .with("kind", failure.kind().wireName())
                .with("reason", failure.message())
                .with("ran", failure.ran().wireName())
                .with("workspace", request.workspace.map(Workspace::name).orElse(""))
                .with("route", request.route.name())
                .with("service", request.service)
                .with("sends", request.sends)
                .with("events", request.relayedEvents)
                .with("elapsed_ms", now() - request.acceptedAtMillis)
                .with("retry_after_ms", failure.retryAfterMillis())
                .write();
        finish(request, targetAnswered);
        if (request.headRelayed) {
            ports.metrics().onStreamAborted();
            request.exchange.abort();
            return;
        }
        request.exchange.fail(failure);
    }

    /** Ends a request; {@code answered} says whether a target answered it completely, so that its tokens are known. */
    private void finish(RelayRequest request, boolean answered) {
        request.finished = true;
        requests.remove(request);
        admissionQueue.ifPresent(queue -> queue.onFinished(request));
        tokenMeter.settle(request, answered);
    }

    private void drainQueue() {
        admissionQueue.ifPresent(AdmissionQueue::drain);
    }

    private void onCallerDisconnected(RelayRequest request) {
        if (request.finished) {
            return;
        }
        ports.metrics().onCallerDisconnected();
        ports.log()
                .trouble("caller_gone", request.id())
                .with("sends", request.sends)
                .with("events", request.relayedEvents)
                .with("elapsed_ms", now() - request.acceptedAtMillis)
                .write();
        endAttempt(request);
        finish(request, false);
        drainQueue();
    }

    /** Cancels the current attempt, if any. The request counts as possibly run unless no byte of it was sent. */
    private void endAttempt(RelayRequest request) {
        Attempt attempt = request.attempt;
        request.attempt = null;
        if (attempt == null || attempt.ended()) {
            return;
        }
        request.targetsThatMayHaveRun += attempt.unsent() ? 0 : 1;
        attempt.cancel();
        releaseTarget(attempt, true);
    }

    /** Fails requests whose deadline has passed, and moves requests away from silent targets where that is possible. */
    public void tick() {
        long nowMillis = now();
        if (nowMillis - checkedAtMillis < CHECK_INTERVAL_MILLIS) {
            return;
        }
        checkedAtMillis = nowMillis;
        failQuarantined();
        for (RelayRequest request : List.copyOf(requests)) {
            if (nowMillis >= request.deadlineAtMillis) {
                expire(request);
                continue;
            }
            Attempt attempt = request.attempt;
            if (attempt == null && refuseIfTooLate(request)) {
                continue;
            }
            if (attempt != null && isSilent(attempt, nowMillis) && isAnotherTargetPossible(attempt, nowMillis)) {
                attempt.fail(
                        Attempt.FailureReason.SILENT,
                        "the target made no progress for " + (nowMillis - attempt.progressAtMillis) + " ms");
            }
        }
        admissionQueue.ifPresent(AdmissionQueue::tick);
    }

    /** Fails the requests in progress that have been quarantined meanwhile, before they crash the targets they were sent to. */
    private void failQuarantined() {
        if (crashDetector.changes() == checkedCrashes) {
            return;
        }
        checkedCrashes = crashDetector.changes();
        for (RelayRequest request : List.copyOf(requests)) {
            Attempt attempt = request.attempt;
            if (attempt != null && !attempt.answerBegan() && crashDetector.isCancelled(request)) {
                failIfQuarantined(request);
            }
        }
    }

    private static boolean isSilent(Attempt attempt, long nowMillis) {
        Route route = attempt.request.route;
        boolean stream = route.kind() == RouteKind.STREAM;
        long objectiveMillis =
                attempt.receivedEvents == 0 ? route.latencyObjectiveMillis() : route.eventGapObjectiveMillis();
        long limitMillis = Math.max(
                stream ? MIN_STREAM_SILENCE_MILLIS : MIN_SILENCE_MILLIS, SILENCE_OBJECTIVE_FACTOR * objectiveMillis);
        return nowMillis - attempt.progressAtMillis >= limitMillis;
    }

    /** Returns whether a request can move from a silent target to another one; if not, it keeps waiting for a slow answer. */
    private boolean isAnotherTargetPossible(Attempt attempt, long nowMillis) {
        RelayRequest request = attempt.request;
        return request.route.repeatable()
                && request.targetsThatMayHaveRun + 1 < request.route.maxAttempts()
                && request.sends < TargetPicker.MAX_SENDS
                && request.remainingMillis(nowMillis) >= MIN_REMAINING_MILLIS
                && retryBudget.allows(request.service, ports.liveRouters().getAsInt(), nowMillis)
                && hasAlternative(attempt, nowMillis);
    }

    private boolean hasAlternative(Attempt attempt, long nowMillis) {
        // A request that would have to wait for another target is answered sooner by its slow one.
        return admissionQueue.isPresent()
                ? targetPicker.hasAlternativeWithRoom(attempt.request, attempt.target, nowMillis)
                : targetPicker.hasAlternative(attempt.request, nowMillis);
    }

    /** Ends a request whose deadline has passed, or passes so soon that it is not sent any more. */
    private void expire(RelayRequest request) {
        endAttempt(request);
        if (request.targetsThatMayHaveRun > 0) {
            fail(
                    request,
                    Failure.unknown(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before the answer was complete"));
            return;
        }
        fail(
                request,
                Failure.notRun(ErrorKind.OVERLOADED, "the deadline passed before a target accepted the request")
                        .retryAfter(TargetPicker.OVERLOADED_RETRY_MILLIS));
    }

    /** Ends and sends requests on behalf of the queue. */
    private final class QueuedRequestHandler implements AdmissionQueue.Relay {
        @Override
        public boolean endIfNotSendable(RelayRequest request) {
            return RelaySystem.this.endIfNotSendable(request);
        }

        @Override
        public void send(RelayRequest request, Placement.Choice choice) {
            RelaySystem.this.send(request, choice);
        }

        @Override
        public void fail(RelayRequest request, Failure failure) {
            RelaySystem.this.fail(request, failure);
        }
    }

    /** Decides how a request continues after each event of its attempt. */
    private final class AttemptResultHandler implements Attempt.ResultHandler {

        @Override
        public void onHead(Attempt attempt, TargetProtocol.AnswerHead head) {
            head.load()
                    .ifPresent(load -> ports.targets()
                            .onLoad(attempt.target, load.running(), load.waiting(), load.pacePercent(), now()));
            signalReader.onHead(attempt, head);
            if (attempt.answerBegan()) {
                crashDetector.onAnswerBegan(attempt.request, now());
            }
            if (!head.stream()) {
                ports.metrics().onFirstByte(now() - attempt.request.acceptedAtMillis);
                recordAnswerStart(attempt);
            }
            drainQueue();
        }

        @Override
        public void onStreamHead(Attempt attempt, TargetProtocol.AnswerHead head) {
            // The head is relayed with the first event. Until then another target can still serve the whole request.
            if (!attempt.request.headRelayed) {
                attempt.request.streamHead = head;
            }
        }

        private void relayStreamHead(RelayRequest request) {
            TargetProtocol.AnswerHead head = request.streamHead;
            if (head != null && !request.headRelayed) {
                request.headRelayed = true;
                request.exchange.start(head.status(), head.relayedHeaders());
            }
        }

        @Override
        public boolean onEvent(Attempt attempt, EventStreamParser.Event event) {
            RelayRequest request = attempt.request;
            if (attempt.receivedEvents == 1) {
                clearPendingPrompt(attempt);
                attempt.pendingFirstEvent.end();
                crashDetector.onAnswerBegan(request, now());
                ports.targets().onFirstEvent(attempt.target, attempt.unreadTokens, now() - attempt.sentAtMillis, now());
                recordAnswerStart(attempt);
                recordEstimate(attempt);
                if (request.relayedEvents == 0) {
                    ports.metrics().onFirstByte(now() - request.acceptedAtMillis);
                }
            }
            boolean hasId = event.id() != EventStreamParser.NO_ID;
            if (hasId) {
                if (request.lastEventId.isPresent() && event.id() <= request.lastEventId.getAsLong()) {
                    return false;
                }
                request.lastEventId = OptionalLong.of(event.id());
            }
            relayStreamHead(request);
            if (request.softwareVersion == null) {
                request.softwareVersion = attempt.softwareVersion;
                if (request.route.resumable()) {
                    ports.streamVersions().onBegun(request.service, request.id(), attempt.softwareVersion);
                }
            }
            request.recordEvent(now());
            request.exchange.write(event.bytes());
            if (!request.exchange.writable()) {
                attempt.setPaused(true);
            }
            return hasId || request.lastEventId.isEmpty();
        }

        @Override
        public void onStreamEnd(Attempt attempt) {
            releaseTarget(attempt, true);
            recordAnswerTime(attempt);
            relayStreamHead(attempt.request);
            answered(attempt.request, 0);
            ports.streamVersions().onComplete(attempt.request.callerRequest.streamId());
            attempt.request.exchange.end();
            drainQueue();
        }

        private void recordAnswerStart(Attempt attempt) {
            serviceTimes.onAnswerStarted(attempt.request.route, now() - attempt.sentAtMillis);
        }

        private void recordAnswerTime(Attempt attempt) {
            long elapsedMillis = now() - attempt.sentAtMillis;
            ports.targets().onAnswer(attempt.target, elapsedMillis, now());
            serviceTimes.onAnswered(attempt.request.route, elapsedMillis);
        }

        @Override
        public void onAnswer(Attempt attempt, TargetProtocol.AnswerHead head, byte[] body) {
            handleAnswer(attempt, head, body);
            drainQueue();
        }

        private void handleAnswer(Attempt attempt, TargetProtocol.AnswerHead head, byte[] body) {
            RelayRequest request = attempt.request;
            // A target that requests a pause is overloaded but healthy, so it does not count as failed.
            releaseTarget(attempt, !head.targetFailed() || head.pauseMillis().isPresent());
            if (head.success()) {
                recordEstimate(attempt);
                recordAnswerTime(attempt);
            }
            if (request.headRelayed) {
                request.targetsThatMayHaveRun++;
                request.triedTargets.add(attempt.target.name());
                resendPossiblyRun(request, "the target answered the resumed stream with status " + head.status());
                return;
            }
            if (head.statusMeansNotRun()) {
                handleUnfoundedStatus(attempt, head);
                return;
            }
            boolean retry = head.targetFailed()
                    && request.route.kind() == RouteKind.IDEMPOTENT
                    && request.targetsThatMayHaveRun + 1 < request.route.maxAttempts()
                    && request.remainingMillis(now()) > request.route.latencyObjectiveMillis() / 2
                    && retryBudget.tryTake(request.service, ports.liveRouters().getAsInt(), now());
            if (retry) {
                logFailure(attempt, Attempt.FailureReason.TARGET_FAILED, "status " + head.status());
                request.targetsThatMayHaveRun++;
                request.triedTargets.add(attempt.target.name());
                request.attempt = null;
                ports.metrics().onRepeatedSend();
                place(request);
                return;
            }
            answered(request, head.status());
            request.exchange.respond(head.status(), head.relayedHeaders(), body);
        }

        /**
         * Handles an answer whose status means to callers that the request did not run, although the target does not report
         * that. It is not relayed, as the caller would repeat a request that may have run.
         */
        private void handleUnfoundedStatus(Attempt attempt, TargetProtocol.AnswerHead head) {
            RelayRequest request = attempt.request;
            String detail = "the target answered with status " + head.status()
                    + " without reporting that it did not run the request";
            logFailure(attempt, Attempt.FailureReason.TARGET_FAILED, detail);
            request.targetsThatMayHaveRun++;
            request.triedTargets.add(attempt.target.name());
            if (!tryResendPossiblyRun(request)) {
                fail(request, Failure.unknown(ErrorKind.TARGET_FAILED, detail), true);
            }
        }

        private void recordEstimate(Attempt attempt) {
            RelayRequest request = attempt.request;
            request.estimateMillis = Math.round(attempt.estimateMillis);
            request.estimatedPartMillis = now() - attempt.sentAtMillis;
            ports.metrics().onEstimated(attempt.estimateMillis, request.estimatedPartMillis);
        }

        private void answered(RelayRequest request, int status) {
            long elapsedMillis = now() - request.acceptedAtMillis;
            ports.metrics().onAnswered(elapsedMillis);
            ports.log()
                    .request("request_answered", request.id())
                    .with("status", status)
                    .with("events", request.relayedEvents)
                    .with("sends", request.sends)
                    .with(
                            "first_event_ms",
                            request.relayedEvents == 0 ? 0 : request.firstEventAtMillis - request.acceptedAtMillis)
                    .with("estimate_ms", request.estimateMillis)
                    .with("target_first_event_ms", request.estimatedPartMillis)
                    .with("longest_pause_ms", request.longestPauseMillis)
                    .with("elapsed_ms", elapsedMillis)
                    .write();
            if (request.relayedEvents > 0) {
                ports.metrics().onLongestPause(request.longestPauseMillis);
            }
            request.attempt = null;
            finish(request, true);
        }

        private void logFailure(Attempt attempt, Attempt.FailureReason failureReason, String detail) {
            ports.log()
                    .trouble("attempt_failed", attempt.request.id())
                    .with("trouble", failureReason.name().toLowerCase(Locale.ROOT))
                    .with("reason", detail)
                    .with("target", attempt.target.name())
                    .with("send", attempt.request.sends)
                    .with("events", attempt.receivedEvents)
                    .with("elapsed_ms", now() - attempt.sentAtMillis)
                    .with("parts", attempt.request.partIds())
                    .write();
        }

        @Override
        public void onFailed(Attempt attempt, Attempt.FailureReason failureReason, String detail) {
            handleFailure(attempt, failureReason, detail);
            drainQueue();
        }

        private void handleFailure(Attempt attempt, Attempt.FailureReason failureReason, String detail) {
            RelayRequest request = attempt.request;
            logFailure(attempt, failureReason, detail);
            request.triedTargets.add(attempt.target.name());
            boolean reachable = failureReason != Attempt.FailureReason.NOT_SENT
                    && failureReason != Attempt.FailureReason.OTHER_TARGET;
            releaseTarget(attempt, failureReason == Attempt.FailureReason.REFUSED);
            if (!reachable) {
                ports.targets().onUnreachable(attempt.target, now());
                crashDetector.onTargetEnded(attempt.target, now());
            }
            if (failureReason != Attempt.FailureReason.NOT_SENT) {
                request.reachedTarget = true;
            }
            if (failureReason == Attempt.FailureReason.SILENT) {
                // Excludes the target for the back-off time. Otherwise a target that stopped responding would receive
                // further
                // requests until its entry in the list of targets expires.
                ports.targets().onUnreachable(attempt.target, now());
                request.targetsThatMayHaveRun++;
                resendPossiblyRun(request, detail);
                return;
            }
            if (failureReason == Attempt.FailureReason.BROKEN) {
                if (!attempt.answerBegan() && request.relayedEvents == 0) {
                    crashDetector.onConnectionLost(attempt.target, request, now());
                    crashDetector.testConnection(
                            attempt.target, ports.transport(), () -> onConnectionRefused(attempt.target));
                }
                request.targetsThatMayHaveRun++;
                resendPossiblyRun(request, detail);
                return;
            }
            resendNotRun(request, detail);
        }
    }
}
