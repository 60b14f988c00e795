package org.radishspan.relay;

/** Limits the memory for incomplete answers, so that endless answers on many connections leave memory for others. */
final class AnswerBufferLimit {
    /** A quarter of the heap of 96 MB that routers run with; collecting and joining an answer takes twice its bytes. */
    private static final long MAX_BYTES = 25_165_824;

    /** Answers up to this size are always buffered; the answers of the users' services have a few hundred bytes. */
    private static final long ALWAYS_ALLOWED_BYTES = 65_536;

    private long heldBytes;

    /** Adds bytes to an answer that has {@code answerBytes} already; returns false, without effect, if the limit forbids it. */
    boolean tryAdd(long answerBytes, long addedBytes) {
        if (answerBytes + addedBytes > ALWAYS_ALLOWED_BYTES && heldBytes + addedBytes > MAX_BYTES) {
            return false;
        }
        heldBytes += addedBytes;
        return true;
    }

    /** Subtracts the bytes of an answer that is not buffered any more. */
    void remove(long bytes) {
        heldBytes -= bytes;
    }
}
