package org.radishspan.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.ErrorResponse;
import org.radishspan.http.HttpCall;
import org.radishspan.http.HttpServer;
import org.radishspan.http.Json;
import org.radishspan.membership.LiveList;
import org.radishspan.store.StoredObject;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * A stand-in for the platform, for the demo and for trials: the object API and the list of VMs.
 *
 * <p>Faults are set with {@code POST /faults} and a body such as
 * {@code {"outage": true, "delay_millis": 200, "lose_answers": 3}}. During an outage no other call gets a response. The delay
 * applies to every other call. {@code lose_answers} is the number of successful writes whose responses are dropped. A field
 * that is missing keeps its value.
 */
public final class PlatformStandIn {
    private static final int MAX_VALUE_BYTES = 1_048_576;
    private static final String OBJECTS_PREFIX = "/objects/";
    private static final String VMS_PREFIX = "/vms/";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final InMemoryObjectStore objects = new InMemoryObjectStore();
    private final Map<String, ObjectNode> vms = new LinkedHashMap<>();
    private final HttpServer server;
    private boolean outage;
    private long delayMillis;
    private int responsesToDrop;

    /** Binds the port; port 0 selects a free one. */
    public PlatformStandIn(String host, int port) {
        this.server = HttpServer.start(group, host, port, MAX_VALUE_BYTES, this::handle);
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
        if (call.path().equals("/faults")) {
            setFaults(call);
            return;
        }
        if (outage) {
            return;
        }
        if (delayMillis > 0) {
            loop.schedule(() -> route(call), delayMillis, TimeUnit.MILLISECONDS);
            return;
        }
        route(call);
    }

    private void setFaults(HttpCall call) {
        Optional<ObjectNode> body = Json.parseObject(call.body());
        body.ifPresent(faults -> {
            outage = faults.path("outage").asBoolean(outage);
            delayMillis = faults.path("delay_millis").asLong(delayMillis);
            responsesToDrop = faults.path("lose_answers").asInt(responsesToDrop);
        });
        call.respond(200, Json.CONTENT_TYPE, "{}");
    }

    private void route(HttpCall call) {
        String path = call.path();
        if (path.startsWith(OBJECTS_PREFIX)) {
            handleObject(call, path.substring(OBJECTS_PREFIX.length()));
            return;
        }
        if (path.startsWith(VMS_PREFIX)) {
            handleVm(call, path.substring(VMS_PREFIX.length()));
            return;
        }
        ErrorResponse.send(
                call,
                Failure.notRun(
                        ErrorKind.NOT_FOUND, "the platform serves /faults, /objects/KEY and /vms/NAME, not " + path));
    }

    private void handleObject(HttpCall call, String key) {
        if (call.method().equals("PUT")) {
            put(call, key);
            return;
        }
        if (call.query("above").isPresent()) {
            watch(call, key);
            return;
        }
        respondWithObject(call, objects.get(key));
    }

    private void put(HttpCall call, String key) {
        long expected = Long.parseLong(call.header("if-match").orElse("0"));
        objects.put(key, expected, call.body())
                .peek(version -> respondToWrite(call, version))
                .peekLeft(failure -> call.respond(
                        412, Json.CONTENT_TYPE, ErrorResponse.json(failure).toString()));
    }

    private void respondToWrite(HttpCall call, long version) {
        if (responsesToDrop > 0) {
            responsesToDrop--;
            return;
        }
        call.respond(200, Json.CONTENT_TYPE, new byte[0], Map.of("etag", Long.toString(version)));
    }

    private static void respondWithObject(HttpCall call, StoredObject stored) {
        if (stored.version() == StoredObject.ABSENT_VERSION) {
            ErrorResponse.send(call, Failure.notRun(ErrorKind.NOT_FOUND, "no such object"));
            return;
        }
        call.respond(200, "application/octet-stream", stored.value(), Map.of("etag", Long.toString(stored.version())));
    }

    private void watch(HttpCall call, String key) {
        long above = Long.parseLong(call.query("above").orElse("0"));
        long waitMillis = Long.parseLong(call.query("wait_ms").orElse("0"));
        objects.watch(key, above, stored -> respondWithObject(call, stored));
        loop.schedule(() -> call.respond(304, Json.CONTENT_TYPE, ""), waitMillis, TimeUnit.MILLISECONDS);
    }

    private void handleVm(HttpCall call, String name) {
        if (call.method().equals("DELETE")) {
            vms.remove(name);
        } else {
            Json.parseObject(call.body()).ifPresent(vm -> vms.put(name, vm));
        }
        ObjectNode root = Json.object();
        ArrayNode list = root.putArray("vms");
        vms.values().forEach(list::add);
        long version = objects.get(LiveList.KEY).version();
        objects.put(LiveList.KEY, version, root.toString().getBytes(UTF_8));
        call.respond(200, Json.CONTENT_TYPE, "{}");
    }
}
