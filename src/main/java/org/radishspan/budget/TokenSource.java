package org.radishspan.budget;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.Failure;

/** Reserves tokens of budgets for calls, and bills them. */
public interface TokenSource {

    /**
     * Tokens reserved for one call.
     *
     * @param budget the name of the budget
     * @param tokens the maximum number of tokens that may be billed for the call
     * @param keeper the VM that holds the share; an empty string for this router's share
     * @param callId identifies the reservation at that VM; 0 for this router's share
     * @param localReservation the reservation in this router's share; empty if another router holds the share
     */
    record ReservedTokens(
            String budget, long tokens, String keeper, long callId, Optional<Reservation> localReservation) {}

    /**
     * The tokens of a budget that a router holds, as reported with its refusal of a request.
     *
     * @param keeper the VM of the router; an empty string for this router
     * @param grantedTokens the tokens that the ledger granted it
     * @param availableTokens the granted tokens that calls may reserve
     * @param reservedTokens the granted tokens that are reserved by calls in progress
     */
    record Holding(String keeper, long grantedTokens, long availableTokens, long reservedTokens) {}

    /**
     * The refusal of a call, with the figures that it is based on.
     *
     * @param failure the reason
     * @param keeper the VM that refused the call last; an empty string for this router
     * @param unspentTokens the unspent tokens of the whole fleet; empty if that router has not received them from the
     *     ledger yet
     * @param ledgerUnansweredMillis for how long the ledger has answered no grant or give-back request of that router; 0
     *     below the time-out
     * @param boundRemainingMillis the time until its share can spend the tokens without the ledger; 0 if it holds too few
     * @param holdings the tokens held by the routers that refused the call, in the order of the requests
     * @param needsTopUp whether the fleet has too few tokens for the call until the budget is topped up
     */
    record Refusal(
            Failure failure,
            String keeper,
            OptionalLong unspentTokens,
            long ledgerUnansweredMillis,
            long boundRemainingMillis,
            List<Holding> holdings,
            boolean needsTopUp) {}

    /**
     * Reserves tokens now or as soon as they are available. The call is refused if they do not become available in time.
     *
     * @param deferrable whether the call may not use the tokens that are reserved for urgent calls
     * @param done receives the reserved tokens or the refusal, possibly before this method returns
     */
    void reserve(String budget, long tokens, boolean deferrable, Consumer<Either<Refusal, ReservedTokens>> done);

    /**
     * Reserves tokens as above for a call with a deadline, which bounds how long it waits for tokens.
     *
     * @param remainingMillis the time until the deadline
     */
    default void reserve(
            String budget,
            long tokens,
            boolean deferrable,
            long remainingMillis,
            Consumer<Either<Refusal, ReservedTokens>> done) {
        reserve(budget, tokens, deferrable, done);
    }

    /** Frees the tokens of a call that is not billed. */
    void cancel(ReservedTokens reserved);

    /**
     * Bills a call.
     *
     * @param done called once the bill has been taken over by the ledger, a holder or the keeper, or with the failure if the
     *     bill is lost
     */
    void bill(ReservedTokens reserved, long tokens, Consumer<Either<Failure, Void>> done);
}
