package org.radishspan.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.agrona.collections.Object2ObjectHashMap;
import org.jspecify.annotations.Nullable;
import org.radishspan.routing.RendezvousRank;

/**
 * The other routers, one row for each VM, and the decisions that depend on which of them are alive.
 *
 * <p>All results are hints. Two routers may regard different peers as alive, and everything that uses these results
 * must remain safe in that case.
 */
public final class PeerTable {
    /** Time between two reports to a peer in a small deployment. */
    private static final long REPORT_MILLIS = 500;

    /** A peer counts as silent when it has sent no message for this number of report intervals. */
    private static final int SILENT_AFTER_MISSED_REPORTS = 4;

    /** The report interval is {@link #REPORT_MILLIS} for each group of this number of peers, and at least that long. */
    private static final int PEERS_PER_REPORT_INTERVAL = 6;

    private static final int WATCHER_HASH = RendezvousRank.hash("store watcher");

    private static final int LOAD_HUB_HASH = RendezvousRank.hash("load hub");

    /**
     * Time after which a router that did not answer is tried again. A killed router runs again within 1.6 s at the
     * users' sites.
     */
    private static final long RETRY_UNANSWERED_MILLIS = 2_000;

    /** A combiner that does not answer several times in a row is tried again after this time at the latest. */
    private static final long MAX_COMBINER_RETRY_MILLIS = 8_000;

    private final PeerSystem.Self self;
    private final int selfHash;
    private final Object2ObjectHashMap<String, Peer> rows = new Object2ObjectHashMap<>();
    private boolean listReceived;
    private boolean selfStoreUnreachable;
    private long startedAtMillis;
    private long nowMillis;

    PeerTable(PeerSystem.Self self) {
        this.self = self;
        this.selfHash = RendezvousRank.hash(self.vm());
    }

    /** Returns the peers. */
    public Collection<Peer> rows() {
        return rows.values();
    }

    @Nullable
    Peer get(String vm) {
        return rows.get(vm);
    }

    void add(Peer peer) {
        rows.put(peer.vm, peer);
    }

    void remove(Peer peer) {
        rows.remove(peer.vm);
    }

    /** Records that the platform's list was received. From then on a VM without a row is known not to be listed. */
    void setListReceived() {
        listReceived = true;
    }

    void setNow(long millis) {
        startedAtMillis = startedAtMillis == 0 ? millis : startedAtMillis;
        nowMillis = millis;
    }

    /** Returns the processes from which a message was received within the given time. */
    public Set<String> receivedWithin(long millis) {
        Set<String> incarnations = new HashSet<>();
        for (Peer peer : rows.values()) {
            boolean recent = peer.lastReceivedMillis > 0 && nowMillis - peer.lastReceivedMillis < millis;
            if (recent && !peer.incarnation.isEmpty()) {
                incarnations.add(peer.incarnation);
            }
        }
        return incarnations;
    }

    /**
     * Returns whether a process may be running: no other process is known to have started on its VM, the VM is listed, and it
     * has not been silent for the given time.
     */
    public boolean mayBeRunning(String vm, String incarnation, long silentMillis) {
        if (vm.equals(self.vm())) {
            return incarnation.equals(self.incarnation());
        }
        Peer peer = rows.get(vm);
        if (peer == null) {
            return !listReceived;
        }
        boolean replaced = !peer.incarnation.isEmpty() && !peer.incarnation.equals(incarnation);
        return !replaced && nowMillis - Math.max(peer.lastReceivedMillis, startedAtMillis) < silentMillis;
    }

    @Nullable
    Peer byIncarnation(String incarnation) {
        for (Peer peer : rows.values()) {
            if (peer.incarnation.equals(incarnation)) {
                return peer;
            }
        }
        return null;
    }

    boolean alive(Peer peer) {
        boolean recent = nowMillis - peer.lastReceivedMillis < silentMillis();
        return recent && !peer.draining && !peer.incarnation.isEmpty();
    }

    /**
     * Returns whether a router may receive requests: it is listed, not draining and, as far as this router knows, not
     * silent. A router that has sent no message yet may have just started. A router that did not answer a request is
     * presumed reachable again after its next message, or after a while.
     */
    boolean presumedReachable(Peer peer) {
        boolean silent = peer.lastReceivedMillis > 0 && nowMillis - peer.lastReceivedMillis >= silentMillis();
        boolean answered = peer.lastReceivedMillis > peer.unansweredAtMillis;
        boolean retryDue = nowMillis - peer.unansweredAtMillis >= RETRY_UNANSWERED_MILLIS;
        return peer.listed && !peer.draining && (answered ? !silent : retryDue);
    }

    /** Returns the failure domain of this router. */
    String failureDomain() {
        return self.failureDomain();
    }

    /**
     * Returns the incarnations of at most {@code count} live routers that are to keep settlement totals of this router,
     * those in other failure domains first.
     */
    public List<String> chooseHolders(int count) {
        List<Peer> candidates = new ArrayList<>();
        for (Peer peer : rows.values()) {
            if (alive(peer)) {
                candidates.add(peer);
            }
        }
        candidates.sort((left, right) -> {
            int byDomain = Boolean.compare(sameDomain(left), sameDomain(right));
            return byDomain != 0 ? byDomain : Integer.compareUnsigned(rank(left), rank(right));
        });
        return candidates.stream().limit(count).map(Peer::incarnation).toList();
    }

    boolean selfStoreUnreachable() {
        return selfStoreUnreachable;
    }

    void setSelfStoreUnreachable(boolean unreachable) {
        selfStoreUnreachable = unreachable;
    }

    /**
     * Returns the VM that commits changes of a ledger: the one that ranks first among the live routers that reach the
     * store. Returns an empty text if that is this router, or if no router reaches the store.
     */
    public String combinerOf(int partition) {
        String best = "";
        int bestRank = selfStoreUnreachable ? 0 : RendezvousRank.of(partition, selfHash);
        for (Peer peer : rows.values()) {
            int peerRank = RendezvousRank.of(partition, peer.vmHash);
            if (mayCombine(peer) && Integer.compareUnsigned(peerRank, bestRank) > 0) {
                best = peer.vm;
                bestRank = peerRank;
            }
        }
        return best;
    }

    /**
     * Returns the listed VMs, this one included, that rank first for a hash. They do not depend on which routers answer, so
     * that all routers agree about them.
     */
    public List<String> firstListed(int hash, int count) {
        Map<Integer, String> vmsByRank = new TreeMap<>(Integer::compareUnsigned);
        vmsByRank.put(RendezvousRank.of(hash, selfHash), self.vm());
        for (Peer peer : rows.values()) {
            if (peer.listed) {
                vmsByRank.put(RendezvousRank.of(hash, peer.vmHash), peer.vm);
            }
        }
        List<String> ascending = List.copyOf(vmsByRank.values());
        return ascending.subList(Math.max(0, ascending.size() - count), ascending.size());
    }

    /** Returns the VMs of the other routers in this failure domain that are listed and not draining. */
    public List<String> othersOfDomain() {
        List<String> result = new ArrayList<>();
        for (Peer peer : rows.values()) {
            if (peer.listed && !peer.draining && sameDomain(peer)) {
                result.add(peer.vm);
            }
        }
        return result;
    }

    /**
     * Returns the VM that watches the store for this failure domain: the one that ranks first among its reachable
     * routers that reach the store. Returns an empty text if that is this router, or if no router reaches the store.
     */
    public String watcherOfDomain() {
        String best = "";
        int bestRank = selfStoreUnreachable ? 0 : RendezvousRank.of(WATCHER_HASH, selfHash);
        for (Peer peer : rows.values()) {
            int peerRank = RendezvousRank.of(WATCHER_HASH, peer.vmHash);
            boolean eligible = sameDomain(peer) && reachesStore(peer) && presumedReachable(peer);
            if (eligible && Integer.compareUnsigned(peerRank, bestRank) > 0) {
                best = peer.vm;
                bestRank = peerRank;
            }
        }
        return best;
    }

    /** Returns whether a VM is known to be in the failure domain of this router. */
    public boolean isInOwnDomain(String vm) {
        Peer peer = rows.get(vm);
        return peer != null && sameDomain(peer);
    }

    /** Returns the other failure domains that have routers. */
    public Set<String> otherDomains() {
        Set<String> domains = new HashSet<>();
        for (Peer peer : rows.values()) {
            if (peer.listed && !sameDomain(peer)) {
                domains.add(peer.failureDomain);
            }
        }
        return domains;
    }

    /**
     * Returns the VM that collects the loads of targets for this failure domain: the one that ranks first among its
     * reachable routers. Returns an empty text if that is this router.
     *
     * @param excluded tells VMs that do not collect loads, although they seem to be reachable
     */
    public String loadHub(Predicate<String> excluded) {
        return loadHub(self.failureDomain(), RendezvousRank.of(LOAD_HUB_HASH, selfHash), excluded);
    }

    /** Returns the VM that collects the loads for another failure domain, or an empty text if none is reachable. */
    public String loadHubOf(String failureDomain) {
        return loadHub(failureDomain, 0, vm -> false);
    }

    private String loadHub(String failureDomain, int rankToExceed, Predicate<String> excluded) {
        String best = "";
        int bestRank = rankToExceed;
        for (Peer peer : rows.values()) {
            int peerRank = RendezvousRank.of(LOAD_HUB_HASH, peer.vmHash);
            boolean eligible = peer.failureDomain.equals(failureDomain)
                    && Integer.compareUnsigned(peerRank, bestRank) > 0
                    && presumedReachable(peer)
                    && !excluded.test(peer.vm);
            if (eligible) {
                best = peer.vm;
                bestRank = peerRank;
            }
        }
        return best;
    }

    /**
     * Returns whether a peer may commit ledger changes. That includes a peer that has sent no message yet. Otherwise,
     * when all routers start at the same moment, each of them would commit for every ledger.
     */
    private boolean mayCombine(Peer peer) {
        boolean silent = peer.lastReceivedMillis > 0 && !alive(peer);
        return peer.listed && !peer.draining && reachesStore(peer) && !silent && answersChanges(peer);
    }

    /**
     * Returns whether a peer is presumed to answer ledger changes. After one time-out it is, once it has sent any message.
     * After several in a row, messages don't count: a router whose calls to the store hang sends them too.
     */
    private boolean answersChanges(Peer peer) {
        boolean received =
                peer.combinerUnansweredInRow <= 1 && peer.lastReceivedMillis > peer.combinerUnansweredAtMillis;
        return received || nowMillis >= peer.combinerRetryAtMillis;
    }

    /** Returns whether a peer reaches the store, as far as its last report and its last answer say. */
    boolean reachesStore(Peer peer) {
        return !peer.storeUnreachable && nowMillis >= peer.storeRefusedUntilMillis;
    }

    /**
     * Records that a peer did not answer a request for ledger changes in time. Another router commits for a while, unless
     * the peer answers a request or its process is replaced; see {@link #answersChanges}.
     */
    public void onCombinerTimeout(String vm) {
        Peer peer = rows.get(vm);
        if (peer == null) {
            return;
        }
        peer.combinerUnansweredAtMillis = nowMillis;
        long pauseMillis = Math.min(MAX_COMBINER_RETRY_MILLIS, RETRY_UNANSWERED_MILLIS << peer.combinerUnansweredInRow);
        peer.combinerUnansweredInRow = Math.min(peer.combinerUnansweredInRow + 1, Integer.SIZE / 2);
        peer.combinerRetryAtMillis = nowMillis + pauseMillis;
    }

    /** Records that a peer committed ledger changes. */
    void onCombinerAnswered(Peer peer) {
        peer.combinerUnansweredInRow = 0;
        peer.combinerRetryAtMillis = Long.MIN_VALUE / 2;
        peer.storeRefusedUntilMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Records that a peer answered that it does not reach the store. This holds until its next report, or for two
     * report intervals if that is lost.
     */
    public void onStoreRefused(String vm) {
        Peer peer = rows.get(vm);
        if (peer != null) {
            peer.storeRefusedUntilMillis = nowMillis + Math.max(RETRY_UNANSWERED_MILLIS, 2 * reportMillis());
        }
    }

    /** Returns how many live routers rank before this one for the recovery of an ended process. */
    public int recoveryRank(String incarnation) {
        int own = rank(self.vm() + "/" + incarnation);
        int ranksBefore = 0;
        for (Peer peer : rows.values()) {
            boolean ahead = Integer.compareUnsigned(rank(peer.vm + "/" + incarnation), own) > 0;
            ranksBefore += alive(peer) && ahead ? 1 : 0;
        }
        return ranksBefore;
    }

    /** Returns for how many of the ledgers this router commits changes. */
    public int combinedPartitions(int partitions) {
        int count = 0;
        for (int partition = 0; partition < partitions; partition++) {
            count += combinerOf(partition).isEmpty() ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns whether a process is known to have ended: another one runs on its VM, or the platform does not list the
     * VM.
     */
    public boolean processEnded(String vm, String incarnation) {
        if (vm.equals(self.vm())) {
            return !incarnation.equals(self.incarnation());
        }
        Peer peer = rows.get(vm);
        if (peer == null) {
            return listReceived;
        }
        return alive(peer) && !peer.incarnation.equals(incarnation);
    }

    private boolean sameDomain(Peer peer) {
        return peer.failureDomain.equals(self.failureDomain());
    }

    private int rank(Peer peer) {
        return rank(self.incarnation() + "/" + peer.incarnation);
    }

    private static int rank(String text) {
        return RendezvousRank.hash(text);
    }

    /** Returns a number that changes with the sets of routers that are presumed reachable and that reach the store. */
    int reachableFingerprint() {
        int fingerprint = 1;
        for (Peer peer : rows.values()) {
            if (presumedReachable(peer)) {
                int reached = RendezvousRank.of(peer.vmHash, peer.failureDomain.hashCode());
                fingerprint += reachesStore(peer) ? reached : Integer.rotateLeft(reached, 1);
            }
        }
        return fingerprint;
    }

    /**
     * Returns the time between two reports to a peer, in milliseconds. In large deployments it grows in proportion to
     * the number of routers, so that the number of reports that each router sends per second stays about constant.
     */
    long reportMillis() {
        return reportMillis(rows.size());
    }

    private static long reportMillis(int routers) {
        return REPORT_MILLIS * Math.max(1, routers / PEERS_PER_REPORT_INTERVAL);
    }

    /**
     * Returns when a new peer gets its first report. In a large deployment the first reports are spread over the time
     * between two reports. Otherwise routers that start at the same moment would all connect to all others in their
     * first second.
     */
    long firstReportAtMillis(String vm, int routers) {
        boolean few = routers < PEERS_PER_REPORT_INTERVAL * 2;
        return few ? nowMillis : nowMillis + Math.floorMod(rank(self.vm() + "/" + vm), reportMillis(routers));
    }

    long silentMillis() {
        return reportMillis() * SILENT_AFTER_MISSED_REPORTS;
    }

    /** Marks a peer as silent because it did not answer; it counts as alive again after its next message. */
    public void markSilent(String vm) {
        Peer peer = rows.get(vm);
        if (peer != null) {
            peer.lastReceivedMillis = nowMillis - silentMillis();
            peer.unansweredAtMillis = nowMillis;
        }
    }
}
