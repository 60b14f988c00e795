package org.radishspan.request;

import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import org.jspecify.annotations.Nullable;
import org.radishspan.http.Json;
import org.radishspan.journal.Journal;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * The response to a chat completion, received from the target as an event stream.
 *
 * <p>Every event must carry the id of the request and the next index. Events are relayed as they arrive, except for the
 * event with the usage and the end marker, which are withheld until the bill is committed.
 */
final class ChatResponse implements TargetResponse {
    private static final int OK = 200;

    /** The maximum size of all events of a stream, far above that of the longest completions. */
    private static final int MAX_STREAM_CHARACTERS = 8_388_608;

    private final String requestId;
    private final String model;
    private final Consumer<byte[]> relay;
    private final StringBuilder content = new StringBuilder();
    private ServerSentEvents events = new ServerSentEvents();
    private int nextIndex;
    private int eventCharacters;
    private @Nullable JsonNode usage;
    private String lastEvent = "";
    private String finishReason = "stop";
    private boolean ended;

    /**
     * Creates a response without any event.
     *
     * @param relay receives the encoded events that may be sent to the caller at once
     */
    ChatResponse(String requestId, String model, Consumer<byte[]> relay) {
        this.requestId = requestId;
        this.model = model;
        this.relay = relay;
    }

    /** Returns the index that the next event must have. */
    int nextIndex() {
        return nextIndex;
    }

    /** Discards a partially received event before the stream is resumed on another connection. */
    void discardPartialEvent() {
        events = new ServerSentEvents();
    }

    @Override
    public boolean onHead(int status, String contentType) {
        return status == OK;
    }

    @Override
    public Verdict onBody(byte[] bytes) {
        Verdict verdict = Verdict.ACCEPTED;
        for (String data : events.feed(bytes)) {
            Verdict eventVerdict = onEvent(data);
            if (eventVerdict == Verdict.MALFORMED) {
                return eventVerdict;
            }
            if (eventVerdict == Verdict.DROPPED) {
                verdict = eventVerdict;
            }
        }
        return verdict;
    }

    private Verdict onEvent(String data) {
        if (ended) {
            return Verdict.DROPPED;
        }
        if (data.equals(ServerSentEvents.DONE)) {
            ended = usage != null;
            return ended ? Verdict.ACCEPTED : Verdict.MALFORMED;
        }
        Optional<ObjectNode> parsed = Json.parseObject(data.getBytes(UTF_8));
        if (parsed.isEmpty()) {
            return Verdict.MALFORMED;
        }
        ObjectNode event = parsed.get();
        if (!event.path("id").asText().equals(requestId)) {
            return Verdict.DROPPED;
        }
        int index = event.path("index").asInt(-1);
        if (index < nextIndex) {
            return Verdict.DROPPED;
        }
        if (index > nextIndex || usage != null) {
            return Verdict.MALFORMED;
        }
        eventCharacters += data.length();
        if (eventCharacters > MAX_STREAM_CHARACTERS) {
            return Verdict.MALFORMED;
        }
        nextIndex++;
        applyEvent(event, data);
        return Verdict.ACCEPTED;
    }

    private void applyEvent(ObjectNode event, String data) {
        if (event.path("usage").isObject()) {
            usage = event.path("usage");
            lastEvent = data;
            finishReason = event.path("choices").path(0).path("finish_reason").asText(finishReason);
            return;
        }
        content.append(
                event.path("choices").path(0).path("delta").path("content").asText(""));
        relay.accept(ServerSentEvents.encode(data));
    }

    @Override
    public boolean isComplete() {
        return ended;
    }

    @Override
    public long billedTokens() {
        JsonNode reportedUsage = usage;
        if (reportedUsage == null) {
            return 0;
        }
        return Math.max(
                0,
                reportedUsage.path("prompt_tokens").asLong()
                        + reportedUsage.path("completion_tokens").asLong());
    }

    @Override
    public int status() {
        return OK;
    }

    /** Returns the encoded events that were withheld: the event with the usage and the end marker. */
    byte[] withheldEvents() {
        return (new String(ServerSentEvents.encode(lastEvent), UTF_8)
                        + new String(ServerSentEvents.encode(ServerSentEvents.DONE), UTF_8))
                .getBytes(UTF_8);
    }

    @Override
    public Journal.Outcome outcome() {
        ObjectNode message = Json.object();
        message.put("role", "assistant");
        message.put("content", content.toString());
        ObjectNode choice = Json.object();
        choice.put("index", 0);
        choice.set("message", message);
        choice.put("finish_reason", finishReason);
        ObjectNode completion = Json.object();
        completion.put("id", requestId);
        completion.put("object", "chat.completion");
        completion.put("model", model);
        completion.set("choices", Json.array().add(choice));
        if (usage != null) {
            completion.set("usage", usage);
        }
        return new Journal.Outcome(OK, Json.CONTENT_TYPE, ByteString.copyFromUtf8(completion.toString()));
    }

    /** Returns a stored chat completion encoded as the events of a stream. */
    static byte[] asEvents(byte[] storedResponse) {
        ObjectNode completion = Json.parseObject(storedResponse).orElseThrow();
        ObjectNode delta = Json.object();
        delta.set("content", completion.path("choices").path(0).path("message").path("content"));
        ObjectNode choice = Json.object();
        choice.put("index", 0);
        choice.set("delta", delta);
        ObjectNode first = event(completion, choice);
        ObjectNode lastChoice = Json.object();
        lastChoice.put("index", 0);
        lastChoice.set("delta", Json.object());
        lastChoice.set("finish_reason", completion.path("choices").path(0).path("finish_reason"));
        ObjectNode last = event(completion, lastChoice);
        last.set("usage", completion.path("usage"));
        return ("data: " + first + "\n\ndata: " + last + "\n\ndata: " + ServerSentEvents.DONE + "\n\n").getBytes(UTF_8);
    }

    private static ObjectNode event(ObjectNode completion, ObjectNode choice) {
        ObjectNode event = Json.object();
        event.set("id", completion.path("id"));
        event.put("object", "chat.completion.chunk");
        event.set("model", completion.path("model"));
        event.set("choices", Json.array().add(choice));
        return event;
    }
}
