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

/** Claims requests with an idempotency key before they run, and answers repeated ones from the journal. */
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

    static String journalKey(String workspace, String idempotencyKey) {
        return workspace + "/" + idempotencyKey;
    }

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
            // The caller got its answer meanwhile; the request was not dispatched.
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
            // Another attempt held the key and released it in the same commit.
            activeAttempts.remove(attempt.attempt());
            request.claim = null;
            request.phase = Request.Phase.AWAIT_OTHER;
            return;
        }
        boolean mine = intent.getIncarnation().equals(incarnation) && intent.getAttempt() == attempt.attempt();
        if (mine && intent.getPhase() == Phase.RUNNING) {
            table.moveTo(request, Request.Phase.ADMIT);
            return;
        }
        activeAttempts.remove(attempt.attempt());
        request.claim = null;
        onOther(request, intent);
    }

    private void onOther(Request request, IntentState intent) {
        if (!intent.getFingerprint().equals(request.spec.fingerprint())) {
            finisher.fail(
                    request,
                    Failure.notRun(ErrorKind.KEY_REUSED, "the idempotency key was used before for another request"));
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
                            ErrorKind.OUTCOME_UNKNOWN, "an earlier attempt was dispatched and its outcome is unknown"));
            return;
        }
        request.phase = Request.Phase.AWAIT_OTHER;
    }

    private void replay(Request request, IntentState intent) {
        if (intent.getAnswerDropped()) {
            finisher.fail(
                    request,
                    Failure.ran(ErrorKind.ANSWER_NOT_KEPT, "the request ran once; its answer was too long to keep"));
            return;
        }
        counters.replayed++;
        byte[] answer = intent.getAnswer().toByteArray();
        Map<String, String> headers = Map.of("x-request-id", intent.getRequestId(), "x-replayed", "true");
        if (request.spec.stream()) {
            request.reply.startStream(ServerSentEvents.CONTENT_TYPE, headers);
            request.reply.write(ChatAnswer.asEvents(answer));
            request.reply.end();
        } else {
            request.reply.respond(intent.getStatus(), intent.getContentType(), answer, headers);
        }
        finisher.finish(request);
    }

    /** Looks again, now and then, whether the other attempt has ended. */
    void poll(Request request, long nowMillis) {
        if (nowMillis < request.nextPollAtMillis) {
            return;
        }
        if (nowMillis >= request.pollUntilMillis) {
            finisher.fail(
                    request,
                    Failure.unknown(ErrorKind.IN_PROGRESS, "the same request is still running")
                            .retryAfter(awaitMillis));
            return;
        }
        request.nextPollAtMillis = nowMillis + POLL_MILLIS;
        journals.of(journalKey(request.spec)).refresh();
        table.moveTo(request, Request.Phase.CLAIM);
    }

    /** Frees the claim of an attempt that was certainly not dispatched. */
    void release(Journal.Attempt attempt) {
        journals.of(attempt.key()).submit(Journal.release(attempt), result -> activeAttempts.remove(attempt.attempt()));
    }

    /** Records that an attempt was dispatched and that its outcome cannot be found out. */
    void giveUp(Journal.Attempt attempt) {
        journals.of(attempt.key()).submit(Journal.giveUp(attempt), result -> activeAttempts.remove(attempt.attempt()));
    }

    /** Says that the outcome of an attempt is recorded. */
    void recorded(Journal.Attempt attempt) {
        activeAttempts.remove(attempt.attempt());
    }
}
