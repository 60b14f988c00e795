package org.radishspan.journal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;
import java.util.function.UnaryOperator;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.BillState;
import org.radishspan.proto.IntentState;
import org.radishspan.proto.IntentState.Phase;
import org.radishspan.proto.JournalState;
import org.radishspan.store.SharedObject.Codec;
import org.radishspan.store.SharedObject.Mutation;

/**
 * The idempotent mutations of a journal object, which records requests that carry an idempotency key.
 *
 * <p>An intent is committed before the request is dispatched. Its outcome and its bill are committed together before
 * the answer is sent, and only by the attempt that owns the intent. A second attempt is dispatched only if the first
 * one is known not to have been dispatched, or if the request is repeatable and the owner's process has been closed.
 */
public final class Journal {
    /** Converts a journal object to its stored bytes and back. */
    public static final Codec<JournalState> CODEC = new Codec<>(Journal::decode, JournalState::toByteArray);

    /** Keeps a journal object below the platform's limit of one megabyte per value. */
    private static final int MAX_OBJECT_BYTES = 800_000;

    private static final int MAX_CLOSED_INCARNATIONS = 4_096;

    private Journal() {}

    /**
     * One attempt of one router process to handle a request.
     *
     * @param key the workspace and the idempotency key
     * @param incarnation the incarnation of the router process
     * @param attempt the number of the attempt within the process
     */
    public record Attempt(String key, String incarnation, long attempt) {}

    /**
     * The details of a request that a claim records.
     *
     * @param requestId the id of the request in calls to targets
     * @param fingerprint a hash of the request; a different request with the same key is refused
     * @param repeatable whether another process may run the request again after the first one has been closed
     * @param createdMillis the time of the claim, in milliseconds
     */
    public record Details(String requestId, String fingerprint, boolean repeatable, long createdMillis) {}

    /**
     * The limits for keeping outcomes.
     *
     * @param keepMillis the minimum time for which an outcome is kept, in milliseconds
     * @param maxIntents the maximum number of intents in a partition; new claims above it are refused, because
     *     removing an intent would allow its request to run again
     * @param maxAnswerBytes the maximum size of an answer that is kept; a request with a longer answer is still not
     *     run again
     */
    public record Retention(long keepMillis, int maxIntents, int maxAnswerBytes) {
        private boolean isFull(JournalState.Builder journal, long bytes) {
            return journal.getIntentsCount() >= maxIntents || bytes > MAX_OBJECT_BYTES - maxAnswerBytes;
        }
    }

    /**
     * The answer to a request, as it is recorded.
     *
     * @param status the HTTP status
     * @param contentType the content type of the body
     * @param body the whole body
     */
    public record Outcome(int status, String contentType, ByteString body) {}

    /**
     * Returns a mutation that claims a request for an attempt. If another attempt holds the claim, or the fingerprint
     * differs from that of the existing intent, the state stays unchanged and the caller reads the existing intent
     * from it. A claim is refused if the process has been closed or the journal is full.
     *
     * @param ownAttemptActive whether the attempt of this process with the given number is still in progress
     */
    public static Mutation<JournalState> claim(
            Attempt attempt, Details details, Retention retention, LongPredicate ownAttemptActive) {
        return state -> {
            if (state.getClosedIncarnationsList().contains(attempt.incarnation())) {
                return Either.left(Failure.notRun(
                        ErrorKind.DRAINING, "this router process was closed and accepts no new requests"));
            }
            IntentState existing = state.getIntentsMap().get(attempt.key());
            if (existing != null && !claimable(existing, attempt, ownAttemptActive)) {
                return Either.right(state);
            }
            if (existing != null && !existing.getFingerprint().equals(details.fingerprint())) {
                return Either.right(state);
            }
            JournalState.Builder builder = withoutExpired(state, details.createdMillis(), retention);
            if (existing == null && retention.isFull(builder, state.getSerializedSize())) {
                return Either.left(Failure.notRun(ErrorKind.OVERLOADED, "the journal partition is full")
                        .retryAfter(retention.keepMillis()));
            }
            return Either.right(builder.putIntents(attempt.key(), newIntent(attempt, details))
                    .build());
        };
    }

    private static boolean claimable(IntentState existing, Attempt attempt, LongPredicate ownAttemptActive) {
        if (existing.getPhase() == Phase.RELEASED) {
            return true;
        }
        // A process has a record of which of its own attempts may have been dispatched. It may replace the claims of
        // its other attempts.
        return existing.getPhase() == Phase.RUNNING
                && existing.getIncarnation().equals(attempt.incarnation())
                && existing.getAttempt() != attempt.attempt()
                && !ownAttemptActive.test(existing.getAttempt());
    }

    private static IntentState newIntent(Attempt attempt, Details details) {
        return IntentState.newBuilder()
                .setKey(attempt.key())
                .setRequestId(details.requestId())
                .setIncarnation(attempt.incarnation())
                .setAttempt(attempt.attempt())
                .setPhase(Phase.RUNNING)
                .setCreatedMillis(details.createdMillis())
                .setFingerprint(details.fingerprint())
                .setRepeatable(details.repeatable())
                .build();
    }

    private static JournalState.Builder withoutExpired(JournalState state, long nowMillis, Retention retention) {
        JournalState.Builder builder = state.toBuilder();
        for (IntentState intent : state.getIntentsMap().values()) {
            boolean finished = intent.getPhase() != Phase.RUNNING;
            if (finished && nowMillis - intent.getCreatedMillis() > retention.keepMillis()) {
                builder.removeIntents(intent.getKey());
            }
        }
        return builder;
    }

    /**
     * Returns a mutation that records the outcome of an attempt and its bill. It is refused if the attempt does not own
     * the claim any more.
     *
     * @param bill the bill of the request, or null if there is none
     */
    public static Mutation<JournalState> complete(
            Attempt attempt, Outcome outcome, @Nullable BillState bill, Retention retention) {
        boolean answerKept = outcome.body().size() <= retention.maxAnswerBytes();
        return changeOwned(attempt, Phase.DONE, intent -> {
            IntentState.Builder builder = intent.toBuilder()
                    .setPhase(Phase.DONE)
                    .setStatus(outcome.status())
                    .setContentType(outcome.contentType())
                    .setAnswer(answerKept ? outcome.body() : ByteString.EMPTY)
                    .setAnswerDropped(!answerKept);
            if (bill != null) {
                builder.setBill(bill);
            }
            return builder.build();
        });
    }

    /** Returns a mutation that records that an attempt was dispatched and that its outcome cannot be determined. */
    public static Mutation<JournalState> recordUnknownOutcome(Attempt attempt) {
        return changeOwned(
                attempt,
                Phase.UNKNOWN,
                intent -> intent.toBuilder().setPhase(Phase.UNKNOWN).build());
    }

    /** Returns a mutation that removes the claim of an attempt that is known not to have been dispatched. */
    public static Mutation<JournalState> release(Attempt attempt) {
        return state -> {
            IntentState intent = state.getIntentsMap().get(attempt.key());
            if (intent == null || !owns(attempt, intent) || intent.getPhase() != Phase.RUNNING) {
                return Either.right(state);
            }
            return Either.right(state.toBuilder().removeIntents(attempt.key()).build());
        };
    }

    /**
     * Returns a mutation that closes a router process that is considered ended: its later claims and outcomes are
     * refused. Its claims on repeatable requests are released, and its other running requests get an unknown outcome.
     */
    public static Mutation<JournalState> close(String incarnation) {
        return state -> {
            if (state.getClosedIncarnationsList().contains(incarnation)) {
                return Either.right(state);
            }
            JournalState.Builder builder = state.toBuilder();
            for (IntentState intent : state.getIntentsMap().values()) {
                if (intent.getIncarnation().equals(incarnation) && intent.getPhase() == Phase.RUNNING) {
                    Phase phase = intent.getRepeatable() ? Phase.RELEASED : Phase.UNKNOWN;
                    builder.putIntents(
                            intent.getKey(), intent.toBuilder().setPhase(phase).build());
                }
            }
            List<String> closedIncarnations = new ArrayList<>(state.getClosedIncarnationsList());
            closedIncarnations.add(incarnation);
            while (closedIncarnations.size() > MAX_CLOSED_INCARNATIONS) {
                closedIncarnations.remove(0);
            }
            return Either.right(builder.clearClosedIncarnations()
                    .addAllClosedIncarnations(closedIncarnations)
                    .build());
        };
    }

    /**
     * Returns a mutation that changes the intent of an attempt. It changes nothing if the intent is in the new phase
     * already, and is refused if the attempt does not own the intent or its process has been closed.
     */
    private static Mutation<JournalState> changeOwned(
            Attempt attempt, Phase newPhase, UnaryOperator<IntentState> change) {
        return state -> {
            IntentState intent = state.getIntentsMap().get(attempt.key());
            if (intent == null || !owns(attempt, intent)) {
                return Either.left(claimLost(attempt));
            }
            if (intent.getPhase() == newPhase) {
                return Either.right(state);
            }
            boolean closed = state.getClosedIncarnationsList().contains(attempt.incarnation());
            if (intent.getPhase() != Phase.RUNNING || closed) {
                return Either.left(claimLost(attempt));
            }
            return Either.right(state.toBuilder()
                    .putIntents(attempt.key(), change.apply(intent))
                    .build());
        };
    }

    private static boolean owns(Attempt attempt, IntentState intent) {
        return intent.getIncarnation().equals(attempt.incarnation()) && intent.getAttempt() == attempt.attempt();
    }

    private static Failure claimLost(Attempt attempt) {
        return Failure.unknown(
                ErrorKind.OUTCOME_UNKNOWN, "the claim of " + attempt.key() + " is no longer held by this router");
    }

    private static JournalState decode(byte[] bytes) {
        try {
            return JournalState.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the content of the journal object cannot be decoded", e);
        }
    }
}
