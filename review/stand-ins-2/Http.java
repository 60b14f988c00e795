import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

/** A small HTTP/1.1 client and server on blocking sockets, for the stand-ins of the review. */
final class Http {
    private Http() {}

    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** A request or a response head with its body. */
    static final class Message {
        String firstLine = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};

        String method() {
            return firstLine.split(" ")[0];
        }

        String uri() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String header(String name, String otherwise) {
            return headers.getOrDefault(name, otherwise);
        }

        String text() {
            return new String(body, UTF_8);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("closed within a line");
            }
            if (next == '\n') {
                String text = line.toString(ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.firstLine = readLine(in);
        while (true) {
            String line = readLine(in);
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Reads one chunk of a chunked body; an empty array for the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        int length = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length) {
            throw new EOFException("closed within a chunk");
        }
        readLine(in);
        return chunk;
    }

    static boolean chunked(Message message) {
        return message.header("Transfer-Encoding", "").equalsIgnoreCase("chunked");
    }

    static void readBody(InputStream in, Message message) throws IOException {
        if (chunked(message)) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                body.write(chunk);
            }
            message.body = body.toByteArray();
            return;
        }
        int length = Integer.parseInt(message.header("Content-Length", "0"));
        message.body = in.readNBytes(length);
        if (message.body.length < length) {
            throw new EOFException("closed within a body");
        }
    }

    static byte[] encode(String firstLine, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(firstLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("\r\n");
        byte[] headBytes = head.toString().getBytes(ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put("Content-Length", Integer.toString(body.length));
        return encode("HTTP/1.1 " + status + " status", all, body);
    }

    /** Handles the requests of one connection; returns false to close it. */
    interface Handler {
        boolean handle(Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** Accepts connections until it is closed, each in a thread of its own. */
    static final class Server {
        final ServerSocket socket;
        private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(host, port), 512);
            THREADS.execute(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket accepted = socket.accept();
                        accepted.setTcpNoDelay(true);
                        open.add(accepted);
                        THREADS.execute(() -> serve(accepted, handler));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket accepted, Handler handler) {
            try (accepted) {
                InputStream in = new BufferedInputStream(accepted.getInputStream(), 65_536);
                OutputStream out = accepted.getOutputStream();
                boolean more = true;
                while (more) {
                    Message request = readHead(in);
                    readBody(in, request);
                    more = handler.handle(request, accepted, out);
                }
            } catch (Exception e) {
                // The peer closed the connection, or the stand-in broke it off on purpose.
            } finally {
                open.remove(accepted);
            }
        }

        int port() {
            return socket.getLocalPort();
        }

        /** Closes all open connections; the server goes on accepting others. */
        void cutConnections() {
            for (Socket each : java.util.List.copyOf(open)) {
                try {
                    each.close();
                } catch (IOException e) {
                    // Closed already.
                }
            }
        }

        void close() throws IOException {
            socket.close();
            cutConnections();
        }
    }

    /** Sends one request on a new connection and reads the whole answer. */
    static Message call(String host, int port, byte[] request, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Message answer = readHead(in);
            readBody(in, answer);
            return answer;
        }
    }
}
