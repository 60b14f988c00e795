package org.radishspan.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/** Sends HTTP requests. The request-handling core uses this interface to call targets and the platform. */
@FunctionalInterface
public interface HttpTransport {

    /**
     * A request to be sent.
     *
     * @param host the host name or IP address
     * @param port the port
     * @param method the HTTP method
     * @param path the path with its query
     * @param headers the request headers, in the order in which they are sent
     * @param body the complete body
     * @param progressTimeoutMillis the call fails when no data is received for this time
     * @param responseMatcher distinguishes the response to this request from one to an earlier request on the same connection
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Request(
            String host,
            int port,
            String method,
            String path,
            List<Map.Entry<String, String>> headers,
            byte[] body,
            long progressTimeoutMillis,
            ResponseMatcher responseMatcher) {

        /** Creates a request that accepts the first response on the connection. */
        public Request(
                String host,
                int port,
                String method,
                String path,
                Map<String, String> headers,
                byte[] body,
                long progressTimeoutMillis) {
            this(
                    host,
                    port,
                    method,
                    path,
                    List.copyOf(headers.entrySet()),
                    body,
                    progressTimeoutMillis,
                    (response, reusedConnection) -> true);
        }

        /** Returns the first header with this name, ignoring case; empty if there is none. */
        public Optional<String> header(String name) {
            return headers.stream()
                    .filter(header -> header.getKey().equalsIgnoreCase(name))
                    .map(Map.Entry::getValue)
                    .findFirst();
        }
    }

    /** Distinguishes the response to a request from responses to other requests. */
    @FunctionalInterface
    interface ResponseMatcher {
        /**
         * Returns whether a response with these headers belongs to the request.
         *
         * @param reusedConnection whether the connection has carried other requests before
         */
        boolean matches(Headers responseHeaders, boolean reusedConnection);
    }

    /** Receives a response. The last call is to either {@link #onEnd} or {@link #onFailure}. */
    interface Listener {
        /** Returns whether the request should still be sent. Called once a new connection has been established. */
        default boolean wanted() {
            return true;
        }

        /** Called when the status line and headers have been received. */
        void onHead(int status, Headers headers);

        /** Called for each received part of the body. */
        void onBody(byte[] bytes);

        /** Called when the response is complete. */
        void onEnd();

        /**
         * Called when the call has failed.
         *
         * @param sent whether any byte of the request may have reached the server
         */
        void onFailure(String message, boolean sent);
    }

    /** The headers of a response. */
    @FunctionalInterface
    interface Headers {
        /** Returns the value of a header; null if there is no header with this name. */
        @Nullable
        String get(String name);

        /** Returns all headers in the order received. Implementations that only support look-up return an empty list. */
        default List<Map.Entry<String, String>> all() {
            return List.of();
        }
    }

    /** A call in progress. */
    interface Call {
        /** Closes the connection. The listener receives no further calls. */
        void cancel();

        /** Returns whether any byte of the request may have reached the server. */
        default boolean sent() {
            return true;
        }

        /** Pauses or resumes reading from the connection, which applies back-pressure to the sender. */
        void setPaused(boolean paused);
    }

    /** What a test of a connection showed. */
    enum ConnectionTest {
        /** The server accepts connections. */
        ACCEPTED,
        /** The server's host refuses connections, because no process listens at the port. */
        REFUSED,
        /** Neither is known, because the test failed or was not made. */
        UNKNOWN
    }

    /** Sends a request. Must be called on the event loop. */
    Call send(Request request, Listener listener);

    /** Tests whether a server accepts connections, by opening one; transports that cannot do that answer {@code UNKNOWN}. */
    default void test(String host, int port, Consumer<ConnectionTest> reply) {
        reply.accept(ConnectionTest.UNKNOWN);
    }
}
