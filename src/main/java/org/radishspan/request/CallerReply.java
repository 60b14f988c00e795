package org.radishspan.request;

import java.util.Map;

import org.radishspan.error.Failure;

/** The way back to a caller. */
public interface CallerReply {

    /** Answers whole. */
    void respond(int status, String contentType, byte[] body, Map<String, String> headers);

    /** Starts a streamed answer. */
    void startStream(String contentType, Map<String, String> headers);

    /** Writes a part of a streamed answer. */
    void write(byte[] bytes);

    /** Ends a streamed answer. */
    void end();

    /** Breaks a streamed answer off so that the caller sees that it is not whole. */
    void abort();

    /** Answers with a failure. */
    void fail(Failure failure);

    /** Returns whether the caller takes more bytes now. */
    boolean writable();

    /** Sets what to do when the caller goes away. */
    void onClosed(Runnable action);

    /** Sets what to do when the caller takes bytes again. */
    void onWritable(Runnable action);
}
