package org.radishspan.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that the HTTP server accepts each request head up to the limit, whatever it consists of, and no longer one. */
public class RequestHeadTest {
    private static final int MAX_HEAD_BYTES = 16_384;
    private static final int MAX_BODY_BYTES = 100_000;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final String END = "\r\n";
    private static final String KEPT = "Host: h" + END;
    private static final String CLOSED = KEPT + "Connection: close" + END;
    private static final String OK = "HTTP/1.1 200 OK";
    private static final String TOO_LARGE = "HTTP/1.1 431 Request Header Fields Too Large";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> handled = new CopyOnWriteArrayList<>();
    private final HttpServer server = start();

    private HttpServer start() {
        HttpServer.Limits limits = new HttpServer.Limits(MAX_HEAD_BYTES, MAX_BODY_BYTES, 3_000, 15_000);
        return HttpServer.start(group, "127.0.0.1", 0, () -> limits, call -> {
            handled.add(call.rawMethod() + " " + call.rawUri().length() + " " + call.body().length);
            call.respond(200, "text/plain", "ok");
        });
    }

    @BeforeMethod
    public void reset() {
        handled.clear();
    }

    @AfterClass
    public void stop() {
        server.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Returns the status lines of all responses on a connection until the server closes it. */
    private List<String> statusLines(String sent) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(sent.getBytes(ISO_8859_1));
            return statusLines(socket.getInputStream());
        }
    }

    private static List<String> statusLines(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line : new String(in.readAllBytes(), ISO_8859_1).split(END)) {
            if (line.contains("HTTP/1.1 ")) {
                lines.add(line.substring(line.indexOf("HTTP/1.1 ")));
            }
        }
        return lines;
    }

    /** Fills the place marked by {@code #} so that the head has this many bytes. */
    private static String head(String template, int bytes, String filling) {
        StringBuilder filled = new StringBuilder();
        while (template.length() - 1 + filled.length() + filling.length() <= bytes) {
            filled.append(filling);
        }
        filled.append("n".repeat(bytes - template.length() + 1 - filled.length()));
        return template.replace("#", filled);
    }

    @DataProvider
    public Object[][] heads() {
        return new Object[][] {
            {"the request line", "GET /?q=# HTTP/1.1" + END + CLOSED + END, "n"},
            {"one header", "GET / HTTP/1.1" + END + CLOSED + "a: #" + END + END, "n"},
            {"many short headers", "GET / HTTP/1.1" + END + CLOSED + "a: b#" + END + END, END + "a:b"},
            {"spaces before a value", "GET / HTTP/1.1" + END + CLOSED + "a:#b" + END + END, " "},
            {"both parts", "GET /?q=" + "q".repeat(9_000) + " HTTP/1.1" + END + CLOSED + "a: #" + END + END, "n"},
        };
    }

    /** Guards against a fixed limit for request lines, by which requests with long queries were refused (review/8). */
    @Test(dataProvider = "heads")
    public void upToTheLimitIsAccepted(String part, String template, String filling) throws Exception {
        assertEquals(statusLines(head(template, MAX_HEAD_BYTES / 2 + 1_500, filling)), List.of(OK), part);
        assertEquals(statusLines(head(template, MAX_HEAD_BYTES, filling)), List.of(OK), part);
        assertEquals(handled.size(), 2);
    }

    @Test(dataProvider = "heads")
    public void beyondTheLimitIsRefused(String part, String template, String filling) throws Exception {
        assertEquals(statusLines(head(template, MAX_HEAD_BYTES + 1, filling)), List.of(TOO_LARGE), part);
        assertEquals(statusLines(head(template, 3 * MAX_HEAD_BYTES, filling)), List.of(TOO_LARGE), part);
        assertEquals(handled, List.of());
    }

    /** The server must not collect a head that has no end. */
    @Test(dataProvider = "heads")
    public void thatDoesNotEndIsRefusedAsSoonAsItExceedsTheLimit(String part, String template, String filling)
            throws Exception {
        String whole = head(template, 3 * MAX_HEAD_BYTES, filling);
        try (Socket socket = connect()) {
            for (int from = 0; from <= MAX_HEAD_BYTES; from += 1_000) {
                int to = Math.min(from + 1_000, MAX_HEAD_BYTES + 1);
                socket.getOutputStream().write(whole.substring(from, to).getBytes(ISO_8859_1));
            }
            assertEquals(statusLines(socket.getInputStream()), List.of(TOO_LARGE), part);
        }
    }

    @Test
    public void isCountedForEachRequestOfAConnection() throws Exception {
        String get = head("GET /?q=# HTTP/1.1" + END + KEPT + END, 9_000, "n");
        String post = head("POST /?q=# HTTP/1.1" + END + KEPT + "Content-Length: 90000" + END + END, 9_000, "n");
        String chunked =
                head("POST /?q=# HTTP/1.1" + END + KEPT + "Transfer-Encoding: chunked" + END + END, 9_000, "n");
        String last = head("GET /?q=# HTTP/1.1" + END + CLOSED + END, 9_000, "n");
        String chunks = ("4e20" + END + "c".repeat(20_000) + END).repeat(3) + "0" + END + END;
        assertEquals(statusLines(get + post + "b".repeat(90_000) + chunked + chunks + last), List.of(OK, OK, OK, OK));
        assertEquals(
                handled.stream()
                        .map(call -> call.substring(call.lastIndexOf(' ') + 1))
                        .toList(),
                List.of("0", "90000", "60000", "0"));
    }

    /** Bytes after a head that was refused may be its rest, and must not be read as requests. */
    @Test
    public void thatIsRefusedIsTheLastOfItsConnection() throws Exception {
        String tooLong = head("GET /?q=# HTTP/1.1" + END + KEPT + END, MAX_HEAD_BYTES + 1, "n");
        String next = "GET / HTTP/1.1" + END + KEPT + END;
        assertEquals(statusLines(tooLong + next + next), List.of(TOO_LARGE));
        assertEquals(handled, List.of());
    }

    @Test
    public void thatIsNotValidIsNotReportedAsTooLong() throws Exception {
        assertEquals(statusLines("GET" + END + END), List.of("HTTP/1.1 400 Bad Request"));
        assertEquals(handled, List.of());
    }

    @Test
    public void withTheMethodHeadIsAnsweredWithoutABody() throws Exception {
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write(("HEAD / HTTP/1.1" + END + KEPT + END + "GET / HTTP/1.1" + END + CLOSED + END)
                            .getBytes(ISO_8859_1));
            String responses = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
            assertEquals(responses.split("HTTP/1.1 200 OK", -1).length, 3);
            assertFalse(
                    responses.substring(0, responses.lastIndexOf("HTTP/1.1")).endsWith("ok"));
            assertTrue(responses.endsWith(END + END + "ok"));
        }
    }
}
