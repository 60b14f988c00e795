package org.radishspan.relay;

import java.util.List;
import java.util.Map;

import org.radishspan.error.Failure;

/** The way back to a caller; its methods do nothing once the answer has ended or the caller has gone. */
public interface CallerExchange {
    /** Answers whole. */
    void respond(int status, List<Map.Entry<String, String>> headers, byte[] body);

    /** Answers with a failure of the router's own. */
    void fail(Failure failure);

    /** Starts an answer that is written in parts. */
    void start(int status, List<Map.Entry<String, String>> headers);

    /** Writes a part. */
    void write(byte[] bytes);

    /** Ends an answer that was written in parts. */
    void end();

    /** Breaks the answer off, so that the caller sees that it is not whole. */
    void abort();

    /** Returns whether bytes can be written without queueing them. */
    boolean writable();

    /** Sets what to do when the caller goes before the answer has ended. */
    void onClosed(Runnable action);

    /** Sets what to do when bytes can be written again. */
    void onWritable(Runnable action);
}
