package org.radishspan.http;

/** Limits the memory for the bodies on many connections together, so that large or endless ones leave memory for others. */
public final class BufferLimit {
    /** Bodies up to this size are always buffered; most of the users' bodies have a few hundred bytes. */
    private static final long ALWAYS_ALLOWED_BYTES = 65_536;

    private final long maxBytes;
    private long heldBytes;

    /** Creates a limit; a single body may exceed it while nothing else is buffered. */
    public BufferLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds bytes to a body that has {@code bodyBytes} already; returns false, without effect, if the limit forbids it. */
    public boolean tryAdd(long bodyBytes, long addedBytes) {
        boolean small = bodyBytes + addedBytes <= ALWAYS_ALLOWED_BYTES;
        boolean onlyBody = heldBytes == bodyBytes;
        if (!small && !onlyBody && heldBytes + addedBytes > maxBytes) {
            return false;
        }
        heldBytes += addedBytes;
        return true;
    }

    /** Subtracts the bytes of a body that is not buffered any more. */
    public void remove(long bytes) {
        heldBytes -= bytes;
    }
}
