package org.radishspan.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.ErrorResponse;
import org.radishspan.http.HttpCall;
import org.radishspan.http.HttpClient;
import org.radishspan.http.HttpServer;
import org.radishspan.http.Json;
import org.radishspan.routing.TargetTable.ListedVm;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * A stand-in for a model engine, for the demo and for trials.
 *
 * <p>It streams the words of the prompt's last message back, at most {@code max_tokens} of them, one word per event. A stream
 * can be resumed by request id and event index. A prompt that contains {@link #CRASH_MARKER} makes the engine close the
 * connection of the call without a response, as a crash would.
 */
public final class EngineStandIn {
    /** If the last message of a prompt contains this text, the engine closes the connection. */
    public static final String CRASH_MARKER = "crash-the-engine";

    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final int MAX_RETAINED_STREAMS = 1_000;

    private final TargetSettings settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final HttpServer server;
    private final Map<String, Generation> generations = new HashMap<>();
    private final List<String> retainedRequestIds = new ArrayList<>();
    private int running;

    /** The response to one request, retained so that its stream can be resumed. */
    private static final class Generation {
        private final String requestId;
        private final String model;
        private final int promptTokens;
        private final List<String> words;

        Generation(String requestId, String model, int promptTokens, List<String> words) {
            this.requestId = requestId;
            this.model = model;
            this.promptTokens = promptTokens;
            this.words = words;
        }

        /** Returns the event of a word; the event after the last word has the finish reason and the usage instead. */
        String event(int index) {
            ObjectNode choice = Json.object();
            choice.put("index", 0);
            ObjectNode delta = choice.putObject("delta");
            ObjectNode event = Json.object();
            event.put("id", requestId);
            event.put("object", "chat.completion.chunk");
            event.put("model", model);
            event.put("index", index);
            event.putArray("choices").add(choice);
            if (index < words.size()) {
                delta.put("content", words.get(index) + " ");
                choice.putNull("finish_reason");
                return event.toString();
            }
            choice.put("finish_reason", "stop");
            ObjectNode usage = event.putObject("usage");
            usage.put("prompt_tokens", promptTokens);
            usage.put("completion_tokens", words.size());
            usage.put("total_tokens", promptTokens + words.size());
            return event.toString();
        }
    }

    /** Binds the port and registers this target in the VM list of the platform. */
    public EngineStandIn(TargetSettings settings) {
        this.settings = settings;
        this.server = HttpServer.start(group, settings.host(), settings.port(), MAX_BODY_BYTES, this::handle);
        ListedVm ownEntry = new ListedVm(
                settings.name(), "engine", settings.host(), port(), settings.failureDomain(), false, settings.serves());
        HttpClient client = new HttpClient(group);
        loop.execute(() -> StandInClient.register(client, settings.platformHost(), settings.platformPort(), ownEntry));
    }

    /** Returns the port on which this stand-in accepts calls. */
    public int port() {
        return server.port();
    }

    /** Shuts the server down without waiting for calls in progress. */
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void handle(HttpCall call) {
        String path = call.path();
        if (path.equals("/load")) {
            call.respond(200, Json.CONTENT_TYPE, "{\"running\":" + running + ",\"queued\":0}");
            return;
        }
        if (path.equals("/v1/chat/completions")) {
            startGeneration(call);
            return;
        }
        if (path.startsWith("/v1/requests/") && path.endsWith("/stream")) {
            resume(call, path.substring("/v1/requests/".length(), path.length() - "/stream".length()));
            return;
        }
        ErrorResponse.send(
                call,
                Failure.notRun(
                        ErrorKind.NOT_FOUND,
                        "an engine serves /load, /v1/chat/completions and /v1/requests/ID/stream, not " + path));
    }

    private void startGeneration(HttpCall call) {
        Optional<ObjectNode> body = Json.parseObject(call.body());
        String requestId = call.header("x-request-id").orElse("");
        if (body.isEmpty() || requestId.isEmpty()) {
            ErrorResponse.send(
                    call,
                    Failure.notRun(
                            ErrorKind.BAD_JSON, "the body is not a JSON object, or header x-request-id is missing"));
            return;
        }
        String lastMessage = "";
        int promptTokens = 0;
        for (JsonNode message : body.get().path("messages")) {
            lastMessage = message.path("content").asText();
            promptTokens += words(lastMessage).size();
        }
        if (lastMessage.contains(CRASH_MARKER)) {
            call.abort();
            return;
        }
        List<String> words = words(lastMessage);
        int count = Math.min(words.size(), body.get().path("max_tokens").asInt(1));
        Generation generation = new Generation(
                requestId, body.get().path("model").asText(), promptTokens, List.copyOf(words.subList(0, count)));
        retain(generation);
        stream(call, generation, 0);
    }

    private static List<String> words(String text) {
        return List.of(text.strip().split("\\s+"));
    }

    private void retain(Generation generation) {
        generations.put(generation.requestId, generation);
        retainedRequestIds.add(generation.requestId);
        if (retainedRequestIds.size() > MAX_RETAINED_STREAMS) {
            generations.remove(retainedRequestIds.remove(0));
        }
    }

    private void resume(HttpCall call, String requestId) {
        Generation generation = generations.get(requestId);
        if (generation == null) {
            ErrorResponse.send(call, Failure.notRun(ErrorKind.NOT_FOUND, "no retained stream of request " + requestId));
            return;
        }
        stream(call, generation, Integer.parseInt(call.query("from").orElse("0")));
    }

    private void stream(HttpCall call, Generation generation, int firstIndex) {
        running++;
        call.onClosed(() -> running--);
        call.startStream(200, "text/event-stream", Map.of("x-request-id", generation.requestId));
        writeNextEvent(call, generation, firstIndex);
    }

    private void writeNextEvent(HttpCall call, Generation generation, int index) {
        if (call.done()) {
            return;
        }
        call.write(("data: " + generation.event(index) + "\n\n").getBytes(UTF_8));
        if (index == generation.words.size()) {
            running--;
            call.write("data: [DONE]\n\n".getBytes(UTF_8));
            call.end();
            return;
        }
        loop.schedule(() -> writeNextEvent(call, generation, index + 1), settings.tokenMillis(), TimeUnit.MILLISECONDS);
    }
}
