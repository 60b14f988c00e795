package org.radishspan.relay;

import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

import org.radishspan.deployment.Workspace;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.routing.Placement;
import org.radishspan.routing.TargetTable;

/**
 * Holds the requests of a {@link RelaySystem} for which no target has room, and sends or refuses them as {@link RequestQueue}
 * decides. Used only with feature {@code admissionControl}.
 */
final class AdmissionQueue {

    /** The operations of the relay that the queue uses. */
    interface Relay {
        /** Ends a request that must not be sent any more; returns whether it has ended. */
        boolean endIfNotSendable(RelayRequest request);

        /** Sends a request to a target. */
        void send(RelayRequest request, Placement.Choice choice);

        /** Answers a request with a failure. */
        void fail(RelayRequest request, Failure failure);
    }

    /**
     * If this router has not ticked for this time, the connections that callers have closed meanwhile may not have been read
     * yet. Waiting requests are then sent only after the next tick, so that none is sent for a caller that has left. Ticks are
     * at most 100 ms apart.
     */
    private static final long STALL_MILLIS = 250;

    /** Minimum time between two checks for requests that can no longer meet their deadlines, the shortest of which is 1.5 s. */
    private static final long HOPELESS_CHECK_MILLIS = 100;

    /** Interval between two log lines about the room for the waiting requests of a service. */
    private static final long ROOM_LOG_MILLIS = 1_000;

    /** What a request without a prompt counts in fair queueing and in the drain rate: as much as a short question. */
    private static final long PLAIN_CALL_TOKENS = FairShares.QUANTUM_TOKENS;

    /** Memory of a request in addition to its body: headers, connection state and objects. */
    private static final long REQUEST_OVERHEAD_BYTES = 4_096;

    /** The priority of a stream that is resumed. It goes first, because its caller has received the beginning already. */
    private static final int RESUMED_STREAM_PRIORITY = -1;

    /** Requests of equal service, route and workspace may be sent to the same targets. */
    private record RoomKey(String service, String route, Optional<String> workspace) {}

    private final RelaySystem.Ports ports;
    private final TargetPicker targetPicker;
    private final WaitingTokens waitingTokens;
    private final Relay relay;
    private final RequestQueue<RelayRequest> queue = new RequestQueue<>(RequestQueue.Bounds.DEFAULT);
    private final ServiceTimes serviceTimes;
    private final Map<RelayRequest, QueuedRequest<RelayRequest>> entries = new IdentityHashMap<>();
    private long tickedAtMillis;
    private long checkedAtMillis;
    private long roomLoggedAtMillis;
    private boolean stalled;
    private boolean draining;

    AdmissionQueue(
            RelaySystem.Ports ports,
            TargetPicker targetPicker,
            TokenMeter tokenMeter,
            ServiceTimes serviceTimes,
            Relay relay) {
        this.ports = ports;
        this.targetPicker = targetPicker;
        this.serviceTimes = serviceTimes;
        this.waitingTokens = new WaitingTokens(tokenMeter, ports.liveRouters());
        this.relay = relay;
        this.tickedAtMillis = ports.clockMillis().getAsLong();
        ports.metrics().observeQueue(queue, RequestQueue::size, RequestQueue::bytes);
    }

    private long now() {
        return ports.clockMillis().getAsLong();
    }

    /** Sends a request if a target has room and no other request goes first; otherwise queues or refuses it. */
    void place(RelayRequest request) {
        long nowMillis = now();
        QueuedRequest<RelayRequest> entry = describe(request, nowMillis);
        if (failIfUnservable(entry, nowMillis)) {
            return;
        }
        boolean othersWait = queue.hasWaiting(request.service);
        entries.put(request, entry);
        queue.add(entry, nowMillis).forEach(refusal -> refuse(refusal, nowMillis));
        if (!othersWait || !onHold(nowMillis)) {
            drain(request.service);
        }
        // A drain in progress, from which this request was placed, tries to send it afterwards.
        if (draining || !queue.contains(entry)) {
            return;
        }
        if (expectedWaitMillis(entry, nowMillis) > entry.slackMillis(nowMillis)) {
            refuse(new RequestQueue.Refusal<>(entry, RequestQueue.Cause.EXPECTED_WAIT), nowMillis);
            return;
        }
        onWaiting(entry, nowMillis);
    }

    /** Fails a request that no target can serve even later; returns whether it does. */
    private boolean failIfUnservable(QueuedRequest<RelayRequest> entry, long nowMillis) {
        Optional<Failure> failure = targetPicker.failureIfUnservable(entry.request(), nowMillis);
        failure.ifPresent(cause -> relay.fail(entry.request(), withMeasuredRetry(entry, cause, nowMillis)));
        return failure.isPresent();
    }

    /** Replaces the Retry-After of a request that targets refused by a later one if other requests wait for them. */
    private Failure withMeasuredRetry(QueuedRequest<RelayRequest> entry, Failure failure, long nowMillis) {
        boolean refusedByTargets = failure.kind() == ErrorKind.OVERLOADED && queue.hasWaiting(entry.service());
        return refusedByTargets
                ? failure.retryAfter(queue.retryAfterMillis(entry, failure.retryAfterMillis(), nowMillis))
                : failure;
    }

    private QueuedRequest<RelayRequest> describe(RelayRequest request, long nowMillis) {
        Optional<String> workspace = request.workspace.map(Workspace::name);
        long tokens = Math.max(
                1, request.callerRequest.prompt().map(Prompt::worstCaseTokens).orElse(PLAIN_CALL_TOKENS));
        return new QueuedRequest<>(
                request,
                request.service,
                workspace.orElse("route " + request.route.name()),
                request.softwareVersion == null ? request.urgency : RESUMED_STREAM_PRIORITY,
                tokens,
                request.callerRequest.body().length + REQUEST_OVERHEAD_BYTES,
                request.triedTargets.isEmpty() && request.softwareVersion == null
                        ? new RoomKey(request.service, request.route.name(), workspace)
                        : request,
                nowMillis,
                request.acceptedAtMillis
                        + request.route.latencyObjectiveMillis()
                        - serviceTimes.startMillis(request.route),
                request.deadlineAtMillis - serviceTimes.answerMillis(request.route),
                request.deadlineAtMillis);
    }

    private void onWaiting(QueuedRequest<RelayRequest> entry, long nowMillis) {
        RelayRequest request = entry.request();
        ports.log()
                .request("request_queued", request.id())
                .with("service", entry.service())
                .with("workspace", entry.workspace())
                .with("priority", entry.priority())
                .with("tokens", entry.tokens())
                .with("waiting", queue.size())
                .with("expected_wait_ms", expectedWaitMillis(entry, nowMillis))
                .with("remaining_ms", request.remainingMillis(nowMillis))
                .write();
        waitingTokens.onWaiting(request);
    }

    private long expectedWaitMillis(QueuedRequest<RelayRequest> entry, long nowMillis) {
        return Math.max(
                queue.expectedWaitMillis(entry, nowMillis), targetPicker.waitMillis(entry.request(), nowMillis));
    }

    /** Sends the waiting requests that find room. Called when room may have become free. */
    void drain() {
        long nowMillis = now();
        if (draining || queue.size() == 0 || onHold(nowMillis)) {
            return;
        }
        draining = true;
        queue.drain(this::trySend, nowMillis);
        draining = false;
    }

    private void drain(String service) {
        if (draining) {
            return;
        }
        draining = true;
        queue.drain(service, this::trySend, now());
        draining = false;
    }

    private boolean onHold(long nowMillis) {
        return stalled || nowMillis - tickedAtMillis > STALL_MILLIS;
    }

    private RequestQueue.Outcome trySend(QueuedRequest<RelayRequest> entry) {
        RelayRequest request = entry.request();
        long nowMillis = now();
        if (request.finished || relay.endIfNotSendable(request) || failIfUnservable(entry, nowMillis)) {
            return RequestQueue.Outcome.ENDED;
        }
        Optional<Placement.Choice> choice = targetPicker.pickWithRoom(request, nowMillis);
        if (choice.isEmpty()) {
            // Usually no target has room for anything. The other waiting requests then need not be tried.
            return targetPicker.hasRoom(request.service, nowMillis)
                    ? RequestQueue.Outcome.NO_ROOM
                    : RequestQueue.Outcome.FULL;
        }
        if (!waitingTokens.ready(request, this::drain, failure -> relay.fail(request, failure))) {
            return request.finished ? RequestQueue.Outcome.ENDED : RequestQueue.Outcome.NOT_READY;
        }
        queue.onSent(entry, nowMillis);
        leave(request);
        ports.metrics().onLeftQueue(nowMillis - entry.arrivedAtMillis());
        relay.send(request, choice.get());
        return RequestQueue.Outcome.SENT;
    }

    private void leave(RelayRequest request) {
        entries.remove(request);
        waitingTokens.onLeft(request);
    }

    /** Records that a request has ended, and removes it if it waits. */
    void onFinished(RelayRequest request) {
        QueuedRequest<RelayRequest> entry = entries.get(request);
        if (entry != null) {
            queue.remove(entry, now());
            leave(request);
        }
    }

    /** Sends the waiting requests that find room, and refuses those that can no longer meet their deadlines. */
    void tick() {
        long nowMillis = now();
        stalled = nowMillis - tickedAtMillis > STALL_MILLIS;
        tickedAtMillis = nowMillis;
        drain();
        logRoom(nowMillis);
        if (!stalled && nowMillis - checkedAtMillis >= HOPELESS_CHECK_MILLIS) {
            checkedAtMillis = nowMillis;
            queue.removeHopeless(nowMillis).forEach(refusal -> refuse(refusal, nowMillis));
        }
    }

    /** Logs, while requests wait, how many targets have room and how many of these this router may use. */
    private void logRoom(long nowMillis) {
        if (nowMillis - roomLoggedAtMillis < ROOM_LOG_MILLIS) {
            return;
        }
        roomLoggedAtMillis = nowMillis;
        queue.waitingByService().forEach((service, waiting) -> {
            TargetTable.Room room = ports.targets().room(service, nowMillis);
            ports.log()
                    .belief("queue_room")
                    .with("service", service)
                    .with("waiting", waiting)
                    .with("targets", room.targets())
                    .with("targets_with_free_slot", room.withFreeSlot())
                    .with("targets_usable", room.usable())
                    .with("mean_others_load", Math.round(room.meanOthersLoad()))
                    .with("tokens_per_s", Math.round(queue.tokensPerSecond(service, nowMillis)))
                    .write();
        });
    }

    /** Refuses all waiting requests because this router ends. */
    void refuseAll() {
        long nowMillis = now();
        queue.removeAll(nowMillis).forEach(refusal -> refuse(refusal, nowMillis));
    }

    private void refuse(RequestQueue.Refusal<RelayRequest> refusal, long nowMillis) {
        QueuedRequest<RelayRequest> entry = refusal.request();
        RelayRequest request = entry.request();
        RequestQueue.Cause cause = refusal.cause();
        long expectedMillis = expectedWaitMillis(entry, nowMillis);
        long retryMillis = queue.retryAfterMillis(entry, targetPicker.waitMillis(request, nowMillis), nowMillis);
        ports.metrics().onShed(cause);
        ports.log()
                .trouble("request_shed", request.id())
                .with("cause", cause.wireName())
                .with("service", entry.service())
                .with("workspace", entry.workspace())
                .with("priority", entry.priority())
                .with("waited_ms", nowMillis - entry.arrivedAtMillis())
                .with("expected_wait_ms", expectedMillis)
                .with("slack_ms", entry.slackMillis(nowMillis))
                .with("waiting", queue.size())
                .with("tokens_per_s", Math.round(queue.tokensPerSecond(entry.service(), nowMillis)))
                .write();
        relay.fail(request, failure(request, cause, retryMillis));
    }

    private static Failure failure(RelayRequest request, RequestQueue.Cause cause, long retryMillis) {
        String reason = "no target has room for the request in time (" + cause.wireName() + ")";
        if (request.targetsThatMayHaveRun > 0) {
            return Failure.unknown(
                    ErrorKind.TARGET_FAILED, "a target that may have run the request failed, and " + reason);
        }
        return Failure.notRun(ErrorKind.OVERLOADED, reason).retryAfter(retryMillis);
    }
}
