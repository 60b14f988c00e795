package org.radishspan.http;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/** Sends HTTP requests; the port through which the core reaches targets and the platform. */
@FunctionalInterface
public interface HttpTransport {

    /**
     * A request.
     *
     * @param host the address
     * @param port the port
     * @param method the HTTP method
     * @param path the path with its query
     * @param headers further headers
     * @param body the whole body
     * @param progressTimeoutMillis the call fails when nothing arrives for so long
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Request(
            String host,
            int port,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long progressTimeoutMillis) {}

    /** Receives a response; exactly one of {@link #onEnd} and {@link #onFailure} ends it. */
    interface Listener {
        /** The status line and headers have arrived. */
        void onHead(int status, Headers headers);

        /** A part of the body has arrived. */
        void onBody(byte[] bytes);

        /** The response is whole. */
        void onEnd();

        /**
         * The call failed.
         *
         * @param sent whether any byte of the request may have reached the server
         */
        void onFailure(String message, boolean sent);
    }

    /** The headers of a response. */
    @FunctionalInterface
    interface Headers {
        /** Returns a header; null if there is none of that name. */
        @Nullable
        String get(String name);
    }

    /** A call in progress. */
    interface Call {
        /** Closes the connection; the listener hears nothing more. */
        void cancel();

        /** Stops or resumes reading, so that a slow reader holds the sender back. */
        void setPaused(boolean paused);
    }

    /** Sends a request; must be called on the event loop. */
    Call send(Request request, Listener listener);
}
