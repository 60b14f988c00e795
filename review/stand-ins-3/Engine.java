import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for an engine, as the users' page PROTOCOL describes it. A request with prompt tokens is answered with a stream of
 * events, any other request with a body after the work time.
 */
final class Engine {
    /** A request that arrived at an engine. */
    record Run(long atNanos, String engine, String id, String method, String uri, String tenant, int bodyBytes, String outcome) {
        /** Returns whether the engine began to work on the request. */
        boolean ran() {
            return outcome.startsWith("run");
        }
    }

    static final int TOKENS_PER_EVENT = 3;
    private static final long HEARTBEAT_MILLIS = 1_200;

    final String id;
    final String service;
    final String host;
    final String zone;
    final int port;
    final long born = System.currentTimeMillis();
    final List<Run> runs = new ArrayList<>();
    final Map<String, Integer> events = new ConcurrentHashMap<>();
    private final Store store;
    private final ServerSocket server;
    private final Set<Http.Connection> open = ConcurrentHashMap.newKeySet();
    private int sequence;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final int slots;
    private final int queue;
    volatile int workMillis = 40;
    volatile int eventMillis = 60;

    /** The part of the requests that this engine fails with {@link #failureStatus} after it has run them. */
    volatile double failedShare;

    /** Whether streams go on without end, until the caller closes. */
    volatile boolean endless;

    volatile String failureStatus = "503 Service Unavailable";
    volatile boolean leaving;
    volatile boolean listed = true;
    volatile boolean reportsDraining;
    volatile boolean ended;

    Engine(Store store, String id, String service, String host, int port, String zone, int slots, int queue)
            throws IOException {
        this.slots = slots;
        this.queue = queue;
        this.free = new Semaphore(slots);
        this.store = store;
        this.id = id;
        this.service = service;
        this.host = host;
        this.zone = zone;
        this.server = Http.serve(host, port, this::handle);
        this.port = server.getLocalPort();
        beat();
        Http.daemon(() -> {
            while (!ended) {
                try {
                    Thread.sleep(HEARTBEAT_MILLIS);
                } catch (InterruptedException e) {
                    return;
                }
                beat();
            }
        });
    }

    /** Writes the entry of this engine; returns the time of the acknowledgement. */
    synchronized long beat() {
        if (!listed || ended) {
            return 0;
        }
        // A check-in that changes only the sequence does not change the entry.
        ObjectNode before = (ObjectNode) store.spec("servers", id);
        if (before != null && before.path("state").asText().equals(reportsDraining ? "draining" : "ready")) {
            return 0;
        }
        sequence++;
        ObjectNode spec = Store.JSON.createObjectNode();
        spec.put("service", service).put("address", host + ":" + port).put("zone", zone).put("version", "v1");
        spec.put("slots", slots).put("state", reportsDraining ? "draining" : "ready").put("cold_left_ms", 0);
        spec.put("born", born).put("sequence", sequence);
        return store.write("servers", id, spec);
    }

    /** Leaves after a report of draining; returns the time of the acknowledgement. */
    long drain() {
        leaving = true;
        reportsDraining = true;
        return beat();
    }

    /** Leaves without a report of draining: the entry is removed; returns the time of the acknowledgement. */
    synchronized long leaveSilently() {
        leaving = true;
        listed = false;
        return store.remove("servers", id);
    }

    /** Exits: closes the port and all connections. */
    void exit() {
        ended = true;
        store.remove("servers", id);
        try {
            server.close();
        } catch (IOException e) {
            // The port is closed already.
        }
        open.forEach(Http.Connection::close);
    }

    private void record(Http.Message request, String outcome) {
        synchronized (runs) {
            runs.add(new Run(
                    System.nanoTime(),
                    id,
                    request.header("x-attempt-id"),
                    request.method(),
                    request.uri(),
                    request.header("x-tenant"),
                    request.body.length,
                    outcome));
        }
    }

    private void handle(Http.Connection connection) throws IOException, InterruptedException {
        open.add(connection);
        try {
            while (true) {
                Http.Message request = connection.read();
                if (request == null) {
                    return;
                }
                if (!answer(connection, request)) {
                    return;
                }
            }
        } finally {
            open.remove(connection);
        }
    }

    private Map<String, String> headers(Http.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Attempt-Id", request.header("x-attempt-id"));
        headers.put("X-Instance-Id", id);
        if (leaving) {
            headers.put("Server-Leaving", "1");
            headers.put("Connection", "close");
        }
        return headers;
    }

    private boolean answer(Http.Connection connection, Http.Message request) throws IOException, InterruptedException {
        Map<String, String> headers = headers(request);
        String expected = request.header("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            record(request, "421");
            connection.write("HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
            return !leaving;
        }
        if (waiting.get() >= queue && free.availablePermits() == 0) {
            record(request, "503");
            headers.put("X-Not-Executed", "1");
            headers.put("X-Server-Load", load());
            connection.write("HTTP/1.1 503 Service Unavailable", headers, new byte[0]);
            return !leaving;
        }
        waiting.incrementAndGet();
        try {
            free.acquire();
        } finally {
            waiting.decrementAndGet();
        }
        try {
            return run(connection, request, headers);
        } finally {
            free.release();
        }
    }

    private String load() {
        return (slots - free.availablePermits()) + "," + waiting.get() + "," + slots;
    }

    private boolean run(Http.Connection connection, Http.Message request, Map<String, String> headers)
            throws IOException, InterruptedException {
        boolean failed = ThreadLocalRandom.current().nextDouble() < failedShare;
        record(request, failed ? "run, answered " + failureStatus : "run");
        headers.put("X-Server-Stamp", "stamp-" + request.header("x-attempt-id"));
        headers.put("X-Server-Load", load());
        if (request.header("x-token-count").isEmpty()) {
            Thread.sleep(workMillis);
            if (failed) {
                connection.write("HTTP/1.1 " + failureStatus, headers, "failed after the work".getBytes(StandardCharsets.UTF_8));
                return !leaving;
            }
            byte[] body = ("answer of " + id + " to " + request.header("x-attempt-id"))
                    .getBytes(StandardCharsets.UTF_8);
            headers.put("Content-Type", "text/plain");
            connection.write("HTTP/1.1 200 OK", headers, body);
            return !leaving;
        }
        stream(connection, request, headers);
        return !leaving;
    }

    private void stream(Http.Connection connection, Http.Message request, Map<String, String> headers)
            throws IOException, InterruptedException {
        int outputTokens = Integer.parseInt(request.header("x-token-count").split(",")[1].strip());
        int count = (outputTokens + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT;
        int from = request.header("last-event-id").isEmpty()
                ? 0
                : Integer.parseInt(request.header("last-event-id"));
        headers.put("Content-Type", "text/event-stream");
        headers.put("Transfer-Encoding", "chunked");
        connection.write("HTTP/1.1 200 OK", headers, null);
        for (int i = from + 1; i <= count || endless; i++) {
            Thread.sleep(eventMillis);
            connection.writeChunk(("id: " + i + "\ndata: " + request.header("x-attempt-id") + "-" + i + "\n\n")
                    .getBytes(StandardCharsets.UTF_8));
            events.merge(request.header("x-attempt-id"), 1, Integer::sum);
        }
        connection.writeChunk(new byte[0]);
    }

    List<Run> runs() {
        synchronized (runs) {
            return List.copyOf(runs);
        }
    }
}
