package org.radishspan.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * The requests that wait in this router because no target has room for them.
 *
 * <p>Addresses loads above what the targets can take: bursts of one kind of request, one workspace at many times its usual
 * load, and repeated requests. Requests are sent by priority, by fair shares of the workspaces and by deadline, and refused as
 * soon as they can no longer meet their deadlines. Decides only: the caller sends, refuses, and passes the time.
 */
final class RequestQueue<T> {

    /** The result of an attempt to send a waiting request. */
    enum Outcome {
        /** The request was sent. */
        SENT,
        /** No target has room for the request, and so for none with the same room key and as many tokens. */
        NO_ROOM,
        /** No target of the service has room for any request. */
        FULL,
        /** The request cannot be sent yet for another reason. */
        NOT_READY,
        /** The request has ended otherwise. */
        ENDED
    }

    /** Why a request is not queued any longer without having been sent. The names are written to the log in lower case. */
    enum Cause {
        /** On arrival, the requests before it take longer than it may wait. */
        EXPECTED_WAIT,
        /** It has waited so long that its deadline cannot be met any more. */
        DEADLINE,
        /** The queue of this router is full. */
        QUEUE_FULL,
        /** The queue is full for its workspace. */
        WORKSPACE_FULL,
        /** A more urgent request took its place in the full queue. */
        DISPLACED,
        /** This router stops. */
        STOPPING;

        String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** A request that is to be refused. */
    record Refusal<T>(QueuedRequest<T> request, Cause cause) {}

    /**
     * The bounds of the queue.
     *
     * @param requests the maximum number of waiting requests
     * @param workspaceRequests the maximum number of waiting requests of one workspace
     * @param bytes the maximum memory of waiting requests
     * @param workspaceBytes the maximum memory of waiting requests of one workspace
     */
    record Bounds(int requests, int workspaceRequests, long bytes, long workspaceBytes) {
        /**
         * The bounds of a router with a heap of 96 MB. 384 requests are 15 s of the load of one of the users' larger routers;
         * an eighth of the heap holds 250 long briefings. A workspace may use a third.
         */
        static final Bounds DEFAULT = new Bounds(384, 128, 12L << 20, 4L << 20);
    }

    /**
     * A waiting request is refused if its expected wait exceeds what it may wait by this factor. The rate is measured with a
     * few sends, and a request that is refused for a wrong estimate loses its place.
     */
    private static final double WAITING_MARGIN = 1.5;

    /** The longest Retry-After. Longer estimates say only that the rate is not known. */
    private static final long MAX_RETRY_MILLIS = 10_000;

    /** The shortest Retry-After: the room that a returning caller is to find must have become free by then. */
    private static final long MIN_RETRY_MILLIS = 50;

    /** The minimum time between two returning callers: one tick, in which this router sends what has found room. */
    private static final long MIN_GAP_MILLIS = 20;

    /** The minimum time over which returning callers are spread. */
    private static final long MIN_SPREAD_MILLIS = 500;

    /** Callers wait at most this fraction of their remaining time for a Retry-After. */
    private static final double HONOURED_FRACTION = 1 / 3.0;

    /** The number and bytes of waiting requests. */
    private static final class Usage {
        int requests;
        long bytes;

        boolean allows(QueuedRequest<?> request, int maxRequests, long maxBytes) {
            return requests < maxRequests && bytes + request.bytes() <= maxBytes;
        }

        void add(int count, long size) {
            requests += count;
            bytes += size;
        }
    }

    private static final Usage NOTHING = new Usage();

    private final Bounds bounds;
    private final Map<String, QueueLane<T>> lanes = new HashMap<>();
    private final Set<QueuedRequest<T>> waiting = new HashSet<>();
    private final Usage usage = new Usage();
    private final Map<String, Usage> usageByWorkspace = new HashMap<>();

    RequestQueue(Bounds bounds) {
        this.bounds = bounds;
    }

    int size() {
        return usage.requests;
    }

    long bytes() {
        return usage.bytes;
    }

    boolean contains(QueuedRequest<T> request) {
        return waiting.contains(request);
    }

    /** Returns whether requests for a service wait. */
    boolean hasWaiting(String service) {
        return !lane(service).isEmpty();
    }

    /** Returns the number of waiting requests of each service that has any. */
    Map<String, Integer> waitingByService() {
        Map<String, Integer> result = new HashMap<>();
        lanes.forEach((service, lane) -> {
            if (!lane.isEmpty()) {
                result.put(service, lane.requests().size());
            }
        });
        return result;
    }

    private QueueLane<T> lane(String service) {
        return lanes.computeIfAbsent(service, ignored -> new QueueLane<>());
    }

    /** Adds a request. Returns the requests to refuse because of the bounds: this one, or less urgent ones; usually none. */
    List<Refusal<T>> add(QueuedRequest<T> request, long nowMillis) {
        List<QueuedRequest<T>> displaced = new ArrayList<>();
        for (Cause full = fullFor(request); full != null; full = fullFor(request)) {
            QueuedRequest<T> leastUrgent = leastUrgent(
                    full == Cause.QUEUE_FULL
                            ? other -> true
                            : other -> other.workspace().equals(request.workspace()));
            if (leastUrgent == null || leastUrgent.priority() <= request.priority()) {
                displaced.forEach(other -> insert(other, nowMillis));
                return List.of(new Refusal<>(request, full));
            }
            remove(leastUrgent, nowMillis);
            displaced.add(leastUrgent);
        }
        insert(request, nowMillis);
        return displaced.stream()
                .map(other -> new Refusal<>(other, Cause.DISPLACED))
                .toList();
    }

    /** Returns which bound a request would exceed; null if none. */
    private @Nullable Cause fullFor(QueuedRequest<T> request) {
        Usage ofWorkspace = usageByWorkspace.getOrDefault(request.workspace(), NOTHING);
        if (!ofWorkspace.allows(request, bounds.workspaceRequests(), bounds.workspaceBytes())) {
            return Cause.WORKSPACE_FULL;
        }
        return usage.allows(request, bounds.requests(), bounds.bytes()) ? null : Cause.QUEUE_FULL;
    }

    private void insert(QueuedRequest<T> request, long nowMillis) {
        waiting.add(request);
        usage.add(1, request.bytes());
        usageByWorkspace
                .computeIfAbsent(request.workspace(), ignored -> new Usage())
                .add(1, request.bytes());
        lane(request.service()).add(request, nowMillis);
    }

    private @Nullable QueuedRequest<T> leastUrgent(Predicate<QueuedRequest<T>> filter) {
        QueuedRequest<T> last = null;
        for (QueuedRequest<T> request : waiting) {
            boolean later = last == null
                    || request.priority() > last.priority()
                    || (request.priority() == last.priority() && request.deadlineAtMillis() > last.deadlineAtMillis());
            last = later && filter.test(request) ? request : last;
        }
        return last;
    }

    /** Removes a request that has ended or is about to be sent. Does nothing if it does not wait. */
    void remove(QueuedRequest<T> request, long nowMillis) {
        if (!waiting.contains(request)) {
            return;
        }
        release(request);
        lane(request.service()).remove(request, nowMillis);
    }

    private void release(QueuedRequest<T> request) {
        waiting.remove(request);
        usage.add(-1, -request.bytes());
        Usage ofWorkspace = usageByWorkspace.get(request.workspace());
        if (ofWorkspace != null) {
            ofWorkspace.add(-1, -request.bytes());
            usageByWorkspace.computeIfPresent(
                    request.workspace(), (workspace, left) -> left.requests == 0 ? null : left);
        }
    }

    /** Records that a waiting request is sent, and removes it. The caller does this immediately before it sends. */
    void onSent(QueuedRequest<T> request, long nowMillis) {
        if (waiting.contains(request)) {
            release(request);
            lane(request.service()).onSent(request, nowMillis);
        }
    }

    /** Tries to send the waiting requests of every service in their order, until none of them finds room. */
    void drain(Function<QueuedRequest<T>, Outcome> sender, long nowMillis) {
        for (String service : List.copyOf(lanes.keySet())) {
            drain(service, sender, nowMillis);
        }
    }

    /**
     * Tries to send the waiting requests of a service in their order, until none of them finds room.
     *
     * @param sender tries to send one request; it calls {@link #onSent} before the send
     */
    void drain(String service, Function<QueuedRequest<T>, Outcome> sender, long nowMillis) {
        QueueLane<T> lane = lane(service);
        Map<Object, Long> fullFor = new HashMap<>();
        Set<QueuedRequest<T>> notReady = new HashSet<>();
        while (!lane.isEmpty()) {
            Optional<QueuedRequest<T>> next = lane.next(
                    request -> request.tokens() < fullFor.getOrDefault(request.roomKey(), Long.MAX_VALUE)
                            && !notReady.contains(request),
                    nowMillis);
            if (next.isEmpty()) {
                return;
            }
            QueuedRequest<T> request = next.get();
            switch (sender.apply(request)) {
                case NO_ROOM -> fullFor.put(request.roomKey(), request.tokens());
                case NOT_READY -> notReady.add(request);
                case FULL -> {
                    return;
                }
                default -> remove(request, nowMillis);
            }
        }
    }

    /** Returns how long a request is expected to wait until it is sent, whether or not it already waits. */
    long expectedWaitMillis(QueuedRequest<T> request, long nowMillis) {
        QueueLane<T> lane = lane(request.service());
        long tokens = lane.tokensBefore(request, nowMillis);
        return lane.millisFor(tokens, nowMillis);
    }

    /** Returns the measured rate at which a service takes requests, in tokens a second; 0 if it is not known. */
    double tokensPerSecond(String service, long nowMillis) {
        return lane(service).drainRate().tokensPerSecond(nowMillis);
    }

    /** Removes and returns the waiting requests that can no longer meet their deadlines. */
    List<Refusal<T>> removeHopeless(long nowMillis) {
        List<Refusal<T>> refusals = new ArrayList<>();
        for (QueueLane<T> lane : lanes.values()) {
            for (QueuedRequest<T> request : lane.requests()) {
                long slackMillis = request.slackMillis(nowMillis);
                boolean hopeless =
                        slackMillis < 0 || expectedWaitMillis(request, nowMillis) > WAITING_MARGIN * slackMillis;
                if (hopeless) {
                    remove(request, nowMillis);
                    refusals.add(new Refusal<>(request, Cause.DEADLINE));
                }
            }
        }
        return refusals;
    }

    /** Removes and returns all waiting requests because this router stops. */
    List<Refusal<T>> removeAll(long nowMillis) {
        List<Refusal<T>> refusals = new ArrayList<>();
        for (QueuedRequest<T> request : List.copyOf(waiting)) {
            remove(request, nowMillis);
            refusals.add(new Refusal<>(request, Cause.STOPPING));
        }
        return refusals;
    }

    /**
     * Returns the Retry-After for a refused request: the time in which what waits before a returning request is sent, at the
     * measured rate, and a later time for each next caller.
     *
     * @param minMillis the time until targets accept requests again, if that is known
     */
    long retryAfterMillis(QueuedRequest<T> request, long minMillis, long nowMillis) {
        QueueLane<T> lane = lane(request.service());
        DrainRate rate = lane.drainRate();
        long drainMillis = lane.millisFor(lane.tokensUpTo(request.priority()), nowMillis);
        long baseMillis = Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, Math.max(minMillis, drainMillis)));
        long honouredMillis = Math.round(HONOURED_FRACTION * (request.deadlineAtMillis() - nowMillis));
        long spreadMillis = Math.max(MIN_SPREAD_MILLIS, honouredMillis - baseMillis);
        long gapMillis =
                Math.max(MIN_GAP_MILLIS, Math.min(MIN_SPREAD_MILLIS, rate.millisFor(request.tokens(), nowMillis)));
        return lane.returnTimes().next(baseMillis, gapMillis, spreadMillis, nowMillis);
    }
}
