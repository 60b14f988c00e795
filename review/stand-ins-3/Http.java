import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 codec for the stand-ins: one thread for each connection, bodies with a length or in chunks. */
final class Http {
    private Http() {}

    /** A request or a response; header names are in lower case. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String uri() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** One connection on the side of a server or of a client. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            this.in = new BufferedInputStream(socket.getInputStream(), 65_536);
            this.out = new BufferedOutputStream(socket.getOutputStream(), 65_536);
        }

        static Connection open(String host, int port, int timeoutMillis) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            return new Connection(socket);
        }

        /** Reads the next message without its body; null at the end of the connection. */
        Message readHead() throws IOException {
            String line = readLine();
            if (line == null) {
                return null;
            }
            Message message = new Message();
            message.startLine = line;
            while (true) {
                String field = readLine();
                if (field == null) {
                    throw new IOException("the connection ended within a head");
                }
                if (field.isEmpty()) {
                    return message;
                }
                int colon = field.indexOf(':');
                message.headers.put(
                        field.substring(0, colon).toLowerCase(Locale.ROOT),
                        field.substring(colon + 1).strip());
            }
        }

        /** Reads the next message with its body; null at the end of the connection. */
        Message read() throws IOException {
            Message message = readHead();
            if (message == null) {
                return null;
            }
            if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                while (true) {
                    byte[] chunk = readChunk();
                    if (chunk.length == 0) {
                        break;
                    }
                    body.write(chunk);
                }
                message.body = body.toByteArray();
            } else if (!message.header("content-length").isEmpty()) {
                int length = Integer.parseInt(message.header("content-length"));
                message.body = in.readNBytes(length);
                if (message.body.length < length) {
                    throw new IOException("the connection ended within a body");
                }
            }
            return message;
        }

        /** Reads a chunk; an empty one is the last. */
        byte[] readChunk() throws IOException {
            String size = readLine();
            if (size == null) {
                throw new IOException("the connection ended before the last chunk");
            }
            int length = Integer.parseInt(size.split(";")[0].strip(), 16);
            byte[] chunk = in.readNBytes(length);
            String end = readLine();
            if (chunk.length < length || end == null) {
                throw new IOException("the connection ended within a chunk");
            }
            return chunk;
        }

        private String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                int next = in.read();
                if (next < 0) {
                    if (line.size() == 0) {
                        return null;
                    }
                    throw new IOException("the connection ended within a line");
                }
                if (next == '\n') {
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                }
                line.write(next);
            }
        }

        void write(String startLine, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(startLine).append("\r\n");
            headers.forEach((name, value) ->
                    head.append(name).append(": ").append(value).append("\r\n"));
            if (body != null) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) {
                out.write(body);
            }
            out.flush();
        }

        void writeChunk(byte[] bytes) throws IOException {
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Closes with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // The connection is closed already.
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // The connection is closed already.
            }
        }
    }

    /** Handles a connection until it ends. */
    interface Handler {
        void handle(Connection connection) throws IOException, InterruptedException;
    }

    /** Accepts connections and handles each in a thread of its own. */
    static ServerSocket serve(String host, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, port), 512);
        daemon(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    daemon(() -> {
                        try (Connection connection = new Connection(socket)) {
                            handler.handle(connection);
                        } catch (IOException | InterruptedException e) {
                            // The other side has closed the connection, or the test ends.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server;
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
