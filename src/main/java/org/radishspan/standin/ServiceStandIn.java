package org.radishspan.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.radishspan.http.HttpCall;
import org.radishspan.http.HttpClient;
import org.radishspan.http.HttpServer;
import org.radishspan.http.Json;
import org.radishspan.routing.TargetTable.ListedVm;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * A stand-in for a service whose calls must run at most once, for the demo and for trials.
 *
 * <p>It runs every call that it receives, also duplicates, so that a test can detect calls that were sent twice.
 * {@code GET /record} returns the list of calls that ran.
 */
public final class ServiceStandIn {
    private static final int MAX_BODY_BYTES = 1_048_576;

    /** A call that ran. */
    private record Run(String idempotencyKey, String requestId, int bodyBytes) {}

    private final TargetSettings settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final HttpServer server;
    private final List<Run> runs = new ArrayList<>();

    /** Binds the port and registers this target in the VM list of the platform. */
    public ServiceStandIn(TargetSettings settings) {
        this.settings = settings;
        this.server = HttpServer.start(group, settings.host(), settings.port(), MAX_BODY_BYTES, this::handle);
        ListedVm ownEntry = new ListedVm(
                settings.name(),
                "service",
                settings.host(),
                port(),
                settings.failureDomain(),
                false,
                settings.serves());
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
        switch (call.path()) {
            case "/load" -> call.respond(200, Json.CONTENT_TYPE, "{\"running\":0,\"queued\":0}");
            case "/record" -> call.respond(200, Json.CONTENT_TYPE, record().toString());
            default -> run(call);
        }
    }

    private void run(HttpCall call) {
        String idempotencyKey = call.header("idempotency-key").orElse("");
        String requestId = call.header("x-request-id").orElse("");
        runs.add(new Run(idempotencyKey, requestId, call.body().length));
        ObjectNode response = Json.object();
        response.put("service", String.join(",", settings.serves()));
        response.put("entry", runs.size());
        response.put("path", call.path());
        byte[] bytes = response.toString().getBytes(UTF_8);
        loop.schedule(
                () -> call.respond(201, Json.CONTENT_TYPE, bytes, Map.of("x-request-id", requestId)),
                settings.tokenMillis(),
                TimeUnit.MILLISECONDS);
    }

    private ObjectNode record() {
        ObjectNode node = Json.object();
        ArrayNode list = node.putArray("runs");
        for (Run run : runs) {
            ObjectNode row = list.addObject();
            row.put("idempotency_key", run.idempotencyKey());
            row.put("request_id", run.requestId());
            row.put("body_bytes", run.bodyBytes());
        }
        return node;
    }
}
