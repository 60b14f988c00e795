import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * The platform's store as PROTOCOL.md describes it: objects by kind and name, one revision counter, conditional writes, lists,
 * watches and the header Store-Era. It answers in 4 ms, forgets nothing unless {@link #restore} is called, and refuses nobody.
 */
final class Store {
    private static final int ANSWER_MILLIS = 4;
    private static final int PAGE = 500;
    private static final Pattern REVISION = Pattern.compile("\"revision\"\\s*:\\s*(\\d+)");
    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");

    private static final class Entry {
        final String name;
        final String spec;
        final long revision;
        final long created;

        Entry(String name, String spec, long revision, long created) {
            this.name = name;
            this.spec = spec;
            this.revision = revision;
            this.created = created;
        }

        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision + ",\"created\":" + created
                    + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        }
    }

    private static final class Event {
        final String kind;
        final Entry entry;
        final long revision;
        final boolean deleted;

        Event(String kind, Entry entry, long revision, boolean deleted) {
            this.kind = kind;
            this.entry = entry;
            this.revision = revision;
            this.deleted = deleted;
        }
    }

    /** The content at one moment, from which the store may come back later. */
    static final class Copy {
        private final Map<String, TreeMap<String, Entry>> kinds = new HashMap<>();
        private long revision;
    }

    private final Map<String, TreeMap<String, Entry>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;
    private long oldest = 100;
    private long era = 1;
    private volatile boolean away;
    final Http.Server server;

    Store(String host) throws IOException {
        server = new Http.Server(host, 0, this::handle);
    }

    /** Writes an object as the operator or an engine does. */
    synchronized long write(String kind, String name, String spec) {
        TreeMap<String, Entry> objects = kinds.computeIfAbsent(kind, ignored -> new TreeMap<>());
        Entry before = objects.get(name);
        if (before != null && before.spec.equals(spec)) {
            return before.revision;
        }
        revision++;
        Entry entry = new Entry(name, spec, revision, before == null ? revision : before.created);
        objects.put(name, entry);
        history.add(new Event(kind, entry, revision, false));
        notifyAll();
        return revision;
    }

    synchronized void remove(String kind, String name) {
        Entry before = kinds.computeIfAbsent(kind, ignored -> new TreeMap<>()).remove(name);
        if (before != null) {
            revision++;
            history.add(new Event(kind, before, revision, true));
            notifyAll();
        }
    }

    synchronized String spec(String kind, String name) {
        Entry entry = kinds.computeIfAbsent(kind, ignored -> new TreeMap<>()).get(name);
        return entry == null ? null : entry.spec;
    }

    synchronized Copy copy() {
        Copy copy = new Copy();
        kinds.forEach((kind, objects) -> copy.kinds.put(kind, new TreeMap<>(objects)));
        copy.revision = revision;
        return copy;
    }

    /** Goes away: connections are cut and calls get no answer. */
    void goAway() {
        away = true;
        server.cutConnections();
    }

    /** Comes back from a copy: what was written since is gone, and the revisions since are given out again. */
    synchronized void restore(Copy copy) {
        kinds.clear();
        copy.kinds.forEach((kind, objects) -> kinds.put(kind, new TreeMap<>(objects)));
        revision = copy.revision;
        oldest = copy.revision;
        history.clear();
        era++;
        away = false;
        notifyAll();
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        if (away) {
            return false;
        }
        Thread.sleep(ANSWER_MILLIS);
        Http.Message answer = answer(request);
        if (away || answer == null) {
            return false;
        }
        Map<String, String> headers = new LinkedHashMap<>(answer.headers);
        headers.put("Content-Type", "application/json");
        out.write(Http.response(answer.status(), headers, answer.body));
        out.flush();
        return true;
    }

    private Http.Message reply(int status, String body) {
        Http.Message answer = new Http.Message();
        answer.firstLine = "HTTP/1.1 " + status;
        answer.headers.put("Store-Era", Long.toString(era));
        answer.body = body.getBytes(UTF_8);
        return answer;
    }

    private Http.Message answer(Http.Message request) throws Exception {
        String uri = request.uri();
        int mark = uri.indexOf('?');
        String path = mark < 0 ? uri : uri.substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String part : uri.substring(mark + 1).split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], pair.length > 1 ? URLDecoder.decode(pair[1], UTF_8) : "");
            }
        }
        String[] parts = path.substring("/api/objects/".length()).split("/");
        String kind = parts[0];
        String name = parts.length > 1 ? URLDecoder.decode(parts[1], UTF_8) : "";
        if (query.containsKey("watch")) {
            return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
        }
        synchronized (this) {
            switch (request.method()) {
                case "GET":
                    return name.isEmpty() ? list(kind, query.getOrDefault("after_rev", "")) : get(kind, name);
                case "POST":
                    return create(kind, request.text());
                case "PUT":
                    return replace(kind, name, request.text());
                case "DELETE":
                    if (spec(kind, name) == null) {
                        return reply(404, "{}");
                    }
                    remove(kind, name);
                    return reply(200, "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision + "}}");
                default:
                    return reply(400, "{}");
            }
        }
    }

    private Http.Message get(String kind, String name) {
        Entry entry = kinds.computeIfAbsent(kind, ignored -> new TreeMap<>()).get(name);
        return entry == null ? reply(404, "{}") : reply(200, entry.json());
    }

    private Http.Message list(String kind, String after) {
        StringBuilder entries = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Entry entry : kinds.computeIfAbsent(kind, ignored -> new TreeMap<>()).tailMap(after, false).values()) {
            if (count == PAGE) {
                more = true;
                break;
            }
            entries.append(count == 0 ? "" : ",").append(entry.json());
            count++;
        }
        return reply(
                200, "{\"entries\":[" + entries + "],\"has_more\":" + more + ",\"current_rev\":" + revision + "}");
    }

    private synchronized Http.Message watch(String kind, long since, long waitMillis) throws InterruptedException {
        long eraAtStart = era;
        long endAtNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            if (away || era != eraAtStart) {
                return null;
            }
            if (since < oldest || since > revision) {
                return reply(410, "{}");
            }
            StringBuilder events = new StringBuilder();
            for (Event event : history) {
                if (event.revision > since && event.kind.equals(kind)) {
                    events.append(events.length() == 0 ? "" : ",")
                            .append("{\"deleted\":" + event.deleted + ",\"object\":" + event.entry.json() + "}");
                }
            }
            long leftMillis = (endAtNanos - System.nanoTime()) / 1_000_000;
            if (events.length() > 0 || leftMillis <= 0) {
                return reply(200, "{\"events\":[" + events + "],\"current_rev\":" + revision + "}");
            }
            wait(leftMillis);
        }
    }

    /** Returns the text of a top-level field of an object, which ends before the next one or with the object. */
    private static String specOf(String body) {
        int start = body.indexOf("\"spec\":") + "\"spec\":".length();
        int depth = 0;
        boolean text = false;
        for (int i = start; i < body.length(); i++) {
            char c = body.charAt(i);
            if (text) {
                if (c == '\\') {
                    i++;
                } else if (c == '"') {
                    text = false;
                }
                continue;
            }
            if (c == '"') {
                text = true;
            } else if (c == '{' || c == '[') {
                depth++;
            } else if (c == '}' || c == ']') {
                if (depth == 0) {
                    return body.substring(start, i);
                }
                depth--;
            } else if (c == ',' && depth == 0) {
                return body.substring(start, i);
            }
        }
        return "null";
    }

    private static String metadataOf(String body) {
        int start = body.indexOf("\"metadata\":");
        return body.substring(start, body.indexOf('}', start) + 1);
    }

    private Http.Message create(String kind, String body) {
        Matcher matcher = NAME.matcher(metadataOf(body));
        if (!matcher.find()) {
            return reply(400, "{}");
        }
        String name = matcher.group(1);
        if (spec(kind, name) != null) {
            return reply(409, kinds.get(kind).get(name).json());
        }
        write(kind, name, specOf(body));
        return reply(200, kinds.get(kind).get(name).json());
    }

    private Http.Message replace(String kind, String name, String body) {
        Entry before = kinds.computeIfAbsent(kind, ignored -> new TreeMap<>()).get(name);
        if (before == null) {
            return reply(404, "{}");
        }
        Matcher expected = REVISION.matcher(metadataOf(body));
        if (expected.find() && Long.parseLong(expected.group(1)) != before.revision) {
            return reply(409, before.json());
        }
        write(kind, name, specOf(body));
        return reply(200, kinds.get(kind).get(name).json());
    }
}
