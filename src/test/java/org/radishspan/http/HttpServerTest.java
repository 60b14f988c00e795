package org.radishspan.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
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
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** What callers get from a server that stops. */
public class HttpServerTest {
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final int CALLERS = 30;
    private static final int WORK_MILLIS = 20;
    private static final int TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);

    @AfterClass
    public void stop() {
        callers.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Calls again and again on one connection until the server closes it; returns the whole answers. */
    private static int callUntilClosed(int port) throws IOException {
        int answers = 0;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            while (true) {
                socket.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
                String answer = readAnswer(socket.getInputStream());
                if (!answer.endsWith("\r\n\r\nok")) {
                    return answers;
                }
                answers++;
                if (answer.contains("close")) {
                    return answers;
                }
            }
        } catch (IOException e) {
            // The server closed the connection before it read the request.
            return answers;
        }
    }

    private static String readAnswer(InputStream in) throws IOException {
        StringBuilder answer = new StringBuilder();
        while (!answer.toString().endsWith("\r\n\r\nok")) {
            int next = in.read();
            if (next < 0) {
                break;
            }
            answer.append((char) next);
        }
        return answer.toString();
    }

    /** A starved router read requests seconds late, after their callers had left, and passed them on (GONE). */
    @Test
    public void aRequestWhoseCallerHasLeftBeforeItIsReadIsNotHandled() throws Exception {
        AtomicInteger handled = new AtomicInteger();
        HttpServer server = HttpServer.start(group, "127.0.0.1", 0, 1_000, call -> {
            handled.incrementAndGet();
            call.respond(200, "text/plain", "ok");
        });
        CountDownLatch free = new CountDownLatch(1);
        try (Socket kept = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            kept.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
            readAnswer(kept.getInputStream());
            group.next().execute(() -> await(free));
            for (int i = 0; i < CALLERS; i++) {
                try (Socket leaving = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
                    leaving.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
                }
            }
            kept.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
            free.countDown();
            readAnswer(kept.getInputStream());
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
            String answer = readAnswer(socket.getInputStream());
            return answer.substring(answer.lastIndexOf('\n') + 1);
        }
    }

    /** Other operators saw it: during a planned stop under load, requests that had just been accepted were cut off. */
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
        int answered = 0;
        for (Future<Integer> result : results) {
            answered += result.get();
        }
        assertEquals(answered, read.get(), "requests read, and whole answers got");
        assertTrue(answered >= CALLERS * 3);
        server.stop();
    }
}
