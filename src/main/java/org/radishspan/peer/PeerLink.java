package org.radishspan.peer;

import org.radishspan.proto.PeerMessage;

/** Sends messages to other routers; a message may be lost, never changed. */
@FunctionalInterface
public interface PeerLink {
    /** Sends a message to a peer, or drops it if there is no connection. */
    void send(Peer peer, PeerMessage message);
}
