package org.radishspan.relay;

import java.util.List;
import java.util.Map;

import org.radishspan.error.Failure;

/** Sends the answer to a caller. Its methods do nothing once the answer has ended or the caller has disconnected. */
public interface CallerExchange {
    /** Sends a complete answer. */
    void respond(int status, List<Map.Entry<String, String>> headers, byte[] body);

    /** Answers with a failure that the router itself reports. */
    void fail(Failure failure);

    /** Starts an answer whose body is written in parts. */
    void start(int status, List<Map.Entry<String, String>> headers);

    /** Writes a part of the body. */
    void write(byte[] bytes);

    /** Completes an answer that was written in parts. */
    void end();

    /** Aborts the answer in a way that the caller recognizes as incomplete. */
    void abort();

    /** Returns whether bytes can be written without being queued. */
    boolean writable();

    /** Sets the action to run when the caller disconnects before the answer has ended. */
    void onClosed(Runnable action);

    /** Sets the action to run when bytes can be written again without being queued. */
    void onWritable(Runnable action);
}
