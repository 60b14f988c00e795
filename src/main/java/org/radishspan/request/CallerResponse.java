package org.radishspan.request;

import java.util.Map;

import org.radishspan.error.Failure;

/** Sends the response of one call to its caller, whole or as a stream. */
public interface CallerResponse {

    /** Sends a complete response. */
    void respond(int status, String contentType, byte[] body, Map<String, String> headers);

    /** Starts a streamed response with status 200; has no effect if the stream has already been started. */
    void startStream(String contentType, Map<String, String> headers);

    /** Writes a part of a streamed response. */
    void write(byte[] bytes);

    /** Ends a streamed response normally. */
    void end();

    /** Aborts a streamed response so that the caller can detect that it is incomplete. */
    void abort();

    /** Sends an error response. */
    void fail(Failure failure);

    /** Returns whether the connection to the caller accepts more bytes without queueing them. */
    boolean writable();

    /** Sets the action to run when the caller disconnects. */
    void onClosed(Runnable action);

    /** Sets the action to run when the connection accepts bytes again. */
    void onWritable(Runnable action);
}
