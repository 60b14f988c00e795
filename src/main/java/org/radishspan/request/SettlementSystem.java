package org.radishspan.request;

import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.radishspan.budget.Reservation;
import org.radishspan.budget.ShareSystem;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.journal.Journal;
import org.radishspan.journal.JournalPartitions;
import org.radishspan.proto.BillState;
import org.radishspan.proto.JournalState;

/**
 * Commits the bill of a complete response and only then sends the caller the withheld end of a stream, or the whole
 * response if it is not streamed.
 */
final class SettlementSystem {
    private final RequestTable table;
    private final RequestCounters counters;
    private final ShareSystem shares;
    private final JournalPartitions journals;
    private final ClaimSystem claims;
    private final Finisher finisher;
    private final Journal.Retention retention;

    SettlementSystem(
            RequestTable table,
            RequestCounters counters,
            ShareSystem shares,
            JournalPartitions journals,
            ClaimSystem claims,
            Finisher finisher,
            Journal.Retention retention) {
        this.table = table;
        this.counters = counters;
        this.shares = shares;
        this.journals = journals;
        this.claims = claims;
        this.finisher = finisher;
        this.retention = retention;
    }

    /**
     * Bills the tokens of a complete response, but not more than were reserved. For a request with an idempotency key,
     * the bill is committed together with the outcome in the journal.
     */
    void bill(Request request) {
        TargetResponse response = request.response;
        Reservation reservation = request.reservation;
        if (response == null || reservation == null) {
            finisher.fail(
                    request,
                    Failure.ran(ErrorKind.INTERNAL, "a request without a response or reservation reached billing"));
            return;
        }
        request.phase = Request.Phase.BILLING;
        long tokens = Math.min(response.billedTokens(), reservation.tokens());
        Journal.Attempt claim = request.claim;
        if (claim == null) {
            request.reservation = null;
            shares.bill(reservation, tokens, result -> onBilled(request, response, tokens, result));
            return;
        }
        commitOutcome(request, claim, response, reservation, tokens);
    }

    private void onBilled(Request request, TargetResponse response, long tokens, Either<Failure, Void> result) {
        if (result.isLeft()) {
            finisher.fail(request, result.getLeft());
            return;
        }
        counters.billedTokens += tokens;
        deliver(request, response);
    }

    private void commitOutcome(
            Request request, Journal.Attempt claim, TargetResponse response, Reservation reservation, long tokens) {
        request.reservation = null;
        Optional<Long> keyedSeq = shares.openKeyedBill(reservation);
        if (keyedSeq.isEmpty()) {
            reserveAgain(request, reservation, tokens);
            return;
        }
        BillState bill = BillState.newBuilder()
                .setBudget(reservation.budget())
                .setShareId(reservation.shareId())
                .setKeyedSeq(keyedSeq.get())
                .setTokens(tokens)
                .build();
        journals.of(claim.key())
                .submit(
                        Journal.complete(claim, response.outcome(), bill, retention),
                        result -> onOutcomeCommitted(request, claim, response, reservation, bill, result));
    }

    /**
     * Reserves the tokens again because the share with the reservation was lost before the bill was opened. If that
     * fails, the request fails without being billed.
     */
    private void reserveAgain(Request request, Reservation lostReservation, long tokens) {
        shares.reserve(lostReservation.budget(), Math.max(1, tokens), result -> {
            if (result.isLeft()) {
                counters.unbilledOutcomes++;
                finisher.fail(
                        request,
                        Failure.ran(
                                ErrorKind.SHARE_LOST,
                                "the router lost its share of the budget before the request was billed"));
                return;
            }
            request.reservation = result.get();
            table.moveTo(request, Request.Phase.BILL);
        });
    }

    private void onOutcomeCommitted(
            Request request,
            Journal.Attempt claim,
            TargetResponse response,
            Reservation reservation,
            BillState bill,
            Either<Failure, JournalState> result) {
        claims.onOutcomeRecorded(claim);
        request.claim = null;
        if (result.isLeft()) {
            shares.resolveKeyedBill(reservation, bill.getKeyedSeq(), 0);
            finisher.fail(request, result.getLeft());
            return;
        }
        shares.resolveKeyedBill(reservation, bill.getKeyedSeq(), bill.getTokens());
        counters.billedTokens += bill.getTokens();
        deliver(request, response);
    }

    private void deliver(Request request, TargetResponse response) {
        counters.answered++;
        if (!request.callerDisconnected) {
            sendRemainder(request, response);
        }
        finisher.finish(request);
    }

    private static void sendRemainder(Request request, TargetResponse response) {
        Map<String, String> headers = Map.of("x-request-id", request.requestId);
        if (request.spec.stream() && response instanceof ChatResponse chat) {
            request.callerResponse.startStream(ServerSentEvents.CONTENT_TYPE, headers);
            request.callerResponse.write(chat.withheldEvents());
            request.callerResponse.end();
            return;
        }
        Journal.Outcome outcome = response.outcome();
        request.callerResponse.respond(
                outcome.status(), outcome.contentType(), outcome.body().toByteArray(), headers);
    }
}
