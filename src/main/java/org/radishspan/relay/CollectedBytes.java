package org.radishspan.relay;

/** Bounds the bytes of unfinished answers that a router collects, so that endless ones on many connections leave memory for others. */
final class CollectedBytes {
    /** A quarter of the heap of 96 MB that routers run with; collecting and joining an answer takes twice its bytes. */
    private static final long MAX_BYTES = 25_165_824;

    /** Answers up to this size are collected in any case; those of the users' services have some hundred bytes. */
    private static final long ALWAYS_ALLOWED_BYTES = 65_536;

    private long heldBytes;

    /** Counts bytes of an answer; returns false if there is no room for an answer that long. */
    boolean tryAdd(long answerBytes, long addedBytes) {
        if (answerBytes + addedBytes > ALWAYS_ALLOWED_BYTES && heldBytes + addedBytes > MAX_BYTES) {
            return false;
        }
        heldBytes += addedBytes;
        return true;
    }

    /** Counts the bytes of an answer out that has ended. */
    void remove(long bytes) {
        heldBytes -= bytes;
    }
}
