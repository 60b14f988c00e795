package org.radishspan.http;

import java.util.Arrays;

import io.netty.buffer.ByteBuf;

/**
 * The body of a request while it is received. Its memory counts towards a limit that all bodies of a server share: from the
 * start if the length is known, otherwise as it grows. It is allocated as bytes arrive.
 */
final class RequestBody {
    private static final int MIN_CAPACITY_BYTES = 256;

    private final BufferLimit limit;
    private byte[] bytes = new byte[0];
    private int size;
    private long heldBytes;

    RequestBody(BufferLimit limit) {
        this.limit = limit;
    }

    /** Reserves memory for a body of a length; returns false if the limit forbids it. */
    boolean tryReserve(int lengthBytes) {
        if (lengthBytes <= heldBytes) {
            return true;
        }
        if (!limit.tryAdd(heldBytes, lengthBytes - heldBytes)) {
            return false;
        }
        heldBytes = lengthBytes;
        return true;
    }

    /** Appends a part; returns false, without effect, if the limit forbids it. */
    boolean tryAppend(ByteBuf part) {
        int added = part.readableBytes();
        int needed = size + added;
        int doubled = Math.max(2 * bytes.length, MIN_CAPACITY_BYTES);
        if (needed > heldBytes && !tryReserve(Math.max(doubled, needed))) {
            return false;
        }
        if (needed > bytes.length) {
            bytes = Arrays.copyOf(bytes, (int) Math.min(heldBytes, Math.max(doubled, needed)));
        }
        part.readBytes(bytes, size, added);
        size = needed;
        return true;
    }

    int size() {
        return size;
    }

    /** Returns the complete body, without a copy if its length was known. Only its own size stays held. */
    byte[] toBytes() {
        if (size < bytes.length) {
            bytes = Arrays.copyOf(bytes, size);
        }
        limit.remove(heldBytes - size);
        heldBytes = size;
        return bytes;
    }

    /** Releases the memory once neither the body nor its bytes are used any more. Further calls have no effect. */
    void release() {
        limit.remove(heldBytes);
        heldBytes = 0;
        bytes = new byte[0];
    }
}
