package org.radishspan.request;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.journal.Journal;
import org.radishspan.journal.JournalPartitions;
import org.radishspan.proto.IntentState;
import org.radishspan.proto.IntentState.Phase;
import org.radishspan.proto.JournalState;
import org.radishspan.store.SharedObject;

/**
 * Claims requests that carry an idempotency key in a journal before they run, so that only one attempt at a time may
 * run, and responds to repeated calls with the recorded outcome.
 */
final class ClaimSystem {
    private static final long POLL_MILLIS = 200;

    private final String incarnation;
    private final JournalPartitions journals;
    private final Journal.Retention retention;
    private final long awaitMillis;
    private final RequestTable table;
    private final RequestCounters counters;
    private final Finisher finisher;
    private final Set<Long> activeAttempts = new HashSet<>();
    private long attemptCount;

    ClaimSystem(
            String incarnation,
            JournalPartitions journals,
            Journal.Retention retention,
            long awaitMillis,
            RequestTable table,
            RequestCounters counters,
            Finisher finisher) {
        this.incarnation = incarnation;
        this.journals = journals;
        this.retention = retention;
        this.awaitMillis = awaitMillis;
        this.table = table;
        this.counters = counters;
        this.finisher = finisher;
    }

    private static String journalKey(CallSpec spec) {
        return journalKey(spec.workspace(), String.valueOf(spec.idempotencyKey()));
    }

    /** Returns the key of an intent in its journal. */
    static String journalKey(String workspace, String idempotencyKey) {
        return workspace + "/" + idempotencyKey;
    }

    /** Submits a claim of the request to its journal; the result decides the next phase of the request. */
    void claim(Request request, long nowMillis) {
        if (request.pollUntilMillis == 0) {
            request.pollUntilMillis = nowMillis + awaitMillis;
        }
        request.phase = Request.Phase.CLAIMING;
        attemptCount++;
        Journal.Attempt attempt = new Journal.Attempt(journalKey(request.spec), incarnation, attemptCount);
        request.claim = attempt;
        activeAttempts.add(attempt.attempt());
        Journal.Details details = new Journal.Details(
                request.requestId, request.spec.fingerprint(), request.spec.repeatable(), nowMillis);
        SharedObject<JournalState> journal = journals.of(attempt.key());
        journal.submit(
                Journal.claim(attempt, details, retention, activeAttempts::contains),
                result -> onClaimed(request, attempt, result));
    }

    private void onClaimed(Request request, Journal.Attempt attempt, Either<Failure, JournalState> result) {
        if (request.phase != Request.Phase.CLAIMING) {
            // The request has already ended, for example at its deadline; it was not dispatched.
            release(attempt);
            return;
        }
        if (result.isLeft()) {
            activeAttempts.remove(attempt.attempt());
            request.claim = null;
            Failure failure = result.getLeft();
            finisher.fail(request, Failure.notRun(failure.kind(), failure.message()));
            return;
        }
        IntentState intent = result.get().getIntentsMap().get(attempt.key());
        if (intent == null) {
            // Another attempt held the key and released it within the same commit, so the claim is tried again.
            activeAttempts.remove(attempt.attempt());
            request.claim = null;
            request.phase = Request.Phase.AWAIT_OTHER_ATTEMPT;
            return;
        }
        boolean ownedByThisAttempt =
                intent.getIncarnation().equals(incarnation) && intent.getAttempt() == attempt.attempt();
        if (ownedByThisAttempt && intent.getPhase() == Phase.RUNNING) {
            table.moveTo(request, Request.Phase.ADMIT);
            return;
        }
        activeAttempts.remove(attempt.attempt());
        request.claim = null;
        onHeldByOtherAttempt(request, intent);
    }

    private void onHeldByOtherAttempt(Request request, IntentState intent) {
        if (!intent.getFingerprint().equals(request.spec.fingerprint())) {
            finisher.fail(
                    request,
                    Failure.notRun(
                            ErrorKind.KEY_REUSED, "the idempotency key was already used for a different request"));
            return;
        }
        if (intent.getPhase() == Phase.DONE) {
            replay(request, intent);
            return;
        }
        if (intent.getPhase() == Phase.UNKNOWN) {
            finisher.fail(
                    request,
                    Failure.unknown(
                            ErrorKind.OUTCOME_UNKNOWN,
                            "an earlier attempt was sent to a target and its outcome is unknown"));
            return;
        }
        request.phase = Request.Phase.AWAIT_OTHER_ATTEMPT;
    }

    private void replay(Request request, IntentState intent) {
        if (intent.getAnswerDropped()) {
            finisher.fail(
                    request,
                    Failure.ran(
                            ErrorKind.ANSWER_NOT_KEPT,
                            "the request already ran; its response was too long to be stored"));
            return;
        }
        counters.replayed++;
        byte[] response = intent.getAnswer().toByteArray();
        Map<String, String> headers = Map.of("x-request-id", intent.getRequestId(), "x-replayed", "true");
        if (request.spec.stream()) {
            request.callerResponse.startStream(ServerSentEvents.CONTENT_TYPE, headers);
            request.callerResponse.write(ChatResponse.asEvents(response));
            request.callerResponse.end();
        } else {
            request.callerResponse.respond(intent.getStatus(), intent.getContentType(), response, headers);
        }
        finisher.finish(request);
    }

    /**
     * Checks every {@value #POLL_MILLIS} ms whether the other attempt has ended, by reading the journal and claiming
     * again. The request fails as still in progress when the maximum waiting time has passed.
     */
    void poll(Request request, long nowMillis) {
        if (nowMillis < request.nextPollAtMillis) {
            return;
        }
        if (nowMillis >= request.pollUntilMillis) {
            finisher.fail(
                    request,
                    Failure.unknown(ErrorKind.IN_PROGRESS, "another attempt at the same request is still in progress")
                            .retryAfter(awaitMillis));
            return;
        }
        request.nextPollAtMillis = nowMillis + POLL_MILLIS;
        journals.of(journalKey(request.spec)).refresh();
        table.moveTo(request, Request.Phase.CLAIM);
    }

    /** Releases the claim of an attempt that no target executed or that may be repeated. */
    void release(Journal.Attempt attempt) {
        journals.of(attempt.key()).submit(Journal.release(attempt), result -> activeAttempts.remove(attempt.attempt()));
    }

    /** Records that an attempt was dispatched and that its outcome cannot be determined. */
    void recordUnknownOutcome(Journal.Attempt attempt) {
        journals.of(attempt.key())
                .submit(Journal.recordUnknownOutcome(attempt), result -> activeAttempts.remove(attempt.attempt()));
    }

    /** Ends the tracking of an attempt whose outcome commit has completed or failed. */
    void onOutcomeRecorded(Journal.Attempt attempt) {
        activeAttempts.remove(attempt.attempt());
    }
}
