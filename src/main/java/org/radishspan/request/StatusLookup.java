package org.radishspan.request;

import java.util.Locale;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.Json;
import org.radishspan.journal.JournalPartitions;
import org.radishspan.proto.IntentState;
import org.radishspan.proto.JournalState;

/** Looks up the recorded status and response of a request with an idempotency key, without executing it again. */
public final class StatusLookup {
    /** The path prefix of status lookups; the idempotency key follows. */
    public static final String PATH = "/v1/requests/";

    private final JournalPartitions journals;

    /** Creates a lookup that reads these journals. */
    public StatusLookup(JournalPartitions journals) {
        this.journals = journals;
    }

    /**
     * Looks up a request. The result is {@code {request_id, phase, ran, status?, answer?}}, or a failure of kind
     * {@code not_found} if the journal has no claim for the key.
     */
    public void find(String workspace, String idempotencyKey, Consumer<Either<Failure, ObjectNode>> done) {
        String key = ClaimSystem.journalKey(workspace, idempotencyKey);
        // A mutation that changes nothing completes with a state that was read after the mutation was submitted.
        journals.of(key).submit(Either::right, result -> done.accept(result.flatMap(state -> describe(state, key))));
    }

    private static Either<Failure, ObjectNode> describe(JournalState state, String key) {
        IntentState intent = state.getIntentsMap().get(key);
        if (intent == null || intent.getPhase() == IntentState.Phase.RELEASED) {
            return Either.left(Failure.notRun(ErrorKind.NOT_FOUND, "no request with this idempotency key was found"));
        }
        boolean done = intent.getPhase() == IntentState.Phase.DONE;
        ObjectNode node = Json.object();
        node.put("request_id", intent.getRequestId());
        node.put("phase", intent.getPhase().name().toLowerCase(Locale.ROOT));
        node.put("ran", (done ? Failure.Ran.YES : Failure.Ran.UNKNOWN).wireName());
        if (done) {
            node.put("status", intent.getStatus());
        }
        if (done && !intent.getAnswerDropped()) {
            node.put("answer", intent.getAnswer().toStringUtf8());
        }
        return Either.right(node);
    }
}
