package org.radishspan.http;

import java.net.InetAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Makes calls with a client and returns what its listener received, as a text. */
final class ClientCalls {
    /** How long calls may take, and the progress time-out of their requests. */
    static final long WAIT_MILLIS = 5_000;

    /** The result of a call whose response was broken. */
    static final String FAILED = "failed";

    private static final String ID_HEADER = "X-Id";
    private static final String ID = "mine";

    private final EventLoopGroup group;
    private final HttpClient client;

    /** Creates calls with a client of its own on a group that must consist of one event loop. */
    ClientCalls(EventLoopGroup group) {
        this(group, new HttpClient(group));
    }

    ClientCalls(EventLoopGroup group, HttpClient client) {
        this.group = group;
        this.client = client;
    }

    /** Sends a GET request without a body. */
    String get(int port) throws InterruptedException {
        return send(port, "GET", new byte[0]);
    }

    /** Returns the status and the body, separated by a blank; {@value #FAILED} if the call failed. */
    String send(int port, String method, byte[] body) throws InterruptedException {
        BlockingQueue<String> results = new LinkedBlockingQueue<>();
        HttpTransport.Request request = new HttpTransport.Request(
                InetAddress.getLoopbackAddress().getHostAddress(),
                port,
                method,
                "/",
                List.of(Map.entry(ID_HEADER, ID)),
                body,
                WAIT_MILLIS,
                (response, reused) -> response.get(ID_HEADER) == null ? !reused : ID.equals(response.get(ID_HEADER)));
        group.next().execute(() -> client.send(request, new Recorder(results)));
        String result = results.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        return result == null ? "no result" : result;
    }

    private static final class Recorder implements HttpTransport.Listener {
        private final BlockingQueue<String> results;
        private final StringBuilder received = new StringBuilder();

        Recorder(BlockingQueue<String> results) {
            this.results = results;
        }

        @Override
        public void onHead(int status, HttpTransport.Headers headers) {
            received.append(status).append(' ');
        }

        @Override
        public void onBody(byte[] bytes) {
            received.append(new String(bytes, UTF_8));
        }

        @Override
        public void onEnd() {
            results.add(received.toString());
        }

        @Override
        public void onFailure(String message, boolean sent) {
            results.add(FAILED);
        }
    }
}
