package org.radishspan.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

/** A stand-in for a server in trouble: it runs a script on each connection and closes the connection afterwards. */
final class ScriptedServer implements AutoCloseable {
    /** Keeps most of a long request in the client's buffers, so that the request is still being written. */
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int BACKLOG = 50;

    /** What the server does on a connection. */
    @FunctionalInterface
    interface Script {
        /** Serves one connection. The server closes it afterwards. */
        void serve(Socket connection) throws IOException;
    }

    private final ServerSocket socket = new ServerSocket();
    private final AtomicInteger connections = new AtomicInteger();
    private final Script script;

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        startDaemon(this::accept);
    }

    /** Returns a server that reads the head of a request, sends a text and closes the connection. */
    static ScriptedServer sending(String text) throws IOException {
        return new ScriptedServer(connection -> {
            readHead(connection);
            send(connection, text);
        });
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = socket.accept();
                connections.incrementAndGet();
                startDaemon(() -> serve(connection));
            }
        } catch (IOException e) {
            // The test has closed the server.
            return;
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            script.serve(connection);
        } catch (IOException e) {
            // The client has closed the connection.
            return;
        }
    }

    /** Reads the head of a request, and nothing of its body. */
    static void readHead(Socket connection) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0 && head.length() < MAX_HEAD_BYTES) {
            int next = connection.getInputStream().read();
            if (next < 0) {
                throw new IOException("the request ended within its head");
            }
            head.append((char) next);
        }
    }

    /** Reads until the client ends the connection; returns the number of bytes. */
    static long readToEnd(Socket connection) throws IOException {
        byte[] buffer = new byte[RECEIVE_BUFFER_BYTES];
        long total = 0;
        int read = connection.getInputStream().read(buffer);
        while (read >= 0) {
            total += read;
            read = connection.getInputStream().read(buffer);
        }
        return total;
    }

    /** Sends a text, one byte for each character. */
    static void send(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(ISO_8859_1));
        connection.getOutputStream().flush();
    }

    /** Resets the connection, which discards what the client still sends. */
    static void reset(Socket connection) throws IOException {
        // Closing without lingering resets the connection.
        connection.setSoLinger(true, 0);
        connection.close();
    }

    int port() {
        return socket.getLocalPort();
    }

    int connections() {
        return connections.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
