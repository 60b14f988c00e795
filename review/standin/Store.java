import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A stand-in for the platform's metadata store: objects with revisions, conditional writes, lists and watches, as PROTOCOL.md
 * describes them. {@link #rewind} brings it back from a copy that is some seconds old, as the news page describes it.
 */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE = 500;

    private record Event(long revision, String kind, ObjectNode object, boolean deleted) {}

    private record Copy(long atMillis, long revision, Map<String, TreeMap<String, ObjectNode>> objects, int events) {}

    private final Http http;
    private Map<String, TreeMap<String, ObjectNode>> objects = new HashMap<>();
    private List<Event> history = new ArrayList<>();
    private final List<Copy> copies = new ArrayList<>();
    private long revision = 100;
    private int era = 1;
    private final List<Http> further = new ArrayList<>();
    private final java.util.Set<String> silentHosts = new java.util.HashSet<>();
    private final Map<String, Integer> generationOfHost = new HashMap<>();
    private final Map<java.net.Socket, Integer> generations = new java.util.WeakHashMap<>();
    long calls;

    Store(String host, int port) {
        http = new Http(host, port, true, this::handle);
    }

    void open() throws IOException {
        http.open();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Keeps a copy of the whole state, to come back from. */
    synchronized void copy() {
        Map<String, TreeMap<String, ObjectNode>> all = new HashMap<>();
        objects.forEach((kind, byName) -> all.put(kind, new TreeMap<>(byName)));
        copies.add(new Copy(now(), revision, all, history.size()));
    }

    /** Serves the same objects at a further address, so that it can be silent for some machines only. */
    void openAlso(String furtherHost, int port) throws IOException {
        Http added = new Http(furtherHost, port, true, this::handle);
        added.open();
        further.add(added);
    }

    /** Goes away silently at an address: connections stay open and nothing is answered on them any more. */
    synchronized void fallSilent(String address) {
        silentHosts.add(address);
        generationOfHost.merge(address, 1, Integer::sum);
    }

    /** Answers again at an address, but only on connections that are made from now on. */
    synchronized void speakAgain(String address) {
        silentHosts.remove(address);
        generationOfHost.merge(address, 1, Integer::sum);
        notifyAll();
    }

    private synchronized boolean isDead(java.net.Socket socket) {
        String address = socket.getLocalAddress().getHostAddress();
        int current = generationOfHost.getOrDefault(address, 0);
        return silentHosts.contains(address) || generations.computeIfAbsent(socket, ignored -> current) != current;
    }

    /** Holds the thread of a connection that is not answered any more. */
    private static void hold() throws InterruptedException {
        Thread.sleep(Long.MAX_VALUE);
    }

    /** Goes away: no connection is left and none can be made. */
    void away() throws IOException {
        http.close();
    }

    /** Comes back from the newest copy that is at least so old, with the next era; returns its age. */
    long rewind(long ageMillis) {
        long age;
        synchronized (this) {
            Copy chosen = copies.get(0);
            for (Copy copy : copies) {
                if (now() - copy.atMillis() >= ageMillis) {
                    chosen = copy;
                }
            }
            age = now() - chosen.atMillis();
            objects = chosen.objects();
            history = new ArrayList<>(history.subList(0, chosen.events()));
            revision = chosen.revision();
            copies.clear();
            era++;
            notifyAll();
        }
        return age;
    }

    synchronized long revision() {
        return revision;
    }

    /** Writes as the operator or an engine does, without a condition. */
    synchronized long put(String kind, String name, JsonNode spec) {
        return store(kind, name, spec, null);
    }

    synchronized void delete(String kind, String name) {
        ObjectNode removed = objects.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (removed != null) {
            revision++;
            history.add(new Event(revision, kind, removed, true));
            notifyAll();
        }
    }

    synchronized ObjectNode get(String kind, String name) {
        return objects.getOrDefault(kind, new TreeMap<>()).get(name);
    }

    private long store(String kind, String name, JsonNode spec, JsonNode finalizers) {
        ObjectNode before = get(kind, name);
        if (before != null && before.path("spec").equals(spec)) {
            return before.path("metadata").path("revision").asLong();
        }
        revision++;
        ObjectNode object = JSON.createObjectNode();
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name).put("revision", revision);
        metadata.put("created", before == null ? revision : before.path("metadata").path("created").asLong());
        metadata.putArray("finalizers");
        metadata.put("deleting", false);
        object.set("spec", spec);
        object.putNull("status");
        objects.computeIfAbsent(kind, ignored -> new TreeMap<>()).put(name, object);
        history.add(new Event(revision, kind, object, false));
        notifyAll();
        return revision;
    }

    private boolean handle(Http.Request request, OutputStream out, java.net.Socket socket) throws Exception {
        if (isDead(socket)) {
            hold();
        }
        String[] parts = request.path().split("/");
        if (parts.length < 4 || !request.path().startsWith("/api/objects/")) {
            return answer(out, 404, JSON.createObjectNode());
        }
        String kind = parts[3];
        String name = parts.length > 4 ? parts[4] : null;
        switch (request.method()) {
            case "GET":
                if (name != null) {
                    ObjectNode object = get(kind, name);
                    return object == null ? answer(out, 404, JSON.createObjectNode()) : answer(out, 200, object);
                }
                if (request.query("watch") != null) {
                    return watch(request, kind, out, socket);
                }
                return list(request, kind, out);
            case "POST":
                return create(request, kind, out);
            case "PUT":
                return replace(request, kind, name, out);
            default:
                synchronized (this) {
                    calls++;
                    if (get(kind, name) == null) {
                        return answer(out, 404, JSON.createObjectNode());
                    }
                    delete(kind, name);
                    return answer(out, 200, JSON.createObjectNode());
                }
        }
    }

    private boolean list(Http.Request request, String kind, OutputStream out) throws IOException {
        ObjectNode body = JSON.createObjectNode();
        synchronized (this) {
            calls++;
            ArrayNode entries = body.putArray("entries");
            String after = request.query("after_rev");
            boolean more = false;
            for (Map.Entry<String, ObjectNode> entry :
                    objects.getOrDefault(kind, new TreeMap<>()).entrySet()) {
                if (after != null && entry.getKey().compareTo(after) <= 0) {
                    continue;
                }
                if (entries.size() >= PAGE) {
                    more = true;
                    break;
                }
                entries.add(entry.getValue());
            }
            body.put("has_more", more);
            body.put("current_rev", revision);
        }
        return answer(out, 200, body);
    }

    private boolean watch(Http.Request request, String kind, OutputStream out, java.net.Socket socket) throws Exception {
        long from = Long.parseLong(request.query("watch"));
        long until = now() + Long.parseLong(request.query("wait_ms"));
        ObjectNode body = JSON.createObjectNode();
        synchronized (this) {
            calls++;
            while (true) {
                if (isDead(socket)) {
                    wait();
                    continue;
                }
                if (from > revision) {
                    return answer(out, 410, JSON.createObjectNode());
                }
                ArrayNode events = JSON.createArrayNode();
                for (Event event : history) {
                    if (event.revision() > from && event.kind().equals(kind)) {
                        ObjectNode row = events.addObject();
                        row.put("deleted", event.deleted());
                        row.set("object", event.object());
                    }
                }
                long left = until - now();
                if (events.size() > 0 || left <= 0) {
                    body.set("events", events);
                    body.put("current_rev", revision);
                    break;
                }
                wait(left);
            }
        }
        return answer(out, 200, body);
    }

    private boolean create(Http.Request request, String kind, OutputStream out) throws IOException {
        JsonNode body = JSON.readTree(request.body());
        String name = body.path("metadata").path("name").asText();
        ObjectNode result;
        int status;
        synchronized (this) {
            calls++;
            ObjectNode before = get(kind, name);
            status = before == null ? 200 : 409;
            if (before == null) {
                store(kind, name, body.path("spec"), null);
            }
            result = get(kind, name);
        }
        return answer(out, status, result);
    }

    private boolean replace(Http.Request request, String kind, String name, OutputStream out) throws IOException {
        JsonNode body = JSON.readTree(request.body());
        ObjectNode result;
        int status = 200;
        synchronized (this) {
            calls++;
            ObjectNode before = get(kind, name);
            if (before == null) {
                return answer(out, 404, JSON.createObjectNode());
            }
            JsonNode expected = body.path("metadata").path("revision");
            if (expected.isNumber()
                    && expected.asLong() != before.path("metadata").path("revision").asLong()) {
                status = 409;
            } else {
                store(kind, name, body.path("spec"), null);
            }
            result = get(kind, name);
        }
        return answer(out, status, result);
    }

    private boolean answer(OutputStream out, int status, JsonNode body) throws IOException {
        int current;
        synchronized (this) {
            current = era;
        }
        Http.respond(
                out,
                status,
                Map.of("Content-Type", "application/json", "Store-Era", Integer.toString(current)),
                body.toString().getBytes(StandardCharsets.UTF_8));
        return true;
    }
}
