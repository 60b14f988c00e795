package org.radishspan.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

import io.vavr.control.Either;
import org.radishspan.error.Failure;
import org.radishspan.proto.ReserveTokens;
import org.radishspan.proto.SettleTokens;
import org.radishspan.proto.TokensReserved;

/**
 * Reserves tokens of this router's shares for calls at other routers. This is the counterpart of {@link TokenClient}.
 *
 * <p>Such a reservation is held like one of this router's own calls until the other router reports the tokens that the call
 * used. If it never does, the call is billed with all reserved tokens, as it may have used them.
 */
public final class TokenKeeper {
    /** A call that has not been settled after this time is billed in full. The longest deadline of callers is half of it. */
    private static final long SETTLEMENT_TIMEOUT_MILLIS = 60_000;

    /** The number of settled calls that are remembered, in case their requests arrive late. */
    private static final int MAX_SETTLED_CALLS = 4_096;

    private record CallKey(String incarnation, long callId) {}

    private record HeldReservation(Reservation reservation, long reservedAtMillis) {}

    private final ShareSystem shares;
    private final BiConsumer<String, TokensReserved> responses;
    private final Map<CallKey, HeldReservation> held = new HashMap<>();
    private final Set<CallKey> waiting = new HashSet<>();

    /** The calls that were settled before their requests arrived, with the times of the settlements. */
    private final Map<CallKey, Long> settledBefore = new LinkedHashMap<>();

    private boolean draining;
    private long nowMillis;

    /**
     * Creates a keeper.
     *
     * @param responses sends a response to the named VM; the message may be lost
     */
    public TokenKeeper(ShareSystem shares, BiConsumer<String, TokensReserved> responses) {
        this.shares = shares;
        this.responses = responses;
    }

    /** Refuses further calls, because this router is stopping. */
    public void drain() {
        draining = true;
    }

    /** Reserves tokens for a call at another router, and sends the result to that router. */
    public void onReserve(String vm, ReserveTokens call) {
        CallKey key = new CallKey(call.getIncarnation(), call.getCallId());
        if (draining) {
            sendResponse(vm, call, Either.left(ShareSystem.stopping(call.getBudget())));
            return;
        }
        if (settledBefore.remove(key) != null) {
            // The request was overtaken by its cancellation, which came on another connection.
            return;
        }
        if (!call.getMayWait()) {
            onReserved(vm, call, key, shares.reserveNow(call.getBudget(), call.getTokens(), call.getDeferrable()));
            return;
        }
        waiting.add(key);
        shares.reserve(call.getBudget(), call.getTokens(), call.getDeferrable(), result -> {
            if (waiting.remove(key)) {
                onReserved(vm, call, key, result);
                return;
            }
            result.peek(shares::cancel);
        });
    }

    private void onReserved(String vm, ReserveTokens call, CallKey key, Either<Failure, Reservation> result) {
        result.peek(reservation -> held.put(key, new HeldReservation(reservation, nowMillis)));
        sendResponse(vm, call, result);
    }

    private void sendResponse(String vm, ReserveTokens call, Either<Failure, Reservation> result) {
        TokensReserved.Builder response = TokensReserved.newBuilder().setCallId(call.getCallId());
        if (result.isLeft()) {
            response.setErrorKind(result.getLeft().kind().wireName())
                    .setErrorMessage(result.getLeft().message())
                    .setLedgerSilentMillis(shares.ledgerUnansweredMillis())
                    .setBoundMillisLeft(shares.boundRemainingMillis(call.getBudget(), call.getTokens()))
                    .setUntilTopUp(shares.needsTopUp(call.getBudget(), call.getTokens(), call.getDeferrable()));
            shares.unspentTokens(call.getBudget()).ifPresent(response::setUnspentTokens);
            TokenSource.Holding holding = shares.holding(call.getBudget());
            response.setGrantedTokens(holding.grantedTokens())
                    .setAvailableTokens(holding.availableTokens())
                    .setReservedTokens(holding.reservedTokens());
        }
        responses.accept(vm, response.build());
    }

    /**
     * Settles a call at another router: bills the tokens that it used, or frees the reservation if they are 0. A call
     * that is still waiting for tokens is cancelled. A call that is neither waiting nor reserved is already settled, or its
     * request arrives later and is ignored then.
     */
    public void onSettle(SettleTokens settled) {
        CallKey key = new CallKey(settled.getIncarnation(), settled.getCallId());
        boolean wasWaiting = waiting.remove(key);
        HeldReservation call = held.remove(key);
        if (call == null) {
            if (!wasWaiting) {
                rememberSettled(key);
            }
            return;
        }
        if (settled.getTokens() == 0) {
            shares.cancel(call.reservation());
            return;
        }
        shares.bill(call.reservation(), settled.getTokens(), ignored -> {});
    }

    private void rememberSettled(CallKey key) {
        settledBefore.put(key, nowMillis);
        if (settledBefore.size() > MAX_SETTLED_CALLS) {
            settledBefore.remove(settledBefore.keySet().iterator().next());
        }
    }

    private void forgetSettled() {
        Iterator<Long> oldestFirst = settledBefore.values().iterator();
        while (oldestFirst.hasNext() && nowMillis - oldestFirst.next() >= SETTLEMENT_TIMEOUT_MILLIS) {
            oldestFirst.remove();
        }
    }

    /** Bills all reserved tokens of the calls of a router process that has ended. */
    public void onProcessEnded(String incarnation) {
        for (CallKey key : List.copyOf(held.keySet())) {
            if (key.incarnation().equals(incarnation)) {
                billInFull(key);
            }
        }
    }

    private void billInFull(CallKey key) {
        HeldReservation call = held.remove(key);
        if (call != null) {
            shares.bill(call.reservation(), call.reservation().tokens(), ignored -> {});
        }
    }

    /** Bills all reserved tokens of the calls that were not settled in time. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        forgetSettled();
        List<CallKey> overdue = new ArrayList<>();
        held.forEach((key, call) -> {
            if (nowMillis - call.reservedAtMillis() >= SETTLEMENT_TIMEOUT_MILLIS) {
                overdue.add(key);
            }
        });
        overdue.forEach(this::billInFull);
    }
}
