package org.radishspan.peer;

import org.radishspan.budget.LedgerGateway;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.PeerMessage;

/**
 * Connects the ledger gateway to the peers: finds the router that commits changes of a ledger, and sends it requests.
 */
public final class PeerCombiners implements LedgerGateway.CombinerClient {
    private final PeerSystem peers;

    /** Creates the connection to a router's peers. */
    public PeerCombiners(PeerSystem peers) {
        this.peers = peers;
    }

    @Override
    public String combinerOf(int partition) {
        return peers.table().combinerOf(partition);
    }

    @Override
    public void send(String vm, LedgerCall call) {
        peers.sendTo(vm, PeerMessage.newBuilder().setLedgerCall(call).build());
    }

    @Override
    public void onTimeout(String vm) {
        peers.table().onCombinerTimeout(vm);
    }

    @Override
    public void onStoreUnreachable(String vm) {
        peers.table().onStoreRefused(vm);
    }

    @Override
    public boolean storeUnreachable() {
        return peers.table().selfStoreUnreachable();
    }

    @Override
    public void reply(String vm, LedgerAnswer answer) {
        peers.sendTo(vm, PeerMessage.newBuilder().setLedgerAnswer(answer).build());
    }
}
