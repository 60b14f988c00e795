package org.radishspan.front;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.radishspan.cli.Main;
import org.radishspan.http.HttpCall;
import org.radishspan.http.HttpServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests a planned stop of a router on the users' platform, which runs as a process of its own between stand-ins. */
public class PlannedStopTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final int GRACE_MILLIS = 5_000;

    /** How long the target works on requests of the slow route; most of the grace time. */
    private static final int SLOW_MILLIS = 3_000;

    private static final int FAST_MILLIS = 30;
    private static final int FAST_CALLERS = 8;
    private static final int RETURN_MILLIS = 5;

    private static final String CONFIGURATION =
            """
            {"version": 1, "routes": [%s], "services": [{"name": "s", "health_path": "/healthz", "max_conns": 100}],
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
                        "idle_timeout_ms": 15000}}
            """.formatted(String.join(",", List.of(route("fast"), route("slow"), route("stuck"))));

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final Set<String> idsAtTarget = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lastId = new AtomicInteger();
    private final int callerPort = freePort();
    private final int readyPort = freePort();
    private final int peerPort = freePort();

    private static String route(String name) {
        return """
                {"name": "%1$s", "host": "h.example", "path_prefix": "/%1$s/", "kind": "unsafe", "timeout_ms": 15000,
                 "target_latency_ms": 200, "priority": 1, "service": "s", "max_attempts": 1}""".formatted(name);
    }

    private Process startRouter() throws Exception {
        Path folder = Files.createTempDirectory("radishspan-stop-");
        ObjectApiStandIn store = new ObjectApiStandIn(group);
        HttpServer target = HttpServer.start(group, "127.0.0.1", 0, 65_536, this::serve);
        store.write("config", "main", CONFIGURATION);
        store.write("servers", "i-1", """
                {"service": "s", "address": "127.0.0.1:%d", "zone": "a", "version": "1", "slots": 64, "state": "ready",
                 "cold_left_ms": 0, "sequence": 1, "born": 1765000000000}""".formatted(target.port()));
        Path settings = folder.resolve("settings.json");
        Files.writeString(
                settings, """
                {"node_name": "front-a-1", "ip": "127.0.0.1", "zone": "a", "zones": {"a": "r"},
                 "bind": {"front": "127.0.0.1:%d", "ready": "127.0.0.1:%d"}, "port_range": [%d, %d],
                 "bounds": {"grace_s": %d, "drain_ms": 2000, "contact_ms": 3000},
                 "platform": {"address": "127.0.0.1:%d", "form": "objects"}}
                """.formatted(callerPort, readyPort, peerPort, peerPort, GRACE_MILLIS / 1_000, store.port()));
        Process router = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "serve",
                        "--settings",
                        settings.toString())
                .redirectOutput(folder.resolve("log").toFile())
                .redirectErrorStream(true)
                .start();
        while (!status(callOnce(readyPort, "GET /api/readyz HTTP/1.1\r\nHost: h\r\n\r\n"))
                .equals("200")) {
            assertTrue(router.isAlive(), "the router has ended, see " + folder);
            Thread.sleep(50);
        }
        return router;
    }

    @AfterClass
    public void stop() {
        callers.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Answers as a target: after a time that depends on the route, or never. */
    private void serve(HttpCall call) {
        String id = call.header("X-Attempt-Id").orElse("");
        idsAtTarget.add(id);
        if (call.path().startsWith("/stuck/")) {
            return;
        }
        group.next()
                .schedule(
                        () -> call.respond(
                                200,
                                List.of(Map.entry("X-Attempt-Id", id), Map.entry("X-Server-Stamp", "stamp")),
                                "done".getBytes(ISO_8859_1)),
                        call.path().startsWith("/slow/") ? SLOW_MILLIS : FAST_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private String request(String route, String id) {
        return "POST /" + route + "/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n";
    }

    private String nextId() {
        return "r" + lastId.incrementAndGet();
    }

    /** Returns the response on a new connection; empty if the connection ends without a complete one. */
    private static String callOnce(int port, String request) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return call(socket, request);
        } catch (IOException e) {
            // Nothing listens at the port, or the connection was reset.
            return "";
        }
    }

    private static String call(Socket socket, String request) throws IOException {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.getOutputStream().write(request.getBytes(ISO_8859_1));
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        int lengthAt = head.toString().toLowerCase(Locale.ROOT).indexOf("content-length: ") + 16;
        int length = Integer.parseInt(head.substring(lengthAt, head.indexOf("\r\n", lengthAt)));
        byte[] body = in.readNBytes(length);
        return body.length == length ? head + new String(body, ISO_8859_1) : "";
    }

    private static String status(String response) {
        return response.isEmpty() ? "none" : response.split(" ", 3)[1];
    }

    private String call(String route) {
        return status(callOnce(callerPort, request(route, nextId())));
    }

    /** Calls on kept connections until the router is gone; returns the ids that reached the target and got no answer. */
    private List<String> callFastUntilGone(Process router) throws InterruptedException {
        List<String> unanswered = new ArrayList<>();
        while (true) {
            String id = "";
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
                String response = "response";
                while (!response.isEmpty()) {
                    id = nextId();
                    response = call(socket, request("fast", id));
                    if (response.contains("close")) {
                        Thread.sleep(RETURN_MILLIS);
                        break;
                    }
                }
                if (response.isEmpty() && idsAtTarget.contains(id)) {
                    unanswered.add(id);
                }
            } catch (IOException e) {
                if (idsAtTarget.contains(id)) {
                    unanswered.add(id);
                }
                if (!router.isAlive()) {
                    return unanswered;
                }
            }
        }
    }

    /**
     * Other operators saw requests that were taken late in the grace time, passed on, and cut off without an answer at its end.
     * Here it happened to requests that could not be answered by then, and to those of a silent target.
     */
    @Test
    public void answersWhateverItHasPassedOn() throws Exception {
        Process router = startRouter();
        try {
            Future<String> measured = callers.submit(() -> call("slow"));
            assertEquals(call("fast"), "200");
            assertEquals(measured.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "200");
            Future<String> stuck = callers.submit(() -> call("stuck"));
            List<Future<List<String>>> fast = new ArrayList<>();
            for (int i = 0; i < FAST_CALLERS; i++) {
                fast.add(callers.submit(() -> callFastUntilGone(router)));
            }
            while (idsAtTarget.size() < FAST_CALLERS) {
                Thread.sleep(10);
            }
            router.destroy();
            Thread.sleep(2_000);
            assertEquals(call("slow"), "503", "its answer would come after the end of the router");
            assertTrue(router.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "the router ends");
            String stuckStatus = stuck.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertEquals(stuckStatus, "504", "the request may have run, and has an answer");
            for (Future<List<String>> caller : fast) {
                assertEquals(caller.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), List.of());
            }
        } finally {
            router.destroyForcibly();
        }
    }
}
