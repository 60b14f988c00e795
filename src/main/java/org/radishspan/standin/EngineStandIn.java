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
import org.radishspan.http.ErrorAnswer;
import org.radishspan.http.HttpCall;
import org.radishspan.http.HttpClient;
import org.radishspan.http.HttpServer;
import org.radishspan.http.Json;
import org.radishspan.routing.TargetTable.ListedVm;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * A stand-in for a model engine.
 *
 * <p>It answers a prompt with as many words as the prompt's last message has, at most {@code max_tokens}, one at a time.
 * A stream can be taken up again by request id and index. A prompt with {@link #CRASH_MARKER} in it makes the engine
 * close every connection, as a crash would.
 */
public final class EngineStandIn {
    /** A prompt that contains this crashes the engine. */
    public static final String CRASH_MARKER = "crash-the-engine";

    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final int KEPT_STREAMS = 1_000;

    private final TargetSettings settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final HttpServer server;
    private final Map<String, Generation> generations = new HashMap<>();
    private final List<String> order = new ArrayList<>();
    private int running;

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

    /** Binds the port and joins the platform's list. */
    public EngineStandIn(TargetSettings settings) {
        this.settings = settings;
        this.server = HttpServer.start(group, settings.host(), settings.port(), MAX_BODY_BYTES, this::onCall);
        ListedVm self = new ListedVm(
                settings.name(), "engine", settings.host(), port(), settings.failureDomain(), false, settings.serves());
        HttpClient client = new HttpClient(group);
        loop.execute(() -> StandInClient.announce(client, settings.platformHost(), settings.platformPort(), self));
    }

    /** Returns the port bound. */
    public int port() {
        return server.port();
    }

    /** Ends at once. */
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void onCall(HttpCall call) {
        String path = call.path();
        if (path.equals("/load")) {
            call.respond(200, Json.CONTENT_TYPE, "{\"running\":" + running + ",\"queued\":0}");
            return;
        }
        if (path.equals("/v1/chat/completions")) {
            start(call);
            return;
        }
        if (path.startsWith("/v1/requests/") && path.endsWith("/stream")) {
            resume(call, path.substring("/v1/requests/".length(), path.length() - "/stream".length()));
            return;
        }
        ErrorAnswer.send(call, Failure.notRun(ErrorKind.NOT_FOUND, "no such path: " + path));
    }

    private void start(HttpCall call) {
        Optional<ObjectNode> body = Json.parseObject(call.body());
        String requestId = call.header("x-request-id").orElse("");
        if (body.isEmpty() || requestId.isEmpty()) {
            ErrorAnswer.send(call, Failure.notRun(ErrorKind.BAD_JSON, "no JSON body, or no x-request-id"));
            return;
        }
        String last = "";
        int promptTokens = 0;
        for (JsonNode message : body.get().path("messages")) {
            last = message.path("content").asText();
            promptTokens += words(last).size();
        }
        if (last.contains(CRASH_MARKER)) {
            call.abort();
            return;
        }
        List<String> words = words(last);
        int count = Math.min(words.size(), body.get().path("max_tokens").asInt(1));
        Generation generation = new Generation(
                requestId, body.get().path("model").asText(), promptTokens, List.copyOf(words.subList(0, count)));
        keep(generation);
        stream(call, generation, 0);
    }

    private static List<String> words(String text) {
        return List.of(text.strip().split("\\s+"));
    }

    private void keep(Generation generation) {
        generations.put(generation.requestId, generation);
        order.add(generation.requestId);
        if (order.size() > KEPT_STREAMS) {
            generations.remove(order.remove(0));
        }
    }

    private void resume(HttpCall call, String requestId) {
        Generation generation = generations.get(requestId);
        if (generation == null) {
            ErrorAnswer.send(call, Failure.notRun(ErrorKind.NOT_FOUND, "no stream of request " + requestId));
            return;
        }
        stream(call, generation, Integer.parseInt(call.query("from").orElse("0")));
    }

    private void stream(HttpCall call, Generation generation, int from) {
        running++;
        call.onClosed(() -> running--);
        call.startStream(200, "text/event-stream", Map.of("x-request-id", generation.requestId));
        next(call, generation, from);
    }

    private void next(HttpCall call, Generation generation, int index) {
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
        loop.schedule(() -> next(call, generation, index + 1), settings.tokenMillis(), TimeUnit.MILLISECONDS);
    }
}
