package org.radishspan.peer;

import org.radishspan.proto.PeerMessage;

/** Sends messages to other routers. A message may be lost, but is never changed. */
@FunctionalInterface
public interface PeerLink {
    /** Sends a message to a peer. If no connection is open, the message may be dropped. */
    void send(Peer peer, PeerMessage message);

    /**
     * Closes the connection to a router that has been silent; the next message opens another one. Messages that wait on
     * the old connection would arrive only when its retransmission timer expires, which grows with the silence.
     */
    default void reset(Peer peer) {}
}
