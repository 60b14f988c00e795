package org.radishspan.peer;

import java.util.Set;

import org.radishspan.budget.RestorationSystem;

/** Tells the restoration of ledgers which peers are running, and asks them for their reports. */
public final class PeerReporters implements RestorationSystem.Routers {
    private final PeerSystem peers;

    /** Creates the connection to a router's peers. */
    public PeerReporters(PeerSystem peers) {
        this.peers = peers;
    }

    @Override
    public Set<String> receivedWithin(long millis) {
        return peers.table().receivedWithin(millis);
    }

    @Override
    public boolean mayBeRunning(String vm, String incarnation, long silentMillis) {
        return peers.table().mayBeRunning(vm, incarnation, silentMillis);
    }

    @Override
    public void requestReport(String incarnation, int partition) {
        peers.notifyHolder(incarnation, partition);
    }
}
