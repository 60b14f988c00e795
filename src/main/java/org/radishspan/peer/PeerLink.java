package org.radishspan.peer;

import org.radishspan.proto.PeerMessage;

/** Sends messages to other routers; a message may be lost, never changed. */
@FunctionalInterface
public interface PeerLink {
    /** Sends a message to a peer, or drops it if there is no connection. */
    void send(Peer peer, PeerMessage message);

    /**
     * Gives up the connection to a router that has been silent; the next message opens another one. What the old one still
     * held would arrive only when its retransmission timer, which grows with the silence, next expires.
     */
    default void reset(Peer peer) {}
}
