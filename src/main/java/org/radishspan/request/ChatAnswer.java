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
 * The event stream of a chat completion.
 *
 * <p>Every event must carry the request's id and the next index. The event with the usage, and the end mark, are kept
 * back until the bill is committed.
 */
final class ChatAnswer implements TargetAnswer {
    private static final int OK = 200;

    private final String requestId;
    private final String model;
    private final Consumer<byte[]> relay;
    private final StringBuilder content = new StringBuilder();
    private ServerSentEvents events = new ServerSentEvents();
    private int nextIndex;
    private @Nullable JsonNode usage;
    private String lastEvent = "";
    private String finishReason = "stop";
    private boolean ended;

    ChatAnswer(String requestId, String model, Consumer<byte[]> relay) {
        this.requestId = requestId;
        this.model = model;
        this.relay = relay;
    }

    /** Returns the index of the event that must come next. */
    int nextIndex() {
        return nextIndex;
    }

    /** Forgets a half-received event before the stream is taken up again on another connection. */
    void restartEvents() {
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
            Verdict one = onEvent(data);
            if (one == Verdict.BROKEN) {
                return one;
            }
            if (one == Verdict.DROPPED) {
                verdict = one;
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
            return ended ? Verdict.ACCEPTED : Verdict.BROKEN;
        }
        Optional<ObjectNode> parsed = Json.parseObject(data.getBytes(UTF_8));
        if (parsed.isEmpty()) {
            return Verdict.BROKEN;
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
            return Verdict.BROKEN;
        }
        nextIndex++;
        take(event, data);
        return Verdict.ACCEPTED;
    }

    private void take(ObjectNode event, String data) {
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
    public boolean whole() {
        return ended;
    }

    @Override
    public long billedTokens() {
        JsonNode counted = usage;
        if (counted == null) {
            return 0;
        }
        return Math.max(
                0,
                counted.path("prompt_tokens").asLong()
                        + counted.path("completion_tokens").asLong());
    }

    @Override
    public int status() {
        return OK;
    }

    /** Returns the events that were kept back. */
    byte[] heldEvents() {
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
        ObjectNode whole = Json.object();
        whole.put("id", requestId);
        whole.put("object", "chat.completion");
        whole.put("model", model);
        whole.set("choices", Json.array().add(choice));
        if (usage != null) {
            whole.set("usage", usage);
        }
        return new Journal.Outcome(OK, Json.CONTENT_TYPE, ByteString.copyFromUtf8(whole.toString()));
    }

    /** Returns a kept answer as the events of a stream. */
    static byte[] asEvents(byte[] keptAnswer) {
        ObjectNode whole = Json.parseObject(keptAnswer).orElseThrow();
        ObjectNode delta = Json.object();
        delta.set("content", whole.path("choices").path(0).path("message").path("content"));
        ObjectNode choice = Json.object();
        choice.put("index", 0);
        choice.set("delta", delta);
        ObjectNode first = event(whole, choice);
        ObjectNode lastChoice = Json.object();
        lastChoice.put("index", 0);
        lastChoice.set("delta", Json.object());
        lastChoice.set("finish_reason", whole.path("choices").path(0).path("finish_reason"));
        ObjectNode last = event(whole, lastChoice);
        last.set("usage", whole.path("usage"));
        return ("data: " + first + "\n\ndata: " + last + "\n\ndata: " + ServerSentEvents.DONE + "\n\n").getBytes(UTF_8);
    }

    private static ObjectNode event(ObjectNode whole, ObjectNode choice) {
        ObjectNode event = Json.object();
        event.set("id", whole.path("id"));
        event.put("object", "chat.completion.chunk");
        event.set("model", whole.path("model"));
        event.set("choices", Json.array().add(choice));
        return event;
    }
}
