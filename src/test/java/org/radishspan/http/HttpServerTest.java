package org.radishspan.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the HTTP server during a planned stop, and with callers that close the connection early. */
public class HttpServerTest {
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final int CALLERS = 30;
    private static final int WORK_MILLIS = 20;
    private static final int LARGE_BYTES = 1_000_000;
    private static final int TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);

    @AfterClass
    public void stop() {
        callers.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Sends requests on one connection until the server closes it. Returns the number of complete responses. */
    private static int callUntilClosed(int port) throws IOException {
        int responses = 0;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            while (true) {
                socket.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
                String response = readResponse(socket.getInputStream());
                if (!response.endsWith("\r\n\r\nok")) {
                    return responses;
                }
                responses++;
                if (response.contains("close")) {
                    return responses;
                }
            }
        } catch (IOException e) {
            // The server closed the connection before it read the request.
            return responses;
        }
    }

    private static String readResponse(InputStream in) throws IOException {
        return readUntil(in, "\r\n\r\nok");
    }

    private static String readUntil(InputStream in, String end) throws IOException {
        StringBuilder response = new StringBuilder();
        while (response.length() < end.length()
                || !response.substring(response.length() - end.length()).equals(end)) {
            int next = in.read();
            if (next < 0) {
                break;
            }
            response.append((char) next);
        }
        return response.toString();
    }

    /**
     * Guards against forwarding requests of callers that have closed the connection: a router without processor time read them
     * seconds later and sent them to targets (scenario GONE).
     */
    @Test
    public void aRequestWhoseConnectionIsClosedBeforeItIsReadIsNotHandled() throws Exception {
        AtomicInteger handled = new AtomicInteger();
        HttpServer server = HttpServer.start(group, "127.0.0.1", 0, 1_000, call -> {
            handled.incrementAndGet();
            call.respond(200, "text/plain", "ok");
        });
        CountDownLatch unblocked = new CountDownLatch(1);
        try (Socket persistent = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            persistent.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
            readResponse(persistent.getInputStream());
            group.next().execute(() -> await(unblocked));
            for (int i = 0; i < CALLERS; i++) {
                try (Socket closedEarly = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
                    closedEarly.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
                }
            }
            persistent.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
            unblocked.countDown();
            readResponse(persistent.getInputStream());
            assertEquals(callOnce(server.port()), "ok");
        }
        assertEquals(handled.get(), 3, "two requests on the kept connection, and one on a new one");
        server.stop();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String callOnce(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
            String response = readResponse(socket.getInputStream());
            return response.substring(response.lastIndexOf('\n') + 1);
        }
    }

    @DataProvider
    public Object[][] framings() {
        return new Object[][] {{false}, {true}};
    }

    private static void sendLarge(Socket socket, boolean chunked) throws IOException {
        String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LARGE_BYTES;
        OutputStream out = socket.getOutputStream();
        out.write(("POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n").getBytes(ISO_8859_1));
        if (chunked) {
            out.write((Integer.toHexString(LARGE_BYTES) + "\r\n").getBytes(ISO_8859_1));
        }
        out.write(new byte[LARGE_BYTES]);
        if (chunked) {
            out.write("\r\n0\r\n\r\n".getBytes(ISO_8859_1));
        }
        out.flush();
    }

    /** Returns the status of a large request, which stays unanswered while it is held by the handler. */
    private static String callLarge(int port, boolean chunked) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            sendLarge(socket, chunked);
            String head = readUntil(socket.getInputStream(), "\r\n\r\n");
            boolean retry = head.toLowerCase(Locale.ROOT).contains("retry-after: ");
            return head.split(" ", 3)[1] + (retry ? " later" : "");
        }
    }

    /** Routers answered nobody any more after many callers had sent large bodies at once: their heap was full. */
    @Test(dataProvider = "framings")
    public void manyLargeBodiesAtOnceLeaveMemoryForOtherRequests(boolean chunked) throws Exception {
        Queue<HttpCall> held = new ConcurrentLinkedQueue<>();
        HttpServer server = HttpServer.start(group, "127.0.0.1", 0, 4_194_304, call -> {
            if (call.body().length == 0) {
                call.respond(200, "text/plain", "ok");
                return;
            }
            held.add(call);
        });
        List<Future<String>> statuses = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            statuses.add(callers.submit(() -> callLarge(server.port(), chunked)));
        }
        while (statuses.stream().filter(Future::isDone).count() + held.size() < CALLERS) {
            Thread.sleep(10);
        }
        int heldMegabytes = held.size() * LARGE_BYTES / 1_000_000;
        assertTrue(heldMegabytes >= 5 && heldMegabytes <= 96 / 4, heldMegabytes + " MB are held, of a heap of 96 MB");
        assertEquals(callOnce(server.port()), "ok", "a small request is served meanwhile");
        group.next()
                .submit(() -> held.forEach(call -> call.respond(200, "text/plain", "ok")))
                .sync();
        List<String> results = new ArrayList<>();
        for (Future<String> status : statuses) {
            results.add(status.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
        assertEquals(results.stream().filter("200"::equals).count(), held.size());
        assertEquals(results.stream().filter("503 later"::equals).count(), CALLERS - held.size());
        held.clear();
        for (int i = 0; i < CALLERS; i++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
                sendLarge(socket, chunked);
                awaitSize(held, 1);
            }
            held.clear();
        }
        Future<String> later = callers.submit(() -> callLarge(server.port(), chunked));
        awaitSize(held, 1);
        group.next()
                .submit(() -> held.remove().respond(200, "text/plain", "ok"))
                .sync();
        assertEquals(later.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "200", "closed connections hold no memory");
        server.stop();
    }

    private static void awaitSize(Queue<HttpCall> held, int size) throws InterruptedException {
        while (held.size() < size) {
            Thread.sleep(1);
        }
    }

    /** A router ran out of memory while it relayed many tiny events that had arrived at once. */
    @Test
    public void partsOfOneTurnAreSentTogetherAndLimited() throws Exception {
        int parts = 30_000;
        CompletableFuture<Integer> writtenBeforeLimit = new CompletableFuture<>();
        CompletableFuture<Void> writableAgain = new CompletableFuture<>();
        HttpServer server = HttpServer.start(group, "127.0.0.1", 0, 1_000, call -> {
            call.onWritable(() -> {
                writableAgain.complete(null);
                call.end();
            });
            call.startStream(200, "text/plain", Map.of());
            int written = 0;
            while (call.writable() && written < parts) {
                call.write(new byte[] {'x', '\n', '\n'});
                written++;
            }
            writtenBeforeLimit.complete(written);
        });
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
            int written = writtenBeforeLimit.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(written < parts, "the call is not writable until its parts are sent");
            writableAgain.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            String response = readUntil(socket.getInputStream(), "\r\n0\r\n\r\n");
            String body = response.substring(response.indexOf("\r\n\r\n") + 4);
            assertEquals(body.chars().filter(character -> character == 'x').count(), written);
            assertTrue(body.length() < written * 3 + 100, "there are few chunks: " + body.length() + " bytes");
        }
        server.stop();
    }

    /** Guards against a failure seen by other operators: a planned stop under load cut off requests that were just accepted. */
    @Test
    public void aPlannedStopUnderLoadAnswersEveryRequestThatWasRead() throws Exception {
        AtomicInteger read = new AtomicInteger();
        HttpServer server = HttpServer.start(group, "127.0.0.1", 0, 1_000, call -> {
            read.incrementAndGet();
            group.next().schedule(() -> call.respond(200, "text/plain", "ok"), WORK_MILLIS, TimeUnit.MILLISECONDS);
        });
        List<Future<Integer>> results = new ArrayList<>();
        Callable<Integer> caller = () -> callUntilClosed(server.port());
        for (int i = 0; i < CALLERS; i++) {
            results.add(callers.submit(caller));
        }
        while (read.get() < CALLERS * 3) {
            Thread.sleep(1);
        }
        group.next().submit(server::closeAfterAnswers).sync();
        while (group.next().submit(server::connections).get() > 0) {
            group.next().submit(server::closeIdle).sync();
        }
        int received = 0;
        for (Future<Integer> result : results) {
            received += result.get();
        }
        assertEquals(received, read.get(), "each request that was read has a complete response");
        assertTrue(received >= CALLERS * 3);
        server.stop();
    }
}
