package org.radishspan.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.ReserveTokens;
import org.radishspan.proto.SettleTokens;
import org.radishspan.proto.TokensReserved;

/**
 * Reserves tokens for calls at this router from the shares of the keepers of a budget.
 *
 * <p>The keepers of a budget are the routers that hold shares of it and reserve tokens for calls at all routers: one in
 * each failure domain. If every router held a share of every budget, each share would have to cover at least one call. In a
 * fleet of many routers and many budgets, the budgets could not afford that, and a power failure would forfeit all of these
 * shares.
 *
 * <p>A call requests tokens from one keeper after another, and takes those of the first that has enough. If none has, the
 * call waits until the ledger has granted more: at the first keeper that responded and reaches the store, and if the ledger
 * is silent there, at another router that reaches the store.
 *
 * <p>A keeper that does not respond in time may still be slow, or this router may be: the next keeper is asked, but the
 * response is accepted for a while. Time during which this process could not read responses doesn't count.
 */
public final class TokenClient implements TokenSource {

    /** Lists the keepers of a budget and sends messages to them. */
    public interface KeeperClient {
        /**
         * Returns the VMs of the keepers in the order in which to request tokens; an empty string stands for this router.
         */
        List<String> keepersOf(String budget);

        /** Sends a request for tokens to another router; the message may be lost. */
        void reserve(String vm, ReserveTokens call);

        /** Reports the tokens that a call used to another router; the message may be lost. */
        void settle(String vm, SettleTokens settled);

        /** Called when another router did not respond in time. */
        void onTimeout(String vm);

        /** Returns whether a router reaches the store as far as is known; an empty string stands for this router. */
        default boolean reachesStore(String vm) {
            return true;
        }

        /**
         * Returns a router that is known to reach the store, preferably this one, for which an empty string stands. Such a
         * router obtains a share of the budget if it has none.
         *
         * @param excluded the routers that are not to be returned
         */
        default Optional<String> routerReachingStore(String budget, Set<String> excluded) {
            return Optional.empty();
        }
    }

    /** A keeper responds within a few milliseconds, or within 100 ms on a slow connection or a busy processor. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 150;

    /** How long a response is accepted after its time-out, while the next keeper is asked. */
    private static final long LATE_RESPONSE_MILLIS = 80;

    /** A keeper that did not respond to a call is the last one that other calls ask for this time. */
    private static final long UNRESPONSIVE_MILLIS = 500;

    /** The time that a keeper has to respond in addition to the time for which it lets a call wait for the ledger. */
    private static final long WAIT_RESPONSE_MARGIN_MILLIS = 150;

    /** At how many routers a call waits for the ledger, one after another. */
    private static final int MAX_WAITS = 2;

    /** The longest usual time between two ticks. The event loop was busy or stopped for the time that exceeds it. */
    private static final long MAX_TICK_GAP_MILLIS = 100;

    /**
     * The time after which the settlement of a call is sent again if the keeper has not confirmed it. It doubles with each
     * attempt, because a keeper that doesn't confirm may be overloaded.
     */
    private static final long SETTLE_RETRY_MILLIS = 500;

    private static final long MAX_SETTLE_RETRY_MILLIS = 4_000;

    /** A settlement is retried for a minute. After that time the keeper has billed all reserved tokens. */
    private static final long SETTLE_TIMEOUT_MILLIS = 60_000;

    /** A call for which no tokens have been reserved yet. */
    private static final class PendingReservation {
        final String budget;
        final long tokens;
        final boolean deferrable;
        final long remainingMillis;
        final long giveUpAtMillis;
        final Consumer<Either<Refusal, ReservedTokens>> done;
        final Deque<String> keepersToAsk;
        final Set<String> deferredKeepers = new HashSet<>();
        final List<String> responders = new ArrayList<>();
        final Set<String> unresponsive = new HashSet<>();
        final Set<String> waitedAt = new HashSet<>();
        final List<Long> callIds = new ArrayList<>();
        final List<Holding> holdings = new ArrayList<>();

        @Nullable
        Refusal lastRefusal;

        boolean finished;

        PendingReservation(
                String budget,
                long tokens,
                boolean deferrable,
                long remainingMillis,
                long giveUpAtMillis,
                Consumer<Either<Refusal, ReservedTokens>> done,
                List<String> keepers) {
            this.budget = budget;
            this.tokens = tokens;
            this.deferrable = deferrable;
            this.remainingMillis = remainingMillis;
            this.giveUpAtMillis = giveUpAtMillis;
            this.done = done;
            this.keepersToAsk = new ArrayDeque<>(keepers);
        }
    }

    /** A request to a keeper that has neither been answered nor cancelled. */
    private static final class SentRequest {
        final PendingReservation pending;
        final String vm;
        final boolean mayWait;
        final long sentAtMillis;

        /** The time-out on the clock of {@link #activeMillis}. */
        final long timeoutAtMillis;

        /** The time of the first tick after the time-out; 0 before that. */
        long overdueSinceMillis;

        /** Whether the call went on without the response. */
        boolean late;

        SentRequest(PendingReservation pending, String vm, boolean mayWait, long sentAtMillis, long timeoutAtMillis) {
            this.pending = pending;
            this.vm = vm;
            this.mayWait = mayWait;
            this.sentAtMillis = sentAtMillis;
            this.timeoutAtMillis = timeoutAtMillis;
        }
    }

    private static final class PendingSettlement {
        final String vm;
        final SettleTokens message;
        final Consumer<Either<Failure, Void>> done;
        final long giveUpAtMillis;
        long retryMillis = SETTLE_RETRY_MILLIS;
        long sendAtMillis;

        PendingSettlement(String vm, SettleTokens message, Consumer<Either<Failure, Void>> done, long giveUpAtMillis) {
            this.vm = vm;
            this.message = message;
            this.done = done;
            this.giveUpAtMillis = giveUpAtMillis;
        }
    }

    private final String incarnation;
    private final ShareSystem shares;
    private final KeeperClient keeperClient;
    private final LongSupplier clockMillis;
    private final Map<Long, SentRequest> sentRequests = new LinkedHashMap<>();
    private final Map<Long, PendingSettlement> pendingSettlements = new HashMap<>();
    private final Map<String, Long> unresponsiveSinceMillis = new HashMap<>();
    private long lastCallId;
    private long nowMillis;
    private long stalledMillis;

    /** Creates a client for the calls of a router process, for which time passes with the ticks only. */
    public TokenClient(String incarnation, ShareSystem shares, KeeperClient keeperClient) {
        this.incarnation = incarnation;
        this.shares = shares;
        this.keeperClient = keeperClient;
        this.clockMillis = () -> nowMillis;
    }

    /**
     * Creates a client for the calls of a router process.
     *
     * @param clockMillis the clock of the ticks, which also shows the time that has passed since the last one
     */
    public TokenClient(String incarnation, ShareSystem shares, KeeperClient keeperClient, LongSupplier clockMillis) {
        this.incarnation = incarnation;
        this.shares = shares;
        this.keeperClient = keeperClient;
        this.clockMillis = clockMillis;
    }

    @Override
    public void reserve(
            String budget, long tokens, boolean deferrable, Consumer<Either<Refusal, ReservedTokens>> done) {
        reserve(budget, tokens, deferrable, 0, done);
    }

    @Override
    public void reserve(
            String budget,
            long tokens,
            boolean deferrable,
            long remainingMillis,
            Consumer<Either<Refusal, ReservedTokens>> done) {
        long giveUpAtMillis = remainingMillis > 0 ? clockMillis.getAsLong() + remainingMillis : Long.MAX_VALUE;
        askNextKeeper(new PendingReservation(
                budget, tokens, deferrable, remainingMillis, giveUpAtMillis, done, keeperClient.keepersOf(budget)));
    }

    /** Returns the time without the periods in which the event loop was too late to read responses. */
    private long activeMillis() {
        return clockMillis.getAsLong() - stalledMillis;
    }

    /** Requests tokens that are available now from the next keeper. After the last keeper, lets the call wait. */
    private void askNextKeeper(PendingReservation pending) {
        while (!pending.keepersToAsk.isEmpty()) {
            String vm = pending.keepersToAsk.remove();
            boolean deferred = !pending.keepersToAsk.isEmpty() && isUnresponsive(vm) && pending.deferredKeepers.add(vm);
            if (deferred) {
                pending.keepersToAsk.add(vm);
                continue;
            }
            if (!vm.isEmpty()) {
                sendRequest(pending, vm, false, RESPONSE_TIMEOUT_MILLIS);
                return;
            }
            Either<Failure, Reservation> result = shares.reserveNow(pending.budget, pending.tokens, pending.deferrable);
            if (result.isRight()) {
                finish(pending, Either.right(localTokens(result.get())));
                return;
            }
            recordResponse(pending, vm, shares.holding(pending.budget));
        }
        waitForLedger(pending);
    }

    private boolean isUnresponsive(String vm) {
        Long sinceMillis = unresponsiveSinceMillis.get(vm);
        return sinceMillis != null && nowMillis - sinceMillis < UNRESPONSIVE_MILLIS;
    }

    private static void recordResponse(PendingReservation pending, String vm, Holding holding) {
        pending.holdings.add(holding);
        pending.responders.add(vm);
    }

    /** Lets the call wait at the next router where the ledger may grant more tokens; refuses it if there is none. */
    private void waitForLedger(PendingReservation pending) {
        Optional<String> vm = nextToWaitAt(pending);
        if (vm.isPresent() && !vm.get().isEmpty()) {
            pending.waitedAt.add(vm.get());
            sendRequest(pending, vm.get(), true, shares.policy().waitMillis() + WAIT_RESPONSE_MARGIN_MILLIS);
            return;
        }
        Refusal lastRefusal = pending.lastRefusal;
        if (vm.isEmpty() && lastRefusal != null) {
            finish(pending, Either.left(lastRefusal));
            return;
        }
        waitLocally(pending);
    }

    private Optional<String> nextToWaitAt(PendingReservation pending) {
        boolean first = pending.waitedAt.isEmpty();
        if (!first && (pending.waitedAt.size() >= MAX_WAITS || clockMillis.getAsLong() >= pending.giveUpAtMillis)) {
            return Optional.empty();
        }
        if (first) {
            Optional<String> responder = pending.responders.stream()
                    .filter(keeperClient::reachesStore)
                    .findFirst();
            if (responder.isPresent()) {
                return responder;
            }
        }
        Set<String> excluded = new HashSet<>(pending.waitedAt);
        excluded.addAll(pending.unresponsive);
        Optional<String> reachingStore = keeperClient.routerReachingStore(pending.budget, excluded);
        if (reachingStore.isPresent() || !first) {
            return reachingStore;
        }
        return Optional.of(pending.responders.isEmpty() ? "" : pending.responders.get(0));
    }

    private void waitLocally(PendingReservation pending) {
        pending.waitedAt.add("");
        long leftMillis =
                pending.remainingMillis > 0 ? Math.max(1, pending.giveUpAtMillis - clockMillis.getAsLong()) : 0;
        shares.reserve(pending.budget, pending.tokens, pending.deferrable, leftMillis, result -> {
            if (pending.finished) {
                result.peek(shares::cancel);
                return;
            }
            if (result.isRight()) {
                finish(pending, Either.right(localTokens(result.get())));
                return;
            }
            onWaitRefused(pending, localRefusal(pending, result.getLeft()));
        });
    }

    /**
     * Lets the call wait at another router if the ledger was silent where it waited, else refuses the call. The ledger was
     * not silent if it has refused the tokens.
     */
    private void onWaitRefused(PendingReservation pending, Refusal refusal) {
        pending.lastRefusal = refusal;
        boolean ledgerSilent =
                refusal.failure().kind() == ErrorKind.PLATFORM_UNAVAILABLE && refusal.ledgerUnansweredMillis() > 0;
        if (ledgerSilent) {
            Optional<String> next = nextToWaitAt(pending);
            if (next.isPresent()) {
                waitForLedger(pending);
                return;
            }
        }
        finish(pending, Either.left(refusal));
    }

    /** Completes a call, and frees the tokens that other routers may have reserved for it. */
    private void finish(PendingReservation pending, Either<Refusal, ReservedTokens> result) {
        pending.finished = true;
        pending.callIds.forEach(this::cancelRequest);
        pending.done.accept(result);
    }

    private void cancelRequest(long callId) {
        SentRequest request = sentRequests.remove(callId);
        if (request != null) {
            // The keeper may have reserved the tokens although its response did not arrive.
            settle(request.vm, callId, 0, ignored -> {});
        }
    }

    private static ReservedTokens localTokens(Reservation localReservation) {
        return new ReservedTokens(
                localReservation.budget(), localReservation.tokens(), "", 0, Optional.of(localReservation));
    }

    private Refusal localRefusal(PendingReservation pending, Failure failure) {
        return new Refusal(
                failure,
                "",
                shares.unspentTokens(pending.budget),
                shares.ledgerUnansweredMillis(),
                shares.boundRemainingMillis(pending.budget, pending.tokens),
                pending.holdings,
                shares.needsTopUp(pending.budget, pending.tokens, pending.deferrable));
    }

    private void sendRequest(PendingReservation pending, String vm, boolean mayWait, long timeoutMillis) {
        lastCallId++;
        pending.callIds.add(lastCallId);
        sentRequests.put(
                lastCallId,
                new SentRequest(pending, vm, mayWait, clockMillis.getAsLong(), activeMillis() + timeoutMillis));
        keeperClient.reserve(
                vm,
                ReserveTokens.newBuilder()
                        .setCallId(lastCallId)
                        .setBudget(pending.budget)
                        .setTokens(pending.tokens)
                        .setDeferrable(pending.deferrable)
                        .setMayWait(mayWait)
                        .setIncarnation(incarnation)
                        .build());
    }

    /** Processes the response of a keeper. Responses to requests that were cancelled are ignored. */
    public void onReserved(TokensReserved response) {
        SentRequest request = sentRequests.remove(response.getCallId());
        if (request == null) {
            return;
        }
        unresponsiveSinceMillis.remove(request.vm);
        PendingReservation pending = request.pending;
        if (response.getErrorKind().isEmpty()) {
            finish(
                    pending,
                    Either.right(new ReservedTokens(
                            pending.budget, pending.tokens, request.vm, response.getCallId(), Optional.empty())));
            return;
        }
        recordResponse(
                pending,
                request.vm,
                new Holding(
                        request.vm,
                        response.getGrantedTokens(),
                        response.getAvailableTokens(),
                        response.getReservedTokens()));
        if (request.late) {
            // The call has gone on without this response.
            return;
        }
        if (!request.mayWait) {
            askNextKeeper(pending);
            return;
        }
        ErrorKind kind = ErrorKind.valueOf(response.getErrorKind().toUpperCase(Locale.ROOT));
        onWaitRefused(
                pending,
                new Refusal(
                        Failure.notRun(kind, response.getErrorMessage()),
                        request.vm,
                        response.hasUnspentTokens()
                                ? OptionalLong.of(response.getUnspentTokens())
                                : OptionalLong.empty(),
                        response.getLedgerSilentMillis(),
                        response.getBoundMillisLeft(),
                        pending.holdings,
                        response.getUntilTopUp()));
    }

    /** Treats all requests to a router as unanswered, because the connection to it is lost. */
    public void onConnectionLost(String vm) {
        for (long callId : callIdsOf(request -> request.vm.equals(vm))) {
            SentRequest request = sentRequests.get(callId);
            if (request == null) {
                continue;
            }
            cancelRequest(callId);
            if (!request.late) {
                onRequestTimeout(request);
            }
        }
    }

    private List<Long> callIdsOf(Predicate<SentRequest> filter) {
        List<Long> callIds = new ArrayList<>();
        sentRequests.forEach((callId, request) -> {
            if (filter.test(request)) {
                callIds.add(callId);
            }
        });
        return callIds;
    }

    private void onRequestTimeout(SentRequest request) {
        request.late = true;
        request.pending.unresponsive.add(request.vm);
        Long countedAtMillis = unresponsiveSinceMillis.get(request.vm);
        if (countedAtMillis == null || request.sentAtMillis >= countedAtMillis) {
            // Requests sent before the last time-out are no further sign that the router does not respond.
            unresponsiveSinceMillis.put(request.vm, nowMillis);
            keeperClient.onTimeout(request.vm);
        }
        if (request.mayWait) {
            waitForLedger(request.pending);
            return;
        }
        askNextKeeper(request.pending);
    }

    @Override
    public void cancel(ReservedTokens reserved) {
        reserved.localReservation()
                .ifPresentOrElse(shares::cancel, () -> settle(reserved.keeper(), reserved.callId(), 0, ignored -> {}));
    }

    @Override
    public void bill(ReservedTokens reserved, long tokens, Consumer<Either<Failure, Void>> done) {
        reserved.localReservation()
                .ifPresentOrElse(
                        localReservation -> shares.bill(localReservation, tokens, done),
                        () -> settle(reserved.keeper(), reserved.callId(), Math.min(tokens, reserved.tokens()), done));
    }

    private void settle(String vm, long callId, long tokens, Consumer<Either<Failure, Void>> done) {
        SettleTokens message = SettleTokens.newBuilder()
                .setCallId(callId)
                .setTokens(tokens)
                .setIncarnation(incarnation)
                .build();
        PendingSettlement settlement = new PendingSettlement(vm, message, done, nowMillis + SETTLE_TIMEOUT_MILLIS);
        pendingSettlements.put(callId, settlement);
        send(settlement);
    }

    private void send(PendingSettlement settlement) {
        settlement.sendAtMillis = nowMillis + settlement.retryMillis;
        settlement.retryMillis = Math.min(MAX_SETTLE_RETRY_MILLIS, 2 * settlement.retryMillis);
        keeperClient.settle(settlement.vm, settlement.message);
    }

    /** Completes a settlement that a keeper has confirmed. */
    public void onSettled(long callId) {
        PendingSettlement settlement = pendingSettlements.remove(callId);
        if (settlement != null) {
            settlement.done.accept(Either.right(null));
        }
    }

    /** Returns whether no request for tokens is pending and every settlement has been confirmed. */
    public boolean idle() {
        return sentRequests.isEmpty() && pendingSettlements.isEmpty();
    }

    /** Times out requests to keepers that did not respond, and resends settlements that were not confirmed. */
    public void tick(long tickMillis) {
        if (nowMillis > 0) {
            stalledMillis += Math.max(0, tickMillis - nowMillis - MAX_TICK_GAP_MILLIS);
        }
        nowMillis = tickMillis;
        for (long callId : List.copyOf(sentRequests.keySet())) {
            SentRequest request = sentRequests.get(callId);
            if (request != null) {
                checkTimeout(callId, request);
            }
        }
        for (PendingSettlement settlement : List.copyOf(pendingSettlements.values())) {
            if (nowMillis < settlement.sendAtMillis) {
                continue;
            }
            if (nowMillis < settlement.giveUpAtMillis) {
                send(settlement);
                continue;
            }
            pendingSettlements.remove(settlement.message.getCallId());
            settlement.done.accept(Either.left(Failure.ran(
                    ErrorKind.SHARE_LOST,
                    "VM " + settlement.vm + " did not confirm the settlement of the call in any attempt")));
        }
    }

    /**
     * Times out a request at the second tick after its time-out. The event loop reads the sockets between two ticks, so a
     * response that had arrived by the first one has been processed by then.
     */
    private void checkTimeout(long callId, SentRequest request) {
        long activeMillis = nowMillis - stalledMillis;
        if (request.late) {
            if (activeMillis >= request.timeoutAtMillis + LATE_RESPONSE_MILLIS) {
                cancelRequest(callId);
            }
            return;
        }
        if (activeMillis < request.timeoutAtMillis) {
            return;
        }
        if (request.overdueSinceMillis == 0) {
            request.overdueSinceMillis = nowMillis;
            return;
        }
        if (nowMillis > request.overdueSinceMillis) {
            onRequestTimeout(request);
        }
    }
}
