package org.radishspan.front;

import java.util.Optional;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.peer.Peer;
import org.radishspan.peer.PeerSystem;
import org.radishspan.proto.KindNews;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.StoreNews;

/**
 * Sends the whole list of a kind of object to all routers after it has changed in the store.
 *
 * <p>Some routers may not reach the store when a change has to take effect, and neither may the watcher of their failure
 * domain. Any router that learns of the change from the store therefore tells all others. Watchers do so at once. Another
 * router learns of a change from the store only if its watcher has failed. It waits for a moment and sends nothing if another
 * router has been faster, because otherwise all routers of the failure domain would send the same list.
 */
final class ListBroadcast {
    /** The list is sent several times, because messages may be lost while the connection to a router is being opened. */
    private static final int SENDS = 3;

    private static final long REPEAT_MILLIS = 1_000;

    /** Maximum wait of a router that is not the watcher: a tenth of the users' bound of 5 s for evacuations. */
    private static final long MAX_DELAY_MILLIS = 500;

    private final PeerSystem peers;
    private final UniformRandomProvider random;
    private final Supplier<Optional<KindNews>> list;
    private int sendsLeft;
    private boolean delayed;
    private long nextSendAtMillis;

    /**
     * Creates a sender.
     *
     * @param list returns the list with its revision; empty while it is not complete
     */
    ListBroadcast(PeerSystem peers, UniformRandomProvider random, Supplier<Optional<KindNews>> list) {
        this.peers = peers;
        this.random = random;
        this.list = list;
    }

    /** Starts to send the list, which has changed in the store. */
    void onChanged(boolean immediately, long nowMillis) {
        sendsLeft = SENDS;
        delayed = !immediately;
        nextSendAtMillis = immediately ? nowMillis : nowMillis + random.nextLong(MAX_DELAY_MILLIS);
    }

    /** Sends nothing more if another router has sent the same list before this one, which was waiting for that. */
    void onReceived(long revision) {
        if (!delayed || sendsLeft == 0) {
            return;
        }
        boolean sameOrNewer =
                list.get().map(own -> revision >= own.getRevision()).orElse(true);
        if (sameOrNewer) {
            sendsLeft = 0;
        }
    }

    /** Sends the list if it is due. */
    void tick(long nowMillis) {
        if (sendsLeft == 0 || nowMillis < nextSendAtMillis) {
            return;
        }
        sendsLeft--;
        delayed = false;
        nextSendAtMillis = nowMillis + REPEAT_MILLIS;
        list.get().ifPresent(own -> {
            PeerMessage message = message(own);
            peers.table().rows().stream().map(Peer::vm).toList().forEach(vm -> peers.sendTo(vm, message));
        });
    }

    /** Sends the list to a router that has just connected and may have missed it, unless the list is empty. */
    void onConnected(String vm) {
        list.get().filter(own -> own.getChangesCount() > 0).ifPresent(own -> peers.sendTo(vm, message(own)));
    }

    private static PeerMessage message(KindNews list) {
        return PeerMessage.newBuilder()
                .setStoreNews(StoreNews.newBuilder().addKinds(list))
                .build();
    }
}
