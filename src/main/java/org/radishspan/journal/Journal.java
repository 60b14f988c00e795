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
 * The idempotent mutations of a journal object.
 *
 * <p>An intent is committed before the request is dispatched. Its outcome, together with the bill, is committed before
 * the answer is released, and only by the attempt that owns the intent. An intent is never dispatched a second time
 * unless the first attempt is known not to have been dispatched, or the request may be repeated and its owner is closed.
 */
public final class Journal {
    /** Reads and writes a journal object. */
    public static final Codec<JournalState> CODEC = new Codec<>(Journal::decode, JournalState::toByteArray);

    private static final int MAX_OBJECT_BYTES = 800_000;
    private static final int MAX_CLOSED_INCARNATIONS = 4_096;

    private Journal() {}

    /**
     * One attempt of one router process at a request.
     *
     * @param key the workspace and its idempotency key
     * @param incarnation the router process
     * @param attempt counts the attempts of the process
     */
    public record Attempt(String key, String incarnation, long attempt) {}

    /**
     * What a claim records about the request.
     *
     * @param requestId the id under which targets know it
     * @param fingerprint a hash of the request; another one under the same key is refused
     * @param repeatable whether another process may run it again once the first is closed
     * @param createdMillis when the claim was made
     */
    public record Details(String requestId, String fingerprint, boolean repeatable, long createdMillis) {}

    /**
     * How long outcomes are kept, and how many.
     *
     * @param keepMillis an outcome is kept at least this long
     * @param maxIntents a partition with so many refuses new claims rather than forget one
     * @param maxAnswerBytes a longer answer is not kept; its request still never runs again
     */
    public record Retention(long keepMillis, int maxIntents, int maxAnswerBytes) {
        private boolean full(JournalState.Builder journal, long bytes) {
            return journal.getIntentsCount() >= maxIntents || bytes > MAX_OBJECT_BYTES - maxAnswerBytes;
        }
    }

    /**
     * The answer of a request as it is kept.
     *
     * @param status the HTTP status
     * @param contentType the type of the body
     * @param body the whole body
     */
    public record Outcome(int status, String contentType, ByteString body) {}

    /**
     * Claims a request; if somebody else holds it, the state is left as it is and says who.
     *
     * @param ownActive whether an attempt of this process is still in progress
     */
    public static Mutation<JournalState> claim(
            Attempt attempt, Details details, Retention retention, LongPredicate ownActive) {
        return state -> {
            if (state.getClosedIncarnationsList().contains(attempt.incarnation())) {
                return Either.left(
                        Failure.notRun(ErrorKind.DRAINING, "this router was taken for dead and takes no new requests"));
            }
            IntentState existing = state.getIntentsMap().get(attempt.key());
            if (existing != null && !claimable(existing, attempt, ownActive)) {
                return Either.right(state);
            }
            if (existing != null && !existing.getFingerprint().equals(details.fingerprint())) {
                return Either.right(state);
            }
            JournalState.Builder builder = withoutExpired(state, details.createdMillis(), retention);
            if (existing == null && retention.full(builder, state.getSerializedSize())) {
                return Either.left(Failure.notRun(ErrorKind.OVERLOADED, "the journal is full")
                        .retryAfter(retention.keepMillis()));
            }
            return Either.right(builder.putIntents(attempt.key(), newIntent(attempt, details))
                    .build());
        };
    }

    private static boolean claimable(IntentState existing, Attempt attempt, LongPredicate ownActive) {
        if (existing.getPhase() == Phase.RELEASED) {
            return true;
        }
        // A process knows of its own attempts whether they were dispatched.
        return existing.getPhase() == Phase.RUNNING
                && existing.getIncarnation().equals(attempt.incarnation())
                && existing.getAttempt() != attempt.attempt()
                && !ownActive.test(existing.getAttempt());
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

    /** Commits the outcome of an attempt and its bill. */
    public static Mutation<JournalState> complete(
            Attempt attempt, Outcome outcome, @Nullable BillState bill, Retention retention) {
        boolean kept = outcome.body().size() <= retention.maxAnswerBytes();
        return onOwned(attempt, Phase.DONE, intent -> {
            IntentState.Builder builder = intent.toBuilder()
                    .setPhase(Phase.DONE)
                    .setStatus(outcome.status())
                    .setContentType(outcome.contentType())
                    .setAnswer(kept ? outcome.body() : ByteString.EMPTY)
                    .setAnswerDropped(!kept);
            if (bill != null) {
                builder.setBill(bill);
            }
            return builder.build();
        });
    }

    /** Records that an attempt was dispatched and that its outcome cannot be found out. */
    public static Mutation<JournalState> giveUp(Attempt attempt) {
        return onOwned(
                attempt,
                Phase.UNKNOWN,
                intent -> intent.toBuilder().setPhase(Phase.UNKNOWN).build());
    }

    /** Removes the claim of an attempt that was certainly not dispatched. */
    public static Mutation<JournalState> release(Attempt attempt) {
        return state -> {
            IntentState intent = state.getIntentsMap().get(attempt.key());
            if (intent == null || !owns(attempt, intent) || intent.getPhase() != Phase.RUNNING) {
                return Either.right(state);
            }
            return Either.right(state.toBuilder().removeIntents(attempt.key()).build());
        };
    }

    /** Refuses every later claim and outcome of a router process that is taken for dead, and frees its claims. */
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
            List<String> closed = new ArrayList<>(state.getClosedIncarnationsList());
            closed.add(incarnation);
            while (closed.size() > MAX_CLOSED_INCARNATIONS) {
                closed.remove(0);
            }
            return Either.right(builder.clearClosedIncarnations()
                    .addAllClosedIncarnations(closed)
                    .build());
        };
    }

    private static Mutation<JournalState> onOwned(Attempt attempt, Phase target, UnaryOperator<IntentState> change) {
        return state -> {
            IntentState intent = state.getIntentsMap().get(attempt.key());
            if (intent == null || !owns(attempt, intent)) {
                return Either.left(closed(attempt));
            }
            if (intent.getPhase() == target) {
                return Either.right(state);
            }
            boolean fenced = state.getClosedIncarnationsList().contains(attempt.incarnation());
            if (intent.getPhase() != Phase.RUNNING || fenced) {
                return Either.left(closed(attempt));
            }
            return Either.right(state.toBuilder()
                    .putIntents(attempt.key(), change.apply(intent))
                    .build());
        };
    }

    private static boolean owns(Attempt attempt, IntentState intent) {
        return intent.getIncarnation().equals(attempt.incarnation()) && intent.getAttempt() == attempt.attempt();
    }

    private static Failure closed(Attempt attempt) {
        return Failure.unknown(
                ErrorKind.OUTCOME_UNKNOWN, "the claim of " + attempt.key() + " was taken from this router");
    }

    private static JournalState decode(byte[] bytes) {
        try {
            return JournalState.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the journal object holds no journal", e);
        }
    }
}
