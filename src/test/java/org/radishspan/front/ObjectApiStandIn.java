package org.radishspan.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.jspecify.annotations.Nullable;
import org.radishspan.http.HttpCall;
import org.radishspan.http.HttpServer;
import org.radishspan.http.Json;

import static java.nio.charset.StandardCharsets.UTF_8;

/** A stand-in for the object API of the users' platform: conditional writes, lists and watches of objects in memory. */
final class ObjectApiStandIn {
    private static final String PATH = "/api/objects/";
    private static final int MAX_BODY_BYTES = 1_048_576;
    private static final int MAX_WATCH_MILLIS = 200;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int METHOD_NOT_ALLOWED = 405;

    private record Change(long revision, String kind, ObjectNode object, boolean deleted) {}

    private final Map<String, TreeMap<String, ObjectNode>> objects = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final EventLoop loop;
    private final HttpServer server;
    private long revision = 100;

    /** Starts the stand-in on a group that must consist of one event loop. */
    ObjectApiStandIn(EventLoopGroup group) {
        loop = group.next();
        server = HttpServer.start(group, "127.0.0.1", 0, MAX_BODY_BYTES, this::handle);
    }

    int port() {
        return server.port();
    }

    /** Writes an object as the operator or a target does, without a condition. */
    void write(String kind, String name, String specJson) throws InterruptedException {
        ObjectNode spec = Json.parseObject(specJson.getBytes(UTF_8)).orElseThrow();
        loop.submit(() -> store(kind, name, spec)).sync();
    }

    private ObjectNode store(String kind, String name, JsonNode spec) {
        revision++;
        ObjectNode object = Json.object();
        object.set("metadata", Json.object().put("name", name).put("revision", revision));
        object.set("spec", spec);
        objects.computeIfAbsent(kind, ignored -> new TreeMap<>()).put(name, object);
        changes.add(new Change(revision, kind, object, false));
        return object;
    }

    private void handle(HttpCall call) {
        String[] parts = call.path().substring(PATH.length()).split("/", 2);
        String kind = parts[0];
        Map<String, ObjectNode> named = objects.computeIfAbsent(kind, ignored -> new TreeMap<>());
        switch (call.method()) {
            case "GET" -> {
                if (parts.length > 1) {
                    respond(call, named.get(parts[1]));
                } else if (call.query("watch").isPresent()) {
                    watch(call, kind);
                } else {
                    respond(call, list(named));
                }
            }
            case "POST", "PUT" -> write(call, kind, named);
            case "DELETE" -> respond(call, delete(kind, named.remove(parts[1])));
            default -> call.respond(METHOD_NOT_ALLOWED, Json.CONTENT_TYPE, "{}");
        }
    }

    private static void respond(HttpCall call, @Nullable ObjectNode body) {
        call.respond(body == null ? NOT_FOUND : OK, Json.CONTENT_TYPE, body == null ? "{}" : body.toString());
    }

    private ObjectNode list(Map<String, ObjectNode> named) {
        ObjectNode body = Json.object();
        ArrayNode entries = body.putArray("entries");
        named.values().forEach(entries::add);
        return body.put("has_more", false).put("current_rev", revision);
    }

    private void watch(HttpCall call, String kind) {
        long above = Long.parseLong(call.query("watch").orElseThrow());
        long waitMillis =
                Math.min(MAX_WATCH_MILLIS, Long.parseLong(call.query("wait_ms").orElse("0")));
        loop.schedule(() -> respond(call, changesAbove(above, kind)), waitMillis, TimeUnit.MILLISECONDS);
    }

    private ObjectNode changesAbove(long above, String kind) {
        ObjectNode body = Json.object();
        ArrayNode events = body.putArray("events");
        for (Change change : changes) {
            if (change.revision() > above && change.kind().equals(kind)) {
                ObjectNode event = events.addObject();
                event.set("object", change.object());
                event.put("deleted", change.deleted());
            }
        }
        return body.put("current_rev", revision);
    }

    private void write(HttpCall call, String kind, Map<String, ObjectNode> named) {
        ObjectNode sent = Json.parseObject(call.body()).orElseThrow();
        JsonNode metadata = sent.path("metadata");
        String name = metadata.path("name").asText();
        ObjectNode current = named.get(name);
        if (call.method().equals("PUT") && current == null) {
            respond(call, null);
            return;
        }
        if (current != null && isConflict(call, metadata, current)) {
            call.respond(CONFLICT, Json.CONTENT_TYPE, current.toString());
            return;
        }
        respond(call, store(kind, name, sent.path("spec")));
    }

    private static boolean isConflict(HttpCall call, JsonNode sentMetadata, ObjectNode current) {
        JsonNode revision = sentMetadata.path("revision");
        boolean otherRevision = !revision.isMissingNode()
                && !revision.equals(current.path("metadata").path("revision"));
        return call.method().equals("POST") || otherRevision;
    }

    private @Nullable ObjectNode delete(String kind, @Nullable ObjectNode removed) {
        if (removed != null) {
            revision++;
            changes.add(new Change(revision, kind, removed, true));
        }
        return removed;
    }
}
