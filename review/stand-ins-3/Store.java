import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for the platform's metadata store, as the users' page PROTOCOL describes it: objects with revisions, conditional
 * writes, lists in pages and watches.
 */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final String PREFIX = "/api/objects/";
    private static final int PAGE_ENTRIES = 500;
    private static final int PAGE_BYTES = 1_048_576;

    private record Change(long revision, String kind, String name, ObjectNode object, boolean deleted) {}

    /** Called when the first page of a list of a kind has been sent and more pages follow. */
    interface PageListener {
        void onFirstPage(String kind);
    }

    private TreeMap<String, TreeMap<String, ObjectNode>> objects = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision = 100;
    private long historyFrom = 100;
    private long era = 1;
    private long removedHistory;

    /** A watch that has waited so long is cut off; 0 for never. */
    volatile long cutWatchesAfterMillis;

    volatile boolean away;
    volatile PageListener pageListener = kind -> {};
    final Map<String, Integer> counts = new HashMap<>();
    final int port;

    Store(String host, int port) throws IOException {
        this.port = Http.serve(host, port, this::handle).getLocalPort();
    }

    private void count(String what) {
        synchronized (counts) {
            counts.merge(what, 1, Integer::sum);
        }
    }

    /** Writes an object as the operator or an engine does; returns the time of the acknowledgement in nanoseconds. */
    synchronized long write(String kind, String name, JsonNode spec) {
        put(kind, name, spec);
        return System.nanoTime();
    }

    synchronized long remove(String kind, String name) {
        delete(kind, name);
        return System.nanoTime();
    }

    synchronized JsonNode spec(String kind, String name) {
        ObjectNode object = objects.getOrDefault(kind, new TreeMap<>()).get(name);
        return object == null ? null : object.path("spec");
    }

    /** Returns a copy of the objects of the system's own kinds, to which {@link #comeBack} returns. */
    synchronized TreeMap<String, TreeMap<String, ObjectNode>> copy() {
        TreeMap<String, TreeMap<String, ObjectNode>> copy = new TreeMap<>();
        objects.forEach((kind, named) -> {
            TreeMap<String, ObjectNode> copied = new TreeMap<>();
            named.forEach((name, object) -> copied.put(name, object.deepCopy()));
            copy.put(kind, copied);
        });
        return copy;
    }

    synchronized long revision() {
        return revision;
    }

    /** Comes back from an older copy. What the operator and the engines wrote since is written again by the caller. */
    synchronized void comeBack(TreeMap<String, TreeMap<String, ObjectNode>> copy, long copyRevision) {
        objects = copy;
        revision = copyRevision;
        historyFrom = copyRevision;
        changes.clear();
        era++;
        notifyAll();
    }

    private ObjectNode put(String kind, String name, JsonNode spec) {
        TreeMap<String, ObjectNode> named = objects.computeIfAbsent(kind, ignored -> new TreeMap<>());
        ObjectNode before = named.get(name);
        if (before != null && before.path("spec").equals(spec)) {
            return before;
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
        named.put(name, object);
        record(new Change(revision, kind, name, object, false));
        return object;
    }

    private ObjectNode delete(String kind, String name) {
        ObjectNode removed = objects.computeIfAbsent(kind, ignored -> new TreeMap<>()).remove(name);
        if (removed != null) {
            revision++;
            record(new Change(revision, kind, name, removed, true));
        }
        return removed;
    }

    private void record(Change change) {
        changes.add(change);
        notifyAll();
    }

    private void handle(Http.Connection connection) throws IOException, InterruptedException {
        while (true) {
            Http.Message request = connection.read();
            if (request == null) {
                return;
            }
            while (away) {
                Thread.sleep(20);
            }
            String uri = request.uri();
            int mark = uri.indexOf('?');
            String path = mark < 0 ? uri : uri.substring(0, mark);
            Map<String, String> query = query(mark < 0 ? "" : uri.substring(mark + 1));
            String[] parts = path.substring(PREFIX.length()).split("/", 2);
            Thread.sleep(4);
            if (request.method().equals("GET") && parts.length == 1 && query.containsKey("watch")) {
                count("watch");
                if (!watch(connection, parts[0], query)) {
                    count("watch cut");
                    return;
                }
                continue;
            }
            count(request.method());
            answer(connection, request, parts, query);
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> result = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                result.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    private void answer(Http.Connection connection, Http.Message request, String[] parts, Map<String, String> query)
            throws IOException {
        String kind = parts[0];
        int status = 200;
        JsonNode body;
        boolean firstPage = false;
        String eraText;
        synchronized (this) {
            eraText = Long.toString(era);
            TreeMap<String, ObjectNode> named = objects.computeIfAbsent(kind, ignored -> new TreeMap<>());
            switch (request.method()) {
                case "GET" -> {
                    if (parts.length > 1) {
                        body = named.get(parts[1]);
                        status = body == null ? 404 : 200;
                    } else {
                        String after = query.getOrDefault("after_rev", "");
                        ObjectNode page = page(named, after);
                        firstPage = after.isEmpty() && page.path("has_more").asBoolean();
                        body = page;
                    }
                }
                case "POST", "PUT" -> {
                    JsonNode sent = JSON.readTree(request.body);
                    String name = parts.length > 1 ? parts[1] : sent.path("metadata").path("name").asText();
                    ObjectNode current = named.get(name);
                    JsonNode expected = sent.path("metadata").path("revision");
                    boolean create = request.method().equals("POST");
                    if (!create && current == null) {
                        status = 404;
                        body = null;
                    } else if (create && current != null
                            || !expected.isMissingNode()
                                    && current != null
                                    && expected.asLong() != current.path("metadata").path("revision").asLong()) {
                        status = 409;
                        body = current;
                    } else {
                        body = put(kind, name, sent.path("spec"));
                    }
                }
                case "DELETE" -> {
                    body = delete(kind, parts[1]);
                    status = body == null ? 404 : 200;
                }
                default -> {
                    status = 405;
                    body = null;
                }
            }
        }
        byte[] bytes = body == null ? "{}".getBytes(StandardCharsets.UTF_8) : JSON.writeValueAsBytes(body);
        respond(connection, status, eraText, bytes);
        if (firstPage) {
            pageListener.onFirstPage(kind);
        }
    }

    private static void respond(Http.Connection connection, int status, String eraText, byte[] bytes)
            throws IOException {
        connection.write(
                "HTTP/1.1 " + status + " S",
                Map.of("Content-Type", "application/json", "Store-Era", eraText),
                bytes);
    }

    private ObjectNode page(TreeMap<String, ObjectNode> named, String after) {
        ObjectNode page = JSON.createObjectNode();
        ArrayNode entries = page.putArray("entries");
        int bytes = 0;
        boolean more = false;
        for (ObjectNode object : (after.isEmpty() ? named : named.tailMap(after, false)).values()) {
            int size = object.toString().length();
            if (entries.size() > 0 && (entries.size() >= PAGE_ENTRIES || bytes + size > PAGE_BYTES)) {
                more = true;
                break;
            }
            entries.add(object);
            bytes += size;
        }
        return page.put("has_more", more).put("current_rev", revision);
    }

    /** Answers a watch; returns false if it cut the watch off. */
    private boolean watch(Http.Connection connection, String kind, Map<String, String> query)
            throws IOException, InterruptedException {
        long above = Long.parseLong(query.get("watch"));
        long waitMillis = Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        long startMillis = System.nanoTime() / 1_000_000;
        ObjectNode body = JSON.createObjectNode();
        ArrayNode events = body.putArray("events");
        int status = 200;
        String eraText;
        synchronized (this) {
            long startEra = era;
            while (true) {
                if (above < historyFrom || above > revision || era != startEra) {
                    status = 410;
                    break;
                }
                for (Change change : changes) {
                    if (change.revision() > above && change.kind().equals(kind)) {
                        ObjectNode event = events.addObject();
                        event.put("deleted", change.deleted());
                        event.set("object", change.object());
                    }
                }
                long elapsedMillis = System.nanoTime() / 1_000_000 - startMillis;
                if (events.size() > 0 || elapsedMillis >= waitMillis) {
                    break;
                }
                if (cutWatchesAfterMillis > 0 && elapsedMillis >= cutWatchesAfterMillis) {
                    return false;
                }
                wait(20);
            }
            body.put("current_rev", revision);
            eraText = Long.toString(era);
        }
        if (away) {
            return false;
        }
        respond(connection, status, eraText, JSON.writeValueAsBytes(body));
        return true;
    }
}
