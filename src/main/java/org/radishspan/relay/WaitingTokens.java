package org.radishspan.relay;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.radishspan.budget.TokenSource;
import org.radishspan.error.Failure;

/**
 * Decides which waiting requests keep their reserved tokens, and reserves tokens again for the others when it is their turn.
 *
 * <p>Tokens are reserved when a request arrives, so that a request whose budget is exhausted is refused at once. All waiting
 * requests of the fleet together may keep {@link #HELD_FRACTION} of a budget. A request that begins to wait beyond that returns
 * its tokens, so that requests that can be sent at other routers find them.
 */
final class WaitingTokens {
    /**
     * The fraction of a budget that waiting requests of all routers may hold. The users promise service only while more than
     * 3% of a budget is unspent; a third of that does not make other requests fail.
     */
    private static final double HELD_FRACTION = 0.01;

    /** The maximum number of waiting requests of a budget for which tokens were reserved again. More could not be sent soon. */
    private static final int MAX_RESERVED_AGAIN = 4;

    private enum State {
        KEPT,
        RETURNED,
        REQUESTED,
        RESERVED_AGAIN
    }

    private static final class WaitingRequest {
        final String budget;
        final long tokens;
        State state;

        WaitingRequest(String budget, long tokens, State state) {
            this.budget = budget;
            this.tokens = tokens;
            this.state = state;
        }
    }

    private final TokenMeter meter;
    private final IntSupplier liveRouters;
    private final Map<RelayRequest, WaitingRequest> waiting = new IdentityHashMap<>();
    private final Map<String, Long> keptByBudget = new HashMap<>();
    private final Map<String, Integer> reservedAgainByBudget = new HashMap<>();

    WaitingTokens(TokenMeter meter, IntSupplier liveRouters) {
        this.meter = meter;
        this.liveRouters = liveRouters;
    }

    /** Records that a request begins to wait. It keeps its tokens if the bound allows it; otherwise they are returned. */
    void onWaiting(RelayRequest request) {
        TokenSource.ReservedTokens reserved = request.reservedTokens;
        if (reserved == null) {
            return;
        }
        String budget = reserved.budget();
        long kept = keptByBudget.getOrDefault(budget, 0L) + reserved.tokens();
        // The tokens of a request that may have run are needed for its bill.
        boolean returned = request.sends == 0 && kept > maxKeptTokens(request);
        waiting.put(request, new WaitingRequest(budget, reserved.tokens(), returned ? State.RETURNED : State.KEPT));
        if (returned) {
            meter.settle(request, false);
            return;
        }
        keptByBudget.put(budget, kept);
    }

    private double maxKeptTokens(RelayRequest request) {
        long prepaidTokens = request.workspace
                .map(workspace -> workspace.prepaidTokens().orElse(0))
                .orElse(0L);
        return HELD_FRACTION * prepaidTokens / Math.max(1, liveRouters.getAsInt());
    }

    /**
     * Returns whether a request has the tokens that it needs to be sent. If they were returned, they are reserved again.
     *
     * @param onReserved run if the tokens are reserved later than during this call
     * @param onRefused run if they cannot be reserved, possibly during this call
     */
    boolean ready(RelayRequest request, Runnable onReserved, Consumer<Failure> onRefused) {
        WaitingRequest state = waiting.get(request);
        if (state == null || state.state == State.KEPT || state.state == State.RESERVED_AGAIN) {
            return true;
        }
        int reservedAgain = reservedAgainByBudget.getOrDefault(state.budget, 0);
        if (state.state == State.REQUESTED || reservedAgain >= MAX_RESERVED_AGAIN) {
            return false;
        }
        state.state = State.REQUESTED;
        reservedAgainByBudget.put(state.budget, reservedAgain + 1);
        boolean[] returnedYet = {false};
        meter.reserve(
                request,
                () -> {
                    state.state = State.RESERVED_AGAIN;
                    if (returnedYet[0]) {
                        onReserved.run();
                    }
                },
                onRefused);
        returnedYet[0] = true;
        return state.state == State.RESERVED_AGAIN;
    }

    /** Records that a request waits no longer. */
    void onLeft(RelayRequest request) {
        WaitingRequest left = waiting.remove(request);
        if (left == null) {
            return;
        }
        if (left.state == State.KEPT) {
            keptByBudget.merge(left.budget, -left.tokens, Long::sum);
        }
        if (left.state == State.REQUESTED || left.state == State.RESERVED_AGAIN) {
            reservedAgainByBudget.merge(left.budget, -1, Integer::sum);
        }
    }
}
