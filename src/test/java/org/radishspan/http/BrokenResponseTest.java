package org.radishspan.http;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

/** Tests that what servers in trouble send is no response, and that sound responses of every form are. */
public class BrokenResponseTest {
    private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** More than the sockets of both sides hold, so that the request is still being written when the response arrives. */
    private static final byte[] LONG_BODY = new byte[16_777_216];

    @AfterClass
    public static void stop() {
        GROUP.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String get(String response) throws Exception {
        try (ScriptedServer server = ScriptedServer.sending(response)) {
            return new ClientCalls(GROUP).get(server.port());
        }
    }

    private static String getOnOpenConnection(String response) throws Exception {
        return sendOnOpenConnection("GET", response);
    }

    /** Returns the result of a call whose connection stays open after the response. */
    private static String sendOnOpenConnection(String method, String response) throws Exception {
        try (ScriptedServer server = new ScriptedServer(connection -> {
            ScriptedServer.readHead(connection);
            ScriptedServer.send(connection, response);
            ScriptedServer.readToEnd(connection);
        })) {
            return new ClientCalls(GROUP).send(server.port(), method, new byte[0]);
        }
    }

    private static String upload(ScriptedServer.Script script) throws Exception {
        try (ScriptedServer server = new ScriptedServer(script)) {
            return new ClientCalls(GROUP).send(server.port(), "POST", LONG_BODY);
        }
    }

    /** Responses that arrive while a long request is still being written. */
    public static class EarlyResponses {
        @DataProvider
        public static Object[][] incomplete() {
            return new Object[][] {
                {"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\npart"},
                {"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n"},
                {"HTTP/1.0 200 OK\r\nX-Id: mine\r\n\r\npart"},
                {"HTTP/1.1 200 OK\r\nX-Id: mine\r\nConnection: close\r\n\r\npart"},
                {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"},
                {"HTTP/1.1 500 Internal Server Error\r\n\r\npart"},
                {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"},
                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
            };
        }

        /** Callers got a part of a response as a complete one: the server had reset the connection during the upload. */
        @Test(dataProvider = "incomplete")
        public void thatAreCutOffByAResetAreFailures(String response) throws Exception {
            assertEquals(
                    upload(connection -> {
                        ScriptedServer.readHead(connection);
                        ScriptedServer.send(connection, response);
                        ScriptedServer.reset(connection);
                    }),
                    ClientCalls.FAILED);
        }

        /** The same, if the client has already read the part of the response when the connection is reset. */
        @Test(dataProvider = "incomplete")
        public void thatAreCutOffByALaterResetAreFailures(String response) throws Exception {
            assertEquals(
                    upload(connection -> {
                        ScriptedServer.readHead(connection);
                        ScriptedServer.send(connection, response);
                        awaitReader();
                        ScriptedServer.reset(connection);
                    }),
                    ClientCalls.FAILED);
        }

        @DataProvider
        public static Object[][] complete() {
            return new Object[][] {
                {"HTTP/1.1 413 Content Too Large\r\nX-Id: mine\r\nContent-Length: 3\r\n\r\nbig", "413 big"},
                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "200 body"},
                {"HTTP/1.1 204 No Content\r\nX-Id: mine\r\n\r\n", "204 "},
            };
        }

        @Test(dataProvider = "complete")
        public void thatAreCompleteAreDeliveredAlthoughTheConnectionIsReset(String response, String expected)
                throws Exception {
            assertEquals(
                    upload(connection -> {
                        ScriptedServer.readHead(connection);
                        ScriptedServer.send(connection, response);
                        ScriptedServer.reset(connection);
                    }),
                    expected);
        }

        @Test(dataProvider = "complete")
        public void thatAreCompleteAreDeliveredWhileTheServerReadsOn(String response, String expected)
                throws Exception {
            assertEquals(
                    upload(connection -> {
                        ScriptedServer.readHead(connection);
                        ScriptedServer.send(connection, response);
                        ScriptedServer.readToEnd(connection);
                    }),
                    expected);
        }

        @Test
        public void withoutALengthEndWithTheConnection() throws Exception {
            assertEquals(
                    upload(connection -> {
                        ScriptedServer.readHead(connection);
                        ScriptedServer.send(connection, "HTTP/1.1 200 OK\r\n\r\nall of it");
                        connection.shutdownOutput();
                        ScriptedServer.readToEnd(connection);
                    }),
                    "200 all of it");
        }

        /** A server may read the rest of a long request after its response. It must get nothing else in its place. */
        @Test
        public void areNotFollowedByAnotherRequestInPlaceOfTheRest() throws Exception {
            BlockingQueue<Long> bytes = new LinkedBlockingQueue<>();
            try (ScriptedServer server = new ScriptedServer(connection -> {
                ScriptedServer.readHead(connection);
                ScriptedServer.send(connection, "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok");
                awaitReader();
                bytes.add(ScriptedServer.readToEnd(connection));
            })) {
                ClientCalls calls = new ClientCalls(GROUP);
                assertEquals(calls.send(server.port(), "POST", LONG_BODY), "200 ok");
                assertEquals(calls.get(server.port()), "200 ok");
                assertEquals(server.connections(), 2, "a connection on which a request is being written is not reused");
                assertNotEquals(bytes.poll(ClientCalls.WAIT_MILLIS, TimeUnit.MILLISECONDS), null);
            }
        }

        private static void awaitReader() {
            try {
                Thread.sleep(200);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** What ends a response that has neither a length nor chunks. */
    public static class ResponsesWithoutALength {
        private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n";

        @Test
        public void endWithTheConnection() throws Exception {
            assertEquals(get(HEAD + "all of it"), "200 all of it");
            assertEquals(get(HEAD), "200 ");
            assertEquals(get("HTTP/1.0 200 OK\r\n\r\nall of it"), "200 all of it");
        }

        /** A client that ends cuts the connection off itself, and must not take what has arrived for the whole response. */
        @Test
        public void areFailuresIfTheClientClosesTheConnection() throws Exception {
            EventLoopGroup ending = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            try (ScriptedServer server = new ScriptedServer(connection -> {
                ScriptedServer.readHead(connection);
                ScriptedServer.send(connection, HEAD + "part");
                ending.shutdownGracefully(50, ClientCalls.WAIT_MILLIS, TimeUnit.MILLISECONDS);
                ScriptedServer.readToEnd(connection);
            })) {
                assertEquals(new ClientCalls(ending).get(server.port()), ClientCalls.FAILED);
            }
        }
    }

    /** First lines of responses. */
    public static class StatusLines {
        private static final String REST = "\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok";

        @DataProvider
        public static Object[][] invalid() {
            return new Object[][] {
                {"HTTP/1.1 000 Zero"},
                {"HTTP/1.1 099 Low"},
                {"HTTP/1.1 600 High"},
                {"HTTP/1.1 999 High"},
                {"HTTP/1.1 1000 Long"},
                {"HTTP/1.1 20 Short"},
                {"HTTP/1.1 0200 OK"},
                {"HTTP/1.1 +200 OK"},
                {"HTTP/1.1 -200 OK"},
                {"HTTP/1.1 2OO OK"},
                {"HTTP/1.1  200 OK"},
                {"HTTP/1.1\t200 OK"},
                {"HTTP/1.1 200OK"},
                {"HTTP/1.1 200\tOK"},
                {"HTTP/1.1 200 O\001K"},
                {"HTTP/1.1 200 O\000K"},
                {"HTTP/1.1 101 Switching Protocols"},
                {"HTTP/1.1"},
                {"HTTP/1.1 "},
                {" HTTP/1.1 200 OK"},
                {"\r\nHTTP/1.1 200 OK"},
                {"\000HTTP/1.1 200 OK"},
                {"http/1.1 200 OK"},
                {"HTTP/2.0 200 OK"},
                {"HTTP/1.x 200 OK"},
                {"ICY/1.1 200 OK"},
            };
        }

        /** Callers got status 000 and the like from servers in trouble, or waited until their deadline. */
        @Test(dataProvider = "invalid")
        public void thatAreInvalidAreFailures(String line) throws Exception {
            assertEquals(get(line + REST), ClientCalls.FAILED);
            assertEquals(getOnOpenConnection(line + REST), ClientCalls.FAILED);
        }

        /** What follows an invalid response on the same connection is not trusted either. */
        @Test
        public void thatAreInvalidAreNotSkipped() throws Exception {
            assertEquals(get("HTTP/1.1 000 Zero" + REST + "HTTP/1.1 200 OK" + REST), ClientCalls.FAILED);
        }

        @DataProvider
        public static Object[][] valid() {
            return new Object[][] {
                {"HTTP/1.1 200 OK", "200 ok"},
                {"HTTP/1.1 200 ", "200 ok"},
                {"HTTP/1.1 200", "200 ok"},
                {"HTTP/1.0 404 Not Found", "404 ok"},
                {"HTTP/1.1 200 Tr\350s bien", "200 ok"},
                {"HTTP/1.1 299 Other", "299 ok"},
                {"HTTP/1.1 599 Last", "599 ok"},
                {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", "200 ok"},
            };
        }

        @Test(dataProvider = "valid")
        public void thatAreValidAreAccepted(String line, String expected) throws Exception {
            assertEquals(getOnOpenConnection(line + REST), expected);
        }
    }

    /** Lines of the head below the first one. */
    public static class Fields {
        private static String with(String line) {
            return "HTTP/1.1 200 OK\r\nX-Id: mine\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok";
        }

        @DataProvider
        public static Object[][] invalid() {
            return new Object[][] {
                {"X Y: 1"},
                {"X-Y : 1"},
                {"X-Y\t: 1"},
                {"X\tY: 1"},
                {" X-Y: 1"},
                {"\tX-Y: 1"},
                {" "},
                {"\001X-Y: 1"},
                {"X\001Y: 1"},
                {"X\000Y: 1"},
                {"X\013Y: 1"},
                {"X\rY: 1"},
                {"X\177Y: 1"},
                {"X\351Y: 1"},
                {"X(Y): 1"},
                {": 1"},
                {"no colon"},
                {"X-Y: a\000b"},
                {"X-Y: a\001b"},
                {"X-Y: a\rb"},
                {"X-Y: a\177b"},
            };
        }

        /** Callers got such lines, or responses whose fields had been taken apart differently from how they were meant. */
        @Test(dataProvider = "invalid")
        public void thatAreInvalidAreFailures(String line) throws Exception {
            assertEquals(get(with(line)), ClientCalls.FAILED);
            assertEquals(
                    get("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok"),
                    ClientCalls.FAILED,
                    "as the first field");
        }

        @DataProvider
        public static Object[][] damagedLengths() {
            return new Object[][] {
                {"Content Length: 2"},
                {"Content-Length : 2"},
                {"Content-\tLength: 2"},
                {"Content-\001Length: 2"},
                {" Content-Length: 2"},
                {"Content-Length\000: 2"},
            };
        }

        /** The body was taken to end elsewhere, if the damaged name was the one of its length. */
        @Test(dataProvider = "damagedLengths")
        public void thatDamageTheLengthAreFailures(String line) throws Exception {
            assertEquals(get("HTTP/1.1 200 OK\r\nX-Id: mine\r\n" + line + "\r\n\r\nok"), ClientCalls.FAILED);
            assertEquals(get("HTTP/1.1 200 OK\r\nX-Id: mine\r\n" + line + "\r\n\r\nok and more"), ClientCalls.FAILED);
        }

        @DataProvider
        public static Object[][] valid() {
            return new Object[][] {
                {"X-Empty:"},
                {"X-Empty: "},
                {"X-Tight:1"},
                {"X-Tab:\ta\tb\t"},
                {"X-Latin: \351"},
                {"X-Colons: a:b: c"},
                {"!#$%&'*+-.^_`|~09azAZ: 1"},
                {"X-Id: mine\r\nX-Id: mine"},
            };
        }

        @Test(dataProvider = "valid")
        public void thatAreValidAreAccepted(String line) throws Exception {
            assertEquals(get(with(line)), "200 ok");
        }
    }

    /** The length and the transfer coding of bodies. */
    public static class Framing {
        @DataProvider
        public static Object[][] invalidFields() {
            return new Object[][] {
                {"Content-Length:"},
                {"Content-Length: +2"},
                {"Content-Length: -2"},
                {"Content-Length: 0x2"},
                {"Content-Length: 2;"},
                {"Content-Length: 2 2"},
                {"Content-Length: 2, 2"},
                {"Content-Length: 2.0"},
                {"Content-Length: 99999999999999999999"},
                {"Content-Length: 2\r\nContent-Length: 2"},
                {"Content-Length: 2\r\nContent-Length: 1"},
                {"Transfer-Encoding: gzip"},
                {"Transfer-Encoding: identity"},
                {"Transfer-Encoding: xchunked"},
                {"Transfer-Encoding:"},
            };
        }

        @Test(dataProvider = "invalidFields")
        public void thatIsInvalidIsAFailure(String fields) throws Exception {
            assertEquals(get("HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\nok"), ClientCalls.FAILED);
        }

        @DataProvider
        public static Object[][] invalidChunkedFields() {
            return new Object[][] {
                {"HTTP/1.1", "Transfer-Encoding: gzip, chunked"},
                {"HTTP/1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked"},
                {"HTTP/1.1", "Transfer-Encoding: chunked, chunked"},
                {"HTTP/1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"},
                {"HTTP/1.1", "Transfer-Encoding: chunked\r\nContent-Length: 2"},
                {"HTTP/1.1", "Content-Length: 12\r\nTransfer-Encoding: chunked"},
                {"HTTP/1.0", "Transfer-Encoding: chunked"},
            };
        }

        @Test(dataProvider = "invalidChunkedFields")
        public void thatContradictsItselfIsAFailure(String version, String fields) throws Exception {
            assertEquals(get(version + " 200 OK\r\n" + fields + "\r\n\r\n2\r\nok\r\n0\r\n\r\n"), ClientCalls.FAILED);
        }

        @DataProvider
        public static Object[][] invalidChunks() {
            return new Object[][] {
                {"\r\nok\r\n0\r\n\r\n"},
                {"x\r\nok\r\n0\r\n\r\n"},
                {"-2\r\nok\r\n0\r\n\r\n"},
                {"0x2\r\nok\r\n0\r\n\r\n"},
                {" 2\r\nok\r\n0\r\n\r\n"},
                {"2 2\r\nok\r\n0\r\n\r\n"},
                {"2;\001\r\nok\r\n0\r\n\r\n"},
                {"1\r\nok\r\n0\r\n\r\n"},
                {"2\r\nokay\r\n0\r\n\r\n"},
                {"2\r\nok0\r\n\r\n"},
                {"2\r\nok\n0\r\n\r\n"},
                {"2\nok\r\n0\r\n\r\n"},
                {"3\r\nok\r\n0\r\n\r\n"},
                {"ffffffffffffffff\r\nok\r\n0\r\n\r\n"},
                {"2\r\nok\r\n"},
                {"2\r\nok\r\n0\r\n"},
                {"2\r\nok\r\n0\r\nX-Trailer: 1\r\n"},
                {"2\r\nok\r\n0\r\nX Trailer: 1\r\n\r\n"},
                {"2\r\nok\r\n0\r\nX-Trailer : 1\r\n\r\n"},
                {"2\r\nok\r\n0\r\nX-Trailer\001: 1\r\n\r\n"},
                {"2\r\nok\r\n0\r\nX-Trailer: \000\r\n\r\n"},
                {"2\r\nok\r\n0\r\nX-Trailer: 1\r\n folded\r\n\r\n"},
                {"2\r\nok\r\n0\r\nno colon\r\n\r\n"},
            };
        }

        @Test(dataProvider = "invalidChunks")
        public void ofInvalidChunksOrTrailersIsAFailure(String body) throws Exception {
            assertEquals(get("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body), ClientCalls.FAILED);
        }

        @DataProvider
        public static Object[][] valid() {
            return new Object[][] {
                {"Content-Length: 2\r\n\r\nok"},
                {"content-length:2 \r\n\r\nok"},
                {"Content-Length: 002\r\n\r\nok"},
                {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
                {"transfer-encoding: Chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"},
                {"Transfer-Encoding: chunked\r\n\r\n0002;name=\"value\";other\r\nok\r\n000\r\n\r\n"},
                {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0;last\r\nX-Trailer: 1\r\nX-Empty:\r\n\r\n"},
                {"\r\nok"},
            };
        }

        @Test(dataProvider = "valid")
        public void thatIsValidIsAccepted(String rest) throws Exception {
            assertEquals(get("HTTP/1.1 200 OK\r\nX-Id: mine\r\n" + rest), "200 ok");
        }

        /** However the bytes are divided, the same responses are accepted. */
        @Test
        public void isTheSameIfSingleBytesArrive() throws Exception {
            String chunks =
                    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\n"
                            + "notHTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\nA;x\r\n0123456789\r\n"
                            + "1\r\n!\r\n0\r\nX-Trailer: 1\r\n\r\n";
            try (ScriptedServer server = new ScriptedServer(connection -> {
                ScriptedServer.readHead(connection);
                connection.setTcpNoDelay(true);
                for (char single : chunks.toCharArray()) {
                    ScriptedServer.send(connection, String.valueOf(single));
                }
            })) {
                assertEquals(new ClientCalls(GROUP).get(server.port()), "200 0123456789!");
            }
        }

        @DataProvider
        public static Object[][] withoutBodies() {
            return new Object[][] {
                {"HEAD", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 10\r\n\r\n", "200 "},
                {"HEAD", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n", "200 "},
                {"GET", "HTTP/1.1 204 No Content\r\nX-Id: mine\r\n\r\n", "204 "},
                {"GET", "HTTP/1.1 304 Not Modified\r\nX-Id: mine\r\nContent-Length: 10\r\n\r\n", "304 "},
            };
        }

        /** Connections stay open after these responses, so that only their heads can have ended them. */
        @Test(dataProvider = "withoutBodies")
        public void isIgnoredInResponsesWithoutBodies(String method, String response, String expected)
                throws Exception {
            assertEquals(sendOnOpenConnection(method, response), expected);
        }
    }

    /** Responses of servers that stop in the middle of them and close the connection regularly. */
    public static class CutResponses {
        /** Guards against responses with an empty or short body: a server stopped within the head of its response. */
        @Test
        public void areFailuresWhereverTheyAreCut() throws Exception {
            String length = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\nX-Last: 1\r\n\r\nok";
            String chunks =
                    "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n";
            String informational = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
            for (String response : List.of(length, chunks, informational + length)) {
                for (int bytes = 0; bytes < response.length(); bytes++) {
                    String part = response.substring(0, bytes);
                    assertEquals(get(part), ClientCalls.FAILED, part);
                }
                assertEquals(get(response), "200 ok");
            }
        }

        @Test
        public void withoutALengthAreFailuresIfTheirHeadIsIncomplete() throws Exception {
            String head = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Type: text/event-stream\r\n\r\n";
            for (int bytes = 0; bytes < head.length(); bytes++) {
                String part = head.substring(0, bytes);
                assertEquals(get(part), ClientCalls.FAILED, part);
            }
            assertEquals(get(head), "200 ");
        }
    }
}
