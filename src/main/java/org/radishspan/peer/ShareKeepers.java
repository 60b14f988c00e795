package org.radishspan.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.radishspan.budget.TokenClient;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.ReserveTokens;
import org.radishspan.proto.SettleTokens;
import org.radishspan.routing.RendezvousRank;

/**
 * Finds the routers that keep shares of a budget: in each failure domain the first by rendezvous hashing among the
 * routers that are presumed reachable.
 *
 * <p>Routers may temporarily select different keepers. A reservation can then reach a router that does not hold a share
 * yet. That router obtains one from the ledger, so that the budget cannot be overspent.
 */
public final class ShareKeepers implements TokenClient.KeeperClient {
    /**
     * Interval between checks for changes. Heartbeats arrive at most every half second, so the set of reachable routers
     * changes no faster.
     */
    private static final long REFRESH_MILLIS = 250;

    private final PeerSystem peers;
    private final String selfVm;
    private final Map<String, List<String>> keepersByBudget = new HashMap<>();
    private final Map<String, Integer> hashes = new HashMap<>();
    private boolean draining;
    private int domainCount = 1;
    private long refreshAtMillis;
    private int lastFingerprint;

    /** Creates the view that the router on {@code selfVm} has of its peers. */
    public ShareKeepers(PeerSystem peers, String selfVm) {
        this.peers = peers;
        this.selfVm = selfVm;
    }

    /** Removes this router from the keepers of all budgets, because it is about to end. */
    public void drain() {
        draining = true;
        keepersByBudget.clear();
    }

    /** Checks at intervals which routers are reachable, and discards the cached keepers if that changed. */
    public void tick(long nowMillis) {
        if (nowMillis < refreshAtMillis) {
            return;
        }
        refreshAtMillis = nowMillis + REFRESH_MILLIS;
        int fingerprint = peers.table().reachableFingerprint();
        if (fingerprint == lastFingerprint) {
            return;
        }
        lastFingerprint = fingerprint;
        keepersByBudget.clear();
        Set<String> reachableDomains = new HashSet<>(Set.of(peers.table().failureDomain()));
        for (Peer peer : peers.table().rows()) {
            if (peers.table().presumedReachable(peer)) {
                reachableDomains.add(peer.failureDomain);
            }
        }
        domainCount = reachableDomains.size();
    }

    /** Returns how many routers keep a budget: one in each failure domain with a reachable router. */
    public int count() {
        return domainCount;
    }

    /** Returns whether this router is one of those that keep a budget. */
    public boolean isLocalKeeper(String budget) {
        // The empty text in the list stands for this router.
        return keepersOf(budget).contains("");
    }

    @Override
    public List<String> keepersOf(String budget) {
        return keepersByBudget.computeIfAbsent(budget, this::findKeepers);
    }

    private List<String> findKeepers(String budget) {
        Map<String, String> firstByDomain = new HashMap<>();
        if (!draining) {
            firstByDomain.put(peers.table().failureDomain(), selfVm);
        }
        for (Peer peer : peers.table().rows()) {
            if (peers.table().presumedReachable(peer)) {
                firstByDomain.merge(peer.failureDomain, peer.vm, (left, right) -> higherRanked(budget, left, right));
            }
        }
        List<String> keepers = new ArrayList<>(firstByDomain.values());
        String localKeeper = firstByDomain.getOrDefault(peers.table().failureDomain(), "");
        keepers.sort(Comparator.comparingInt((String vm) -> preference(vm, localKeeper))
                .thenComparing(vm -> !reachesStore(vm))
                .thenComparingInt(vm -> rank(selfVm, vm))
                .thenComparing(vm -> vm));
        keepers.replaceAll(vm -> vm.equals(selfVm) ? "" : vm);
        return keepers;
    }

    /**
     * Returns the order in which keepers are used: this router first, then the keeper in the same failure domain, then
     * all others. Of these, those that reach the store come first; apart from that, their order differs between routers to
     * spread their requests.
     */
    private int preference(String vm, String localKeeper) {
        if (vm.equals(selfVm)) {
            return 0;
        }
        return vm.equals(localKeeper) ? 1 : 2;
    }

    @Override
    public boolean reachesStore(String vm) {
        if (vm.isEmpty() || vm.equals(selfVm)) {
            return !peers.table().selfStoreUnreachable();
        }
        Peer peer = peers.table().get(vm);
        return peer != null && peers.table().reachesStore(peer);
    }

    @Override
    public Optional<String> routerReachingStore(String budget, Set<String> excluded) {
        if (!draining && !excluded.contains("") && reachesStore("")) {
            return Optional.of("");
        }
        String best = "";
        for (Peer peer : peers.table().rows()) {
            boolean eligible = peers.table().presumedReachable(peer)
                    && peers.table().reachesStore(peer)
                    && !excluded.contains(peer.vm);
            if (eligible) {
                best = best.isEmpty() ? peer.vm : higherRanked(budget + "/" + selfVm, best, peer.vm);
            }
        }
        return best.isEmpty() ? Optional.empty() : Optional.of(best);
    }

    private String higherRanked(String budget, String left, String right) {
        int order = Integer.compareUnsigned(rank(budget, left), rank(budget, right));
        if (order == 0) {
            return left.compareTo(right) > 0 ? left : right;
        }
        return order > 0 ? left : right;
    }

    private int rank(String first, String second) {
        return RendezvousRank.of(hash(first), hash(second));
    }

    private int hash(String text) {
        return hashes.computeIfAbsent(text, RendezvousRank::hash);
    }

    @Override
    public void reserve(String vm, ReserveTokens call) {
        peers.sendTo(vm, PeerMessage.newBuilder().setReserveTokens(call).build());
    }

    @Override
    public void settle(String vm, SettleTokens settled) {
        peers.sendTo(vm, PeerMessage.newBuilder().setSettleTokens(settled).build());
    }

    @Override
    public void onTimeout(String vm) {
        peers.onRequestTimeout(vm);
        // Makes the next tick count the reachable failure domains again.
        lastFingerprint = 0;
        keepersByBudget.clear();
    }
}
