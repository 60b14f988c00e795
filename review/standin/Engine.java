import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A stand-in for an engine: answers requests, as a stream of events or whole, and keeps a list of what it ran. */
final class Engine {
    /** One run: the request's id, the path, the tenant and the time of its start. */
    record Run(String id, String path, String tenant, long atMillis, int bodyLength) {}

    final String id;
    final String host;
    final int port;
    final String service;
    final String zone;
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    /** What it does instead of the usual answer. */
    interface Instead {
        /** Answers a request; returns false if the usual answer is to be sent. */
        boolean answer(String requestId, OutputStream out) throws Exception;
    }

    private final long bornMillis = System.currentTimeMillis();
    private final AtomicInteger sequence = new AtomicInteger();
    private final Http http;
    private volatile java.util.concurrent.Semaphore slots = new java.util.concurrent.Semaphore(64);
    volatile int events;
    volatile long eventMillis;
    volatile long workMillis;
    volatile String state = "ready";
    volatile Instead instead = (requestId, out) -> false;

    Engine(String id, String host, int port, String service, String zone, int events, long eventMillis, long workMillis) {
        this.id = id;
        this.host = host;
        this.port = port;
        this.service = service;
        this.zone = zone;
        this.events = events;
        this.eventMillis = eventMillis;
        this.workMillis = workMillis;
        http = new Http(host, port, false, this::handle);
    }

    /** Sets how many requests it processes at once; others wait. */
    Engine withSlots(int count) {
        slots = new java.util.concurrent.Semaphore(count, true);
        return this;
    }

    void open() throws IOException {
        http.open();
    }

    /** The entry under which it registers in the store. */
    ObjectNode entry(boolean beat) {
        ObjectNode entry = Store.JSON.createObjectNode();
        entry.put("service", service).put("address", host + ":" + port).put("zone", zone).put("version", "v1");
        entry.put("slots", 64).put("state", state).put("cold_left_ms", 0).put("phase", "both").put("born", bornMillis);
        entry.put("sequence", beat ? sequence.incrementAndGet() : sequence.get());
        return entry;
    }

    private boolean handle(Http.Request request, OutputStream out, java.net.Socket socket) throws Exception {
        if (request.path().equals("/healthz")) {
            Http.respond(out, 200, Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        String expected = request.header("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(out, 421, Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        String requestId = request.header("X-Attempt-Id");
        if (requestId == null) {
            Http.respond(out, 400, Map.of("X-Not-Executed", "1"), new byte[0]);
            return true;
        }
        runs.add(new Run(
                requestId, request.target(), request.header("X-Tenant"), System.nanoTime() / 1_000_000, request.bodyLength()));
        if (instead.answer(requestId, out)) {
            return false;
        }
        String leaving = state.equals("draining") ? "1" : "0";
        String stamp = "stamp-" + id + "-" + requestId;
        if (workMillis > 0) {
            slots.acquire();
            Thread.sleep(workMillis);
            slots.release();
        }
        if (events == 0) {
            Http.respond(
                    out,
                    200,
                    leaving.equals("1")
                            ? Map.of("X-Attempt-Id", requestId, "X-Server-Stamp", stamp, "Server-Leaving", "1")
                            : Map.of("X-Attempt-Id", requestId, "X-Server-Stamp", stamp, "Content-Type", "text/plain"),
                    ("done " + requestId).getBytes(StandardCharsets.UTF_8));
            return true;
        }
        out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + requestId + "\r\nX-Server-Stamp: " + stamp
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        String last = request.header("Last-Event-Id");
        for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: " + requestId + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Thread.sleep(eventMillis);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }
}
