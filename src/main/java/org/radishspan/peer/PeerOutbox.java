package org.radishspan.peer;

import java.util.ArrayDeque;
import java.util.Deque;

import org.jspecify.annotations.Nullable;
import org.radishspan.proto.PeerMessage;

/**
 * Holds the messages to a peer that can't be written yet, because the connection is being opened or its send buffer is full.
 *
 * <p>The number, total size and age of the messages are limited. If a limit is reached, the oldest messages are dropped:
 * the request or report that they contain has timed out by then or is replaced by a later one.
 */
final class PeerOutbox {
    static final int MAX_MESSAGES = 128;
    /** A fleet of 83 routers then holds at most 5 MB for all peers together. */
    static final long MAX_BYTES = 65_536;
    /** As long as a connection attempt takes at most. No request between routers waits longer for its answer. */
    static final long MAX_AGE_MILLIS = 1_000;

    private record Waiting(PeerMessage message, long queuedAtMillis) {}

    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private long waitingBytes;
    private long dropped;

    /** Queues a message. A message that is larger than all limits is held only while it is the newest one. */
    void add(PeerMessage message, long nowMillis) {
        waiting.add(new Waiting(message, nowMillis));
        waitingBytes += message.getSerializedSize();
        dropExpired(nowMillis);
        while (waiting.size() > MAX_MESSAGES || (waitingBytes > MAX_BYTES && waiting.size() > 1)) {
            dropOldest();
        }
    }

    /** Removes and returns the oldest message that has not expired; null if there is none. */
    @Nullable
    PeerMessage poll(long nowMillis) {
        dropExpired(nowMillis);
        Waiting first = waiting.poll();
        if (first == null) {
            return null;
        }
        waitingBytes -= first.message().getSerializedSize();
        return first.message();
    }

    /** Drops all messages, for example because the process that they were meant for has ended. */
    void clear() {
        while (!waiting.isEmpty()) {
            dropOldest();
        }
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Returns how many messages were dropped so far. */
    long dropped() {
        return dropped;
    }

    private void dropExpired(long nowMillis) {
        Waiting oldest = waiting.peek();
        while (oldest != null && nowMillis - oldest.queuedAtMillis() > MAX_AGE_MILLIS) {
            dropOldest();
            oldest = waiting.peek();
        }
    }

    private void dropOldest() {
        waitingBytes -= waiting.remove().message().getSerializedSize();
        dropped++;
    }
}
