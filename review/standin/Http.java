import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small blocking HTTP/1.1 server with one thread per connection, for stand-ins. */
final class Http {
    /** A request that was read whole. Header names are in lower case. */
    record Request(String method, String target, Map<String, String> headers, int bodyLength, byte[] body) {
        String path() {
            int mark = target.indexOf('?');
            return mark < 0 ? target : target.substring(0, mark);
        }

        String query(String name) {
            int mark = target.indexOf('?');
            if (mark < 0) {
                return null;
            }
            for (String pair : target.substring(mark + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return null;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Handles one request; returns false to close the connection. */
    interface Handler {
        boolean handle(Request request, OutputStream out, Socket socket) throws Exception;
    }

    private final String host;
    private final int port;
    private final Handler handler;
    private final boolean keepBody;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket server;

    Http(String host, int port, boolean keepBody, Handler handler) {
        this.host = host;
        this.port = port;
        this.keepBody = keepBody;
        this.handler = handler;
    }

    void open() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        server = socket;
        Thread thread = new Thread(() -> accept(socket), "accept-" + port);
        thread.setDaemon(true);
        thread.start();
    }

    /** Closes the listener and all connections, as at the end of a process. */
    void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept(ServerSocket listener) {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread thread = new Thread(() -> serve(socket), "conn-" + port);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Request request = read(in, keepBody);
                if (request == null || !handler.handle(request, out, socket)) {
                    return;
                }
            }
        } catch (Exception e) {
            // The peer has closed or reset the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).strip();
            }
            line.write(next);
        }
    }

    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new IOException("the head is not complete");
            }
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).strip().toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
    }

    private static Request read(InputStream in, boolean keepBody) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = readHeaders(in);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = new byte[0];
        if (keepBody) {
            body = in.readNBytes(length);
        } else {
            in.skipNBytes(length);
        }
        return new Request(words[0], words[1], headers, length, body);
    }

    static void respond(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }
}
