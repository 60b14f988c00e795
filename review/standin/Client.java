import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A stand-in for a client: sends requests one after the other on one connection. */
final class Client implements AutoCloseable {
    /** The outcome of one request: the status (0: the channel ended without a whole answer), the events and the body. */
    record Answer(int status, int events, boolean whole, String retryAfter, String body, String cause) {}

    private final String host;
    private final int port;
    private final String hostHeader;
    private Socket socket;
    private InputStream in;
    private boolean close;

    Client(String host, int port, String hostHeader) {
        this.host = host;
        this.port = port;
        this.hostHeader = hostHeader;
    }

    boolean connected() {
        return socket != null;
    }

    Answer send(String method, String path, Map<String, String> headers, byte[] body, int timeoutMillis) {
        int status = 0;
        int events = 0;
        String retryAfter = null;
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(host, port), 1_000);
                in = new BufferedInputStream(socket.getInputStream(), 65_536);
                close = false;
            }
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + hostHeader + "\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || !method.equals("GET")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            String first = Http.readLine(in);
            if (first == null) {
                throw new IOException("closed before the head of an answer");
            }
            status = Integer.parseInt(first.split(" ")[1]);
            Map<String, String> answer = Http.readHeaders(in);
            close = "close".equalsIgnoreCase(answer.getOrDefault("connection", ""));
            retryAfter = answer.get("retry-after");
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            if ("chunked".equalsIgnoreCase(answer.getOrDefault("transfer-encoding", ""))) {
                while (true) {
                    int length = Integer.parseInt(Http.readLine(in), 16);
                    byte[] chunk = in.readNBytes(length);
                    if (chunk.length < length || Http.readLine(in) == null) {
                        throw new IOException("closed within a chunk");
                    }
                    if (length == 0) {
                        break;
                    }
                    text.writeBytes(chunk);
                    events = text.toString(StandardCharsets.UTF_8).split("\n\n", -1).length - 1;
                }
            } else {
                int length = Integer.parseInt(answer.getOrDefault("content-length", "0"));
                byte[] bytes = in.readNBytes(length);
                if (bytes.length < length) {
                    throw new IOException("closed within a body");
                }
                text.writeBytes(bytes);
            }
            if (close) {
                close();
            }
            return new Answer(status, events, true, retryAfter, text.toString(StandardCharsets.UTF_8), "");
        } catch (IOException | RuntimeException e) {
            close();
            return new Answer(status, events, false, retryAfter, "", String.valueOf(e.getMessage()));
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed all the same.
        }
        socket = null;
    }
}
