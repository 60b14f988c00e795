package org.radishspan.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the HTTP client with correct, surplus, late, truncated and invalid responses. */
public class HttpClientTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok";
    private static final long WAIT_MILLIS = 5_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterClass
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A server that responds to each request with given bytes, whatever the request contains. */
    private static final class RawServer implements AutoCloseable {
        private final ScriptedServer server = new ScriptedServer(this::serve);
        private final IntFunction<String> responses;
        private final AtomicInteger requests = new AtomicInteger();

        RawServer(IntFunction<String> responses) throws IOException {
            this.responses = responses;
        }

        private void serve(Socket connection) throws IOException {
            byte[] buffer = new byte[4_096];
            while (connection.getInputStream().read(buffer) > 0) {
                String response = responses.apply(requests.getAndIncrement());
                ScriptedServer.send(connection, response);
                if (response.contains("Connection: close")) {
                    return;
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A server that sends one text after the first request, and then repeats another text until the connection is closed. */
    private static final class EndlessServer implements AutoCloseable {
        private static final int REPEATS_A_WRITE = 500;

        private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final CountDownLatch closed = new CountDownLatch(1);
        private final String prefix;
        private final byte[] repeated;

        EndlessServer(String prefix, String repeated) throws IOException {
            this.prefix = prefix;
            this.repeated = repeated.repeat(REPEATS_A_WRITE).getBytes(UTF_8);
            Thread worker = new Thread(this::serve, "endless-server");
            worker.setDaemon(true);
            worker.start();
        }

        int port() {
            return socket.getLocalPort();
        }

        private void serve() {
            try (Socket connection = socket.accept()) {
                OutputStream out = connection.getOutputStream();
                if (connection.getInputStream().read(new byte[4_096]) > 0) {
                    out.write(prefix.getBytes(UTF_8));
                    while (true) {
                        out.write(repeated);
                    }
                }
            } catch (IOException e) {
                // The client has closed the connection, or the test has closed the server.
                closed.countDown();
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private String call(HttpClient client, RawServer server) throws InterruptedException {
        return call(client, server.server.port());
    }

    private String call(HttpClient client, int port) throws InterruptedException {
        return new ClientCalls(group, client).get(port);
    }

    @Test
    public void connectionsAreReused() throws Exception {
        try (RawServer server = new RawServer(i -> OK)) {
            HttpClient client = new HttpClient(group);
            for (int i = 0; i < 5; i++) {
                assertEquals(call(client, server), "200 ok");
            }
            assertEquals(server.server.connections(), 1);
        }
    }

    @Test
    public void bytesAfterAResponseCloseTheConnection() throws Exception {
        try (RawServer server = new RawServer(i -> i == 0 ? OK + "surplus" : OK)) {
            HttpClient client = new HttpClient(group);
            assertEquals(call(client, server), "200 ok");
            assertEquals(call(client, server), "200 ok");
            assertEquals(server.server.connections(), 2, "the first connection is not reused");
        }
    }

    @Test
    public void aSecondResponseIsDiscarded() throws Exception {
        String other = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother";
        try (RawServer server = new RawServer(i -> i == 0 ? OK + other : OK)) {
            HttpClient client = new HttpClient(group);
            assertEquals(call(client, server), "200 ok");
            assertEquals(call(client, server), "200 ok");
        }
    }

    @Test
    public void aLateResponseToAnotherRequestIsSkipped() throws Exception {
        String late = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother";
        try (RawServer server = new RawServer(i -> late + OK)) {
            assertEquals(call(new HttpClient(group), server), "200 ok");
        }
    }

    /**
     * Guards against a failure seen by other operators: a second copy of a response arrived late, and the next request on the
     * connection received it.
     */
    @Test
    public void aSecondCopyOfAnAnswerThatComesLateReachesNobody() throws Exception {
        String copy = "HTTP/1.1 200 OK\r\nX-Id: before\r\nContent-Length: 4\r\n\r\ncopy";
        String copyWithoutId = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy";
        for (String late : List.of(copy, copyWithoutId)) {
            try (RawServer server = new RawServer(i -> i == 1 ? late + OK : OK)) {
                HttpClient client = new HttpClient(group);
                assertEquals(call(client, server), "200 ok");
                assertEquals(call(client, server), "200 ok", "the copy arrived first on the reused connection");
                assertEquals(server.server.connections(), 1);
                assertEquals(call(client, server), "200 ok");
                assertEquals(server.server.connections(), 2, "that connection is not reused");
            }
        }
    }

    /** Callers were told that requests which had run were not, because a target wrote an earlier refusal once more. */
    @Test
    public void anEarlierRefusalThatIsWrittenOnceMoreReachesNobody() throws Exception {
        String refusal =
                "HTTP/1.1 503 Service Unavailable\r\nX-Id: before\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
        String refusalWithoutId = refusal.replace("X-Id: before\r\n", "");
        for (String late : List.of(refusal, refusalWithoutId)) {
            try (RawServer server = new RawServer(i -> i == 1 ? late + OK : OK)) {
                HttpClient client = new HttpClient(group);
                assertEquals(call(client, server), "200 ok");
                assertEquals(call(client, server), "200 ok", "the refusal arrived first on the reused connection");
                assertEquals(server.server.connections(), 1);
                assertEquals(call(client, server), "200 ok");
                assertEquals(server.server.connections(), 2, "that connection is not reused");
            }
        }
    }

    /** A request that is moved to another target while its connection is being established must not reach both targets. */
    @Test
    public void aCallCancelledWhileItsConnectionIsMadeSendsNothing() throws Exception {
        try (RawServer server = new RawServer(i -> OK)) {
            HttpClient client = new HttpClient(group);
            BlockingQueue<Boolean> sent = new LinkedBlockingQueue<>();
            group.next().execute(() -> {
                HttpTransport.Call cancelled = client.send(
                        new HttpTransport.Request(
                                InetAddress.getLoopbackAddress().getHostAddress(),
                                server.server.port(),
                                "POST",
                                "/",
                                Map.of(),
                                new byte[0],
                                WAIT_MILLIS),
                        WholeAnswer.collecting(response -> {}));
                sent.add(cancelled.sent());
                cancelled.cancel();
            });
            assertFalse(sent.take());
            assertEquals(call(client, server), "200 ok");
            assertEquals(server.requests.get(), 1);
        }
    }

    /** Guards against requests sent after their deadlines: a stalled VM sent them on new connections seconds too late. */
    @Test
    public void aCallNoLongerWantedWhenItsConnectionIsEstablishedSendsNothing() throws Exception {
        try (RawServer server = new RawServer(i -> OK)) {
            HttpClient client = new HttpClient(group);
            BlockingQueue<Boolean> wantedCalls = new LinkedBlockingQueue<>();
            HttpTransport.Listener late = new HttpTransport.Listener() {
                @Override
                public boolean wanted() {
                    wantedCalls.add(true);
                    return false;
                }

                @Override
                public void onHead(int status, HttpTransport.Headers headers) {}

                @Override
                public void onBody(byte[] bytes) {}

                @Override
                public void onEnd() {}

                @Override
                public void onFailure(String message, boolean sent) {}
            };
            HttpTransport.Request request = new HttpTransport.Request(
                    InetAddress.getLoopbackAddress().getHostAddress(),
                    server.server.port(),
                    "POST",
                    "/",
                    Map.of(),
                    new byte[0],
                    WAIT_MILLIS);
            group.next().execute(() -> client.send(request, late));
            wantedCalls.take();
            assertEquals(call(client, server), "200 ok");
            assertEquals(server.requests.get(), 1);
        }
    }

    @Test
    public void informationalResponsesAreSkipped() throws Exception {
        try (RawServer server = new RawServer(i -> "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK)) {
            assertEquals(call(new HttpClient(group), server), "200 ok");
        }
    }

    @Test
    public void aResponseWithoutALengthEndsWithTheConnection() throws Exception {
        try (RawServer server = new RawServer(i -> "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it")) {
            assertEquals(call(new HttpClient(group), server), "200 all of it");
        }
    }

    @Test
    public void aStreamWithoutALengthArrivesInPartsAndEndsWithTheConnection() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
        try (RawServer server = new RawServer(number -> head + "id: 1\n\nid: 2\n")) {
            assertEquals(call(new HttpClient(group), server), "200 id: 1\n\nid: 2\n");
        }
    }

    @Test
    public void aResponseWithoutALengthThatIsResetIsAFailure() throws Exception {
        try (ScriptedServer server = new ScriptedServer(connection -> {
            ScriptedServer.readHead(connection);
            ScriptedServer.send(connection, "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nid: 1\n\n");
            ScriptedServer.reset(connection);
        })) {
            assertEquals(call(new HttpClient(group), server.port()), "failed");
        }
    }

    @Test
    public void aTestOfAConnectionTellsWhetherAProcessListens() throws Exception {
        int port;
        // No thread waits in accept, so that the port refuses connections as soon as the socket is closed.
        try (ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
            assertEquals(testConnection(port), HttpTransport.ConnectionTest.ACCEPTED);
        }
        assertEquals(testConnection(port), HttpTransport.ConnectionTest.REFUSED);
    }

    private HttpTransport.ConnectionTest testConnection(int port) throws Exception {
        CompletableFuture<HttpTransport.ConnectionTest> result = new CompletableFuture<>();
        group.execute(() ->
                new HttpClient(group).test(InetAddress.getLoopbackAddress().getHostAddress(), port, result::complete));
        return result.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    public void aTruncatedResponseIsAFailure() throws Exception {
        try (RawServer server =
                new RawServer(i -> "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\nhalf")) {
            assertEquals(call(new HttpClient(group), server), "failed");
        }
    }

    @DataProvider
    public Object[][] endlessData() {
        return new Object[][] {
            {"", "no http at all "},
            {"HTTP/1.1 200 OK\r\n", "X-Id: mine\r\n"},
            {"HTTP/1.1 200 OK\r\nX-Id: ", "mine"},
            {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nX-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
            {"HTTP/1.1 200 OK\r\nX-Id: another\r\n\r\n", "bytes"},
            {"HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: x\r\n"},
            {"HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n4;", "extension"}
        };
    }

    /**
     * Invalid data that never ends must fail the call and close the connection. The users state that targets may send such data
     * until the caller closes the connection.
     */
    @Test(dataProvider = "endlessData")
    public void endlessInvalidDataIsAFailure(String prefix, String repeated) throws Exception {
        try (EndlessServer server = new EndlessServer(prefix, repeated)) {
            assertEquals(call(new HttpClient(group), server.port()), "failed");
            assertTrue(server.closed.await(WAIT_MILLIS, TimeUnit.MILLISECONDS), "the connection is closed");
        }
    }

    @Test
    public void invalidDataIsAFailure() throws Exception {
        try (RawServer server = new RawServer(i -> "no http at all\r\n\r\n")) {
            assertEquals(call(new HttpClient(group), server), "failed");
        }
    }
}
