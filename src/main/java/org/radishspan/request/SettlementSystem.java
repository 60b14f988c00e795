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

/** Commits the bill of a whole answer, then releases the answer's last part. */
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

    void bill(Request request) {
        TargetAnswer answer = request.answer;
        Reservation reservation = request.reservation;
        if (answer == null || reservation == null) {
            finisher.fail(request, Failure.ran(ErrorKind.INTERNAL, "a request without an answer came to be billed"));
            return;
        }
        request.phase = Request.Phase.BILLING;
        long tokens = Math.min(answer.billedTokens(), reservation.tokens());
        Journal.Attempt claim = request.claim;
        if (claim == null) {
            request.reservation = null;
            shares.bill(reservation, tokens, result -> onBilled(request, answer, tokens, result));
            return;
        }
        commitOutcome(request, claim, answer, reservation, tokens);
    }

    private void onBilled(Request request, TargetAnswer answer, long tokens, Either<Failure, Void> result) {
        if (result.isLeft()) {
            finisher.fail(request, result.getLeft());
            return;
        }
        counters.billedTokens += tokens;
        release(request, answer);
    }

    private void commitOutcome(
            Request request, Journal.Attempt claim, TargetAnswer answer, Reservation reservation, long tokens) {
        request.reservation = null;
        Optional<Long> keyedSeq = shares.openKeyedBill(reservation);
        if (keyedSeq.isEmpty()) {
            rebill(request, reservation, tokens);
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
                        Journal.complete(claim, answer.outcome(), bill, retention),
                        result -> onOutcome(request, claim, answer, reservation, bill, result));
    }

    /** Reserves again after the share was lost; nothing of this request is billed yet. */
    private void rebill(Request request, Reservation lost, long tokens) {
        shares.reserve(lost.budget(), Math.max(1, tokens), result -> {
            if (result.isLeft()) {
                counters.unbilledOutcomes++;
                finisher.fail(request, Failure.ran(ErrorKind.SHARE_LOST, "the share was lost before the bill"));
                return;
            }
            request.reservation = result.get();
            table.moveTo(request, Request.Phase.BILL);
        });
    }

    private void onOutcome(
            Request request,
            Journal.Attempt claim,
            TargetAnswer answer,
            Reservation reservation,
            BillState bill,
            Either<Failure, JournalState> result) {
        claims.recorded(claim);
        request.claim = null;
        if (result.isLeft()) {
            shares.resolveKeyedBill(reservation, bill.getKeyedSeq(), 0);
            finisher.fail(request, result.getLeft());
            return;
        }
        shares.resolveKeyedBill(reservation, bill.getKeyedSeq(), bill.getTokens());
        counters.billedTokens += bill.getTokens();
        release(request, answer);
    }

    private void release(Request request, TargetAnswer answer) {
        counters.answered++;
        if (!request.callerGone) {
            sendLast(request, answer);
        }
        finisher.finish(request);
    }

    private static void sendLast(Request request, TargetAnswer answer) {
        Map<String, String> headers = Map.of("x-request-id", request.requestId);
        if (request.spec.stream() && answer instanceof ChatAnswer chat) {
            request.reply.startStream(ServerSentEvents.CONTENT_TYPE, headers);
            request.reply.write(chat.heldEvents());
            request.reply.end();
            return;
        }
        Journal.Outcome outcome = answer.outcome();
        request.reply.respond(
                outcome.status(), outcome.contentType(), outcome.body().toByteArray(), headers);
    }
}
