package org.radishspan.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
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
 * call waits at the first keeper that responded until the ledger has granted more.
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
    }

    /** A keeper responds within a few milliseconds, or within 100 ms on a slow connection or a busy processor. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 150;

    /** The time that a keeper has to respond in addition to the time for which it lets a call wait for the ledger. */
    private static final long WAIT_RESPONSE_MARGIN_MILLIS = 150;

    /** The interval at which the settlement of a call is sent again until the keeper has confirmed it. */
    private static final long SETTLE_RETRY_MILLIS = 500;

    /**
     * With this many sends a settlement is retried for a minute. After that time the keeper has billed all reserved tokens.
     */
    private static final int MAX_SETTLE_SENDS = 120;

    /** A call for which no tokens have been reserved yet. */
    private static final class PendingReservation {
        final String budget;
        final long tokens;
        final boolean deferrable;
        final Consumer<Either<Refusal, ReservedTokens>> done;
        final List<String> keepers;
        final List<Holding> holdings = new ArrayList<>();
        int triedKeepers;
        String currentKeeper = "";
        boolean mayWait;

        @Nullable
        String firstResponder;

        long timeoutAtMillis;

        PendingReservation(
                String budget,
                long tokens,
                boolean deferrable,
                Consumer<Either<Refusal, ReservedTokens>> done,
                List<String> keepers) {
            this.budget = budget;
            this.tokens = tokens;
            this.deferrable = deferrable;
            this.done = done;
            this.keepers = keepers;
        }
    }

    private static final class PendingSettlement {
        final String vm;
        final SettleTokens message;
        final Consumer<Either<Failure, Void>> done;
        int sends;
        long sendAtMillis;

        PendingSettlement(String vm, SettleTokens message, Consumer<Either<Failure, Void>> done) {
            this.vm = vm;
            this.message = message;
            this.done = done;
        }
    }

    private final String incarnation;
    private final ShareSystem shares;
    private final KeeperClient keeperClient;
    private final Map<Long, PendingReservation> pendingReservations = new LinkedHashMap<>();
    private final Map<Long, PendingSettlement> pendingSettlements = new HashMap<>();
    private long lastCallId;
    private long nowMillis;

    /** Creates a client for the calls of a router process. */
    public TokenClient(String incarnation, ShareSystem shares, KeeperClient keeperClient) {
        this.incarnation = incarnation;
        this.shares = shares;
        this.keeperClient = keeperClient;
    }

    @Override
    public void reserve(
            String budget, long tokens, boolean deferrable, Consumer<Either<Refusal, ReservedTokens>> done) {
        tryNextKeeper(new PendingReservation(budget, tokens, deferrable, done, keeperClient.keepersOf(budget)));
    }

    /**
     * Requests tokens that are available now from the next keeper. After the last keeper, lets the call wait at the first
     * one that responded, or at this router if none did.
     */
    private void tryNextKeeper(PendingReservation pending) {
        while (pending.triedKeepers < pending.keepers.size()) {
            String vm = pending.keepers.get(pending.triedKeepers);
            pending.triedKeepers++;
            if (!vm.isEmpty()) {
                sendRequest(pending, vm, RESPONSE_TIMEOUT_MILLIS);
                return;
            }
            Either<Failure, Reservation> result = shares.reserveNow(pending.budget, pending.tokens, pending.deferrable);
            if (result.isRight()) {
                pending.done.accept(Either.right(localTokens(result.get())));
                return;
            }
            recordResponse(pending, vm, shares.holding(pending.budget));
        }
        pending.mayWait = true;
        String vm = pending.firstResponder;
        if (vm == null || vm.isEmpty()) {
            waitLocally(pending);
            return;
        }
        sendRequest(pending, vm, shares.policy().waitMillis() + WAIT_RESPONSE_MARGIN_MILLIS);
    }

    private static void recordResponse(PendingReservation pending, String vm, Holding holding) {
        pending.holdings.add(holding);
        if (pending.firstResponder == null) {
            pending.firstResponder = vm;
        }
    }

    private void waitLocally(PendingReservation pending) {
        pending.mayWait = true;
        shares.reserve(
                pending.budget,
                pending.tokens,
                pending.deferrable,
                result -> pending.done.accept(
                        result.map(TokenClient::localTokens).mapLeft(failure -> localRefusal(pending, failure))));
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

    private void sendRequest(PendingReservation pending, String vm, long timeoutMillis) {
        lastCallId++;
        pending.currentKeeper = vm;
        pending.timeoutAtMillis = nowMillis + timeoutMillis;
        pendingReservations.put(lastCallId, pending);
        keeperClient.reserve(
                vm,
                ReserveTokens.newBuilder()
                        .setCallId(lastCallId)
                        .setBudget(pending.budget)
                        .setTokens(pending.tokens)
                        .setDeferrable(pending.deferrable)
                        .setMayWait(pending.mayWait)
                        .setIncarnation(incarnation)
                        .build());
    }

    /** Processes the response of a keeper. Responses to requests that are no longer pending are ignored. */
    public void onReserved(TokensReserved response) {
        PendingReservation pending = pendingReservations.remove(response.getCallId());
        if (pending == null) {
            return;
        }
        if (response.getErrorKind().isEmpty()) {
            pending.done.accept(Either.right(new ReservedTokens(
                    pending.budget, pending.tokens, pending.currentKeeper, response.getCallId(), Optional.empty())));
            return;
        }
        recordResponse(
                pending,
                pending.currentKeeper,
                new Holding(
                        pending.currentKeeper,
                        response.getGrantedTokens(),
                        response.getAvailableTokens(),
                        response.getReservedTokens()));
        if (!pending.mayWait) {
            tryNextKeeper(pending);
            return;
        }
        ErrorKind kind = ErrorKind.valueOf(response.getErrorKind().toUpperCase(Locale.ROOT));
        pending.done.accept(Either.left(new Refusal(
                Failure.notRun(kind, response.getErrorMessage()),
                pending.currentKeeper,
                response.hasUnspentTokens() ? OptionalLong.of(response.getUnspentTokens()) : OptionalLong.empty(),
                response.getLedgerSilentMillis(),
                response.getBoundMillisLeft(),
                pending.holdings,
                response.getUntilTopUp())));
    }

    /** Treats all requests to a router as unanswered, because the connection to it is lost. */
    public void onConnectionLost(String vm) {
        timeOut(pending -> pending.currentKeeper.equals(vm));
    }

    private void timeOut(Predicate<PendingReservation> filter) {
        List<Long> timedOutCallIds = new ArrayList<>();
        pendingReservations.forEach((callId, pending) -> {
            if (filter.test(pending)) {
                timedOutCallIds.add(callId);
            }
        });
        for (long callId : timedOutCallIds) {
            PendingReservation pending = pendingReservations.remove(callId);
            if (pending != null) {
                onReservationTimeout(callId, pending);
            }
        }
    }

    private void onReservationTimeout(long callId, PendingReservation pending) {
        keeperClient.onTimeout(pending.currentKeeper);
        // The keeper may have reserved the tokens although its response did not arrive, so they are freed.
        settle(pending.currentKeeper, callId, 0, ignored -> {});
        if (!pending.mayWait) {
            tryNextKeeper(pending);
            return;
        }
        waitLocally(pending);
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
        PendingSettlement settlement = new PendingSettlement(vm, message, done);
        pendingSettlements.put(callId, settlement);
        send(settlement);
    }

    private void send(PendingSettlement settlement) {
        settlement.sends++;
        settlement.sendAtMillis = nowMillis + SETTLE_RETRY_MILLIS;
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
        return pendingReservations.isEmpty() && pendingSettlements.isEmpty();
    }

    /** Times out requests to keepers that did not respond, and resends settlements that were not confirmed. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        timeOut(pending -> nowMillis >= pending.timeoutAtMillis);
        for (PendingSettlement settlement : List.copyOf(pendingSettlements.values())) {
            if (nowMillis < settlement.sendAtMillis) {
                continue;
            }
            if (settlement.sends < MAX_SETTLE_SENDS) {
                send(settlement);
                continue;
            }
            pendingSettlements.remove(settlement.message.getCallId());
            settlement.done.accept(Either.left(Failure.ran(
                    ErrorKind.SHARE_LOST,
                    "VM " + settlement.vm + " did not confirm the settlement of the call in any attempt")));
        }
    }
}
