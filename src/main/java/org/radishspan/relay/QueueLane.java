package org.radishspan.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/** The waiting requests of one service, in the order of their priorities, the fair shares of workspaces, and deadlines. */
final class QueueLane<T> {
    /**
     * Of so many sends, one may go to an ageing request before more urgent ones. Without a bound, a long overload would make
     * every request age, and all would be sent at the last moment.
     */
    private static final int SENDS_PER_AGEING = 4;

    /** The waiting requests of one priority. */
    private static final class Level<T> {
        final Map<String, List<QueuedRequest<T>>> byWorkspace = new LinkedHashMap<>();
        final FairShares shares = new FairShares();

        long tokens() {
            return byWorkspace.values().stream().mapToLong(Level::tokens).sum();
        }

        static <T> long tokens(List<QueuedRequest<T>> requests) {
            return requests.stream().mapToLong(QueuedRequest::tokens).sum();
        }
    }

    private final NavigableMap<Integer, Level<T>> levels = new TreeMap<>();
    private final DrainRate drainRate = new DrainRate();
    private final ReturnTimes returnTimes = new ReturnTimes();
    private int sendsSinceAgeing;

    DrainRate drainRate() {
        return drainRate;
    }

    ReturnTimes returnTimes() {
        return returnTimes;
    }

    boolean isEmpty() {
        return levels.isEmpty();
    }

    /** Returns all waiting requests, the most urgent priority first. */
    List<QueuedRequest<T>> requests() {
        List<QueuedRequest<T>> all = new ArrayList<>();
        for (Level<T> level : levels.values()) {
            level.byWorkspace.values().forEach(all::addAll);
        }
        return all;
    }

    void add(QueuedRequest<T> request, long nowMillis) {
        drainRate.setBusy(true, nowMillis);
        Level<T> level = levels.computeIfAbsent(request.priority(), ignored -> new Level<>());
        level.byWorkspace
                .computeIfAbsent(request.workspace(), ignored -> new ArrayList<>())
                .add(request);
        level.shares.join(request.workspace(), request.tokens());
    }

    void remove(QueuedRequest<T> request, long nowMillis) {
        Level<T> level = levels.get(request.priority());
        List<QueuedRequest<T>> requests = level == null ? null : level.byWorkspace.get(request.workspace());
        if (level == null || requests == null || !requests.remove(request) || !requests.isEmpty()) {
            return;
        }
        level.byWorkspace.remove(request.workspace());
        level.shares.leave(request.workspace());
        if (level.byWorkspace.isEmpty()) {
            levels.remove(request.priority());
        }
        drainRate.setBusy(!levels.isEmpty(), nowMillis);
    }

    /** Returns the request that is to be sent next among those that {@code sendable} accepts. */
    Optional<QueuedRequest<T>> next(Predicate<QueuedRequest<T>> sendable, long nowMillis) {
        if (sendsSinceAgeing >= SENDS_PER_AGEING - 1) {
            Optional<QueuedRequest<T>> ageing = nextAgeing(sendable, nowMillis);
            if (ageing.isPresent()) {
                return ageing;
            }
        }
        for (Level<T> level : levels.values()) {
            Map<String, QueuedRequest<T>> firsts = firstOfEachWorkspace(level, sendable, nowMillis);
            Optional<FairShares.Turn> turn = level.shares.next(tokensOf(firsts));
            if (turn.isPresent()) {
                return Optional.ofNullable(firsts.get(turn.get().workspace()));
            }
        }
        return Optional.empty();
    }

    private Optional<QueuedRequest<T>> nextAgeing(Predicate<QueuedRequest<T>> sendable, long nowMillis) {
        QueuedRequest<T> first = null;
        for (QueuedRequest<T> request : requests()) {
            boolean earlier = first == null || request.latestStartAtMillis() < first.latestStartAtMillis();
            if (earlier && request.ageing(nowMillis) && sendable.test(request)) {
                first = request;
            }
        }
        return Optional.ofNullable(first);
    }

    private static <T> Map<String, QueuedRequest<T>> firstOfEachWorkspace(
            Level<T> level, Predicate<QueuedRequest<T>> sendable, long nowMillis) {
        Map<String, QueuedRequest<T>> firsts = new HashMap<>();
        level.byWorkspace.forEach((workspace, requests) -> {
            QueuedRequest<T> first = first(requests, sendable, nowMillis);
            if (first != null) {
                firsts.put(workspace, first);
            }
        });
        return firsts;
    }

    private static <T> @Nullable QueuedRequest<T> first(
            List<QueuedRequest<T>> requests, Predicate<QueuedRequest<T>> sendable, long nowMillis) {
        QueuedRequest<T> first = null;
        for (QueuedRequest<T> request : requests) {
            if ((first == null || request.isBefore(first, nowMillis)) && sendable.test(request)) {
                first = request;
            }
        }
        return first;
    }

    private static <T> Map<String, Long> tokensOf(Map<String, QueuedRequest<T>> requests) {
        Map<String, Long> tokens = new HashMap<>();
        requests.forEach((workspace, request) -> tokens.put(workspace, request.tokens()));
        return tokens;
    }

    /** Records that a waiting request is sent, and removes it. */
    void onSent(QueuedRequest<T> request, long nowMillis) {
        drainRate.onSent(request.tokens(), nowMillis);
        sendsSinceAgeing = request.ageing(nowMillis) ? 0 : sendsSinceAgeing + 1;
        Level<T> level = levels.get(request.priority());
        if (level != null) {
            Map<String, Long> tokens = Map.of(request.workspace(), request.tokens());
            level.shares.next(tokens).ifPresent(turn -> level.shares.onSent(turn, request.tokens()));
        }
        remove(request, nowMillis);
    }

    /**
     * Returns the tokens of the requests that are sent before this one: those of more urgent priorities, and of its own
     * priority the earlier ones of its workspace and as many of each other workspace.
     */
    long tokensBefore(QueuedRequest<T> request, long nowMillis) {
        long tokens = levels.headMap(request.priority()).values().stream()
                .mapToLong(Level::tokens)
                .sum();
        Level<T> level = levels.get(request.priority());
        if (level == null) {
            return tokens;
        }
        long ownTokens = 0;
        for (QueuedRequest<T> other : level.byWorkspace.getOrDefault(request.workspace(), List.of())) {
            ownTokens += other != request && !request.isBefore(other, nowMillis) ? other.tokens() : 0;
        }
        tokens += ownTokens;
        for (Map.Entry<String, List<QueuedRequest<T>>> others : level.byWorkspace.entrySet()) {
            if (!others.getKey().equals(request.workspace())) {
                tokens += Math.min(Level.tokens(others.getValue()), ownTokens + request.tokens());
            }
        }
        return tokens;
    }

    /** Returns the time in which requests with so many tokens are sent, as far as it is known. */
    long millisFor(long tokens, long nowMillis) {
        if (tokens == 0 || drainRate.known(nowMillis)) {
            return drainRate.millisFor(tokens, nowMillis);
        }
        // An outage that has lasted for some time continues for the same time on average.
        return requests().stream()
                .mapToLong(request -> nowMillis - request.arrivedAtMillis())
                .max()
                .orElse(0);
    }

    /** Returns the tokens of all waiting requests of a priority and of more urgent ones. */
    long tokensUpTo(int priority) {
        return levels.headMap(priority, true).values().stream()
                .mapToLong(Level::tokens)
                .sum();
    }
}
