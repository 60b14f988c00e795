package org.radishspan.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.agrona.collections.Object2ObjectHashMap;
import org.apache.commons.codec.digest.MurmurHash3;
import org.jspecify.annotations.Nullable;
import org.radishspan.budget.Ledger;
import org.radishspan.proto.BillHandover;
import org.radishspan.proto.BillHandoverReply;
import org.radishspan.proto.Hello;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.LedgerNotice;
import org.radishspan.proto.LoadReport;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.ShareWanted;
import org.radishspan.routing.TargetTable.ListedVm;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Keeps the table of other routers, tells them of this one, and passes on what they say. */
public final class PeerSystem {

    /**
     * Who this router is.
     *
     * @param vm the VM's name
     * @param incarnation this process
     * @param failureDomain where it runs
     */
    public record Self(String vm, String incarnation, String failureDomain) {}

    /** What peers ask of this router. */
    public interface Handlers {
        /** Keeps the running totals of a peer's share; returns whether they are kept. */
        boolean keepBill(String budget, Ledger.Settlement settlement);

        /** Gives excess tokens of a budget back. */
        void onShortage(String budget, long tokens);

        /** Commits changes of a ledger for a peer. */
        void onLedgerCall(String vm, LedgerCall call);

        /** Takes the results of changes that this router sent. */
        void onLedgerAnswer(LedgerAnswer answer);

        /** Looks at a ledger because a share in it was closed. */
        void onLedgerNotice(int partition);

        /** Hears that a peer has a configuration revision. */
        void onRevision(long revision);

        /** Hears that a router process has come to its end. */
        void onProcessGone(String incarnation);

        /** Hears that a router process is alive. */
        void onProcessAlive(String incarnation);
    }

    private static final long REPORT_MILLIS = 500;
    private static final long GONE_AFTER_UNLISTED_MILLIS = 3_000;
    private static final long MAX_PENDING_HANDOVERS = 10_000;
    private static final int SILENT_REPORTS = 4;
    private static final int PEERS_AT_FULL_RATE = 6;

    private final Self self;
    private final PeerLink link;
    private final Handlers handlers;
    private final LongSupplier configRevision;
    private final IntSupplier requestsInFlight;
    private final Object2ObjectHashMap<String, Peer> rows = new Object2ObjectHashMap<>();
    private final Map<Long, Consumer<Boolean>> pendingHandovers = new LinkedHashMap<>();
    private long handoverCount;
    private long nextReportAtMillis;
    private long nowMillis;
    private boolean draining;
    private boolean listSeen;

    /** Creates the system. */
    public PeerSystem(
            Self self, PeerLink link, Handlers handlers, LongSupplier configRevision, IntSupplier requestsInFlight) {
        this.self = self;
        this.link = link;
        this.handlers = handlers;
        this.configRevision = configRevision;
        this.requestsInFlight = requestsInFlight;
    }

    /** Returns the peers. */
    public Collection<Peer> rows() {
        return rows.values();
    }

    /** Tells peers from now on that this router is stopping. */
    public void drain() {
        draining = true;
    }

    /** Takes over the routers of the platform's list. */
    public void replace(List<ListedVm> routers) {
        listSeen = true;
        Set<String> names = new HashSet<>();
        for (ListedVm vm : routers) {
            if (vm.name().equals(self.vm())) {
                continue;
            }
            names.add(vm.name());
            put(vm);
        }
        for (Peer peer : rows.values()) {
            if (!names.contains(peer.vm) && peer.listed) {
                peer.listed = false;
                peer.unlistedAtMillis = nowMillis;
            }
        }
    }

    private void put(ListedVm vm) {
        Peer peer = rows.get(vm.name());
        if (peer == null) {
            rows.put(vm.name(), new Peer(vm.name(), vm.host(), vm.port(), vm.failureDomain()));
            return;
        }
        peer.host = vm.host();
        peer.port = vm.port();
        peer.failureDomain = vm.failureDomain();
        peer.listed = true;
    }

    /** Returns the message that opens a connection. */
    public PeerMessage hello(String secretProof) {
        return PeerMessage.newBuilder()
                .setHello(Hello.newBuilder()
                        .setVm(self.vm())
                        .setIncarnation(self.incarnation())
                        .setFailureDomain(self.failureDomain())
                        .setSecretProof(secretProof)
                        .setDraining(draining))
                .build();
    }

    /** Takes a message of a peer whose hello was accepted. */
    public void onMessage(String vm, PeerMessage message) {
        Peer peer = rows.get(vm);
        if (peer == null) {
            return;
        }
        peer.lastHeardMillis = nowMillis;
        switch (message.getBodyCase()) {
            case HELLO -> onHello(peer, message.getHello());
            case LOAD -> onLoad(peer, message.getLoad());
            case HANDOVER -> onHandover(peer, message.getHandover());
            case HANDOVER_REPLY -> onHandoverReply(message.getHandoverReply());
            case WANTED ->
                handlers.onShortage(
                        message.getWanted().getBudget(), message.getWanted().getTokens());
            case LEDGER_CALL -> handlers.onLedgerCall(vm, message.getLedgerCall());
            case LEDGER_ANSWER -> handlers.onLedgerAnswer(message.getLedgerAnswer());
            case LEDGER_NOTICE ->
                handlers.onLedgerNotice(message.getLedgerNotice().getPartition());
            default -> {}
        }
    }

    private void onHello(Peer peer, Hello hello) {
        if (!onIncarnation(peer, hello.getIncarnation())) {
            return;
        }
        peer.failureDomain = hello.getFailureDomain();
        peer.draining = hello.getDraining();
    }

    /** Notes which process runs on a VM; returns false for a late message of one that has ended. */
    private boolean onIncarnation(Peer peer, String incarnation) {
        if (peer.endedIncarnations.contains(incarnation)) {
            return false;
        }
        if (!peer.incarnation.isEmpty() && !peer.incarnation.equals(incarnation)) {
            peer.endedIncarnations.add(peer.incarnation);
            handlers.onProcessGone(peer.incarnation);
        }
        peer.incarnation = incarnation;
        handlers.onProcessAlive(incarnation);
        return true;
    }

    private void onLoad(Peer peer, LoadReport load) {
        if (!onIncarnation(peer, load.getIncarnation())) {
            return;
        }
        peer.configRevision = load.getConfigRevision();
        peer.requestsInFlight = load.getRequestsInFlight();
        peer.draining = load.getDraining();
        handlers.onRevision(load.getConfigRevision());
    }

    private void onHandover(Peer peer, BillHandover handover) {
        Ledger.Settlement settlement = new Ledger.Settlement(
                handover.getShareId(),
                handover.getSettleSeq(),
                handover.getSpentTokens(),
                handover.getKeyedSeq(),
                handover.getKeyedSpentTokens());
        boolean kept = handlers.keepBill(handover.getBudget(), settlement);
        send(
                peer,
                PeerMessage.newBuilder()
                        .setHandoverReply(BillHandoverReply.newBuilder()
                                .setHandoverId(handover.getHandoverId())
                                .setAccepted(kept))
                        .build());
    }

    private void onHandoverReply(BillHandoverReply reply) {
        Consumer<Boolean> waiting = pendingHandovers.remove(reply.getHandoverId());
        if (waiting != null) {
            waiting.accept(reply.getAccepted());
        }
    }

    /** Hands the running totals of a share to another router process. */
    public void handOver(String holder, String budget, Ledger.Settlement settlement, Consumer<Boolean> accepted) {
        Peer peer = byIncarnation(holder);
        if (peer == null) {
            accepted.accept(false);
            return;
        }
        handoverCount++;
        pendingHandovers.put(handoverCount, accepted);
        pendingHandovers.remove(handoverCount - MAX_PENDING_HANDOVERS);
        send(
                peer,
                PeerMessage.newBuilder()
                        .setHandover(BillHandover.newBuilder()
                                .setHandoverId(handoverCount)
                                .setBudget(budget)
                                .setShareId(settlement.shareId())
                                .setSettleSeq(settlement.settleSeq())
                                .setSpentTokens(settlement.spentTokens())
                                .setKeyedSeq(settlement.keyedSeq())
                                .setKeyedSpentTokens(settlement.keyedSpentTokens()))
                        .build());
    }

    private @Nullable Peer byIncarnation(String incarnation) {
        for (Peer peer : rows.values()) {
            if (peer.incarnation.equals(incarnation)) {
                return peer;
            }
        }
        return null;
    }

    /** Asks a holder of a closed share to look at a ledger; this router looks itself if it is the holder. */
    public void noticeHolder(String holder, int partition) {
        if (holder.equals(self.incarnation())) {
            handlers.onLedgerNotice(partition);
            return;
        }
        Peer peer = byIncarnation(holder);
        if (peer != null) {
            send(
                    peer,
                    PeerMessage.newBuilder()
                            .setLedgerNotice(LedgerNotice.newBuilder().setPartition(partition))
                            .build());
        }
    }

    /** Tells every peer that a share of a budget is short of tokens. */
    public void announceShortage(String budget, String shareId, long tokens) {
        PeerMessage message = PeerMessage.newBuilder()
                .setWanted(ShareWanted.newBuilder()
                        .setBudget(budget)
                        .setShareId(shareId)
                        .setTokens(tokens))
                .build();
        for (Peer peer : rows.values()) {
            send(peer, message);
        }
    }

    /** Returns live router processes to keep bills, those in other failure domains first. */
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

    private boolean alive(Peer peer) {
        boolean heard = nowMillis - peer.lastHeardMillis < silentMillis();
        return heard && !peer.draining && !peer.incarnation.isEmpty();
    }

    /** Returns the VM that ranks first for a ledger among the live ones; empty text if it is this one. */
    public String combinerOf(int partition) {
        String best = "";
        int bestRank = rank(self.vm() + "/" + partition);
        for (Peer peer : rows.values()) {
            int peerRank = rank(peer.vm + "/" + partition);
            if (alive(peer) && Integer.compareUnsigned(peerRank, bestRank) > 0) {
                best = peer.vm;
                bestRank = peerRank;
            }
        }
        return best;
    }

    /** Returns how many live routers rank before this one for the recovery of a process. */
    public int recoveryRank(String incarnation) {
        int own = rank(self.vm() + "/" + incarnation);
        int before = 0;
        for (Peer peer : rows.values()) {
            boolean first = Integer.compareUnsigned(rank(peer.vm + "/" + incarnation), own) > 0;
            before += alive(peer) && first ? 1 : 0;
        }
        return before;
    }

    /** Returns how many of the ledgers this router commits for. */
    public int combinedPartitions(int partitions) {
        int count = 0;
        for (int partition = 0; partition < partitions; partition++) {
            count += combinerOf(partition).isEmpty() ? 1 : 0;
        }
        return count;
    }

    /** Returns whether a process has ended: another one runs on its VM, or the platform does not list the VM. */
    public boolean processEnded(String vm, String incarnation) {
        if (vm.equals(self.vm())) {
            return !incarnation.equals(self.incarnation());
        }
        Peer peer = rows.get(vm);
        if (peer == null) {
            return listSeen;
        }
        return alive(peer) && !peer.incarnation.equals(incarnation);
    }

    /** Sends a message to a VM, if it is known. */
    public void sendTo(String vm, PeerMessage message) {
        Peer peer = rows.get(vm);
        if (peer != null) {
            send(peer, message);
        }
    }

    private boolean sameDomain(Peer peer) {
        return peer.failureDomain.equals(self.failureDomain());
    }

    private int rank(Peer peer) {
        return rank(self.incarnation() + "/" + peer.incarnation);
    }

    private static int rank(String text) {
        byte[] bytes = text.getBytes(UTF_8);
        return MurmurHash3.hash32x86(bytes, 0, bytes.length, 0);
    }

    /** Reports to peers and notices those that are gone. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (tickMillis < nextReportAtMillis) {
            return;
        }
        nextReportAtMillis = tickMillis + reportMillis();
        PeerMessage report = PeerMessage.newBuilder()
                .setLoad(LoadReport.newBuilder()
                        .setConfigRevision(configRevision.getAsLong())
                        .setRequestsInFlight(requestsInFlight.getAsInt())
                        .setDraining(draining)
                        .setIncarnation(self.incarnation()))
                .build();
        for (Peer peer : new ArrayList<>(rows.values())) {
            send(peer, report);
            noticeGone(peer);
        }
    }

    /** Returns the time between two reports, which grows with the fleet so that the bytes a second do not. */
    private long reportMillis() {
        return REPORT_MILLIS * Math.max(1, rows.size() / PEERS_AT_FULL_RATE);
    }

    private long silentMillis() {
        return reportMillis() * SILENT_REPORTS;
    }

    /** Notes that a peer did not answer; it counts as alive again once it is heard. */
    public void onUnanswered(String vm) {
        Peer peer = rows.get(vm);
        if (peer != null) {
            peer.lastHeardMillis = nowMillis - silentMillis();
        }
    }

    private void noticeGone(Peer peer) {
        boolean silent = nowMillis - peer.lastHeardMillis >= silentMillis();
        boolean unlisted = !peer.listed && nowMillis - peer.unlistedAtMillis >= GONE_AFTER_UNLISTED_MILLIS;
        if (!silent || !unlisted) {
            return;
        }
        rows.remove(peer.vm);
        if (!peer.incarnation.isEmpty()) {
            handlers.onProcessGone(peer.incarnation);
        }
    }

    private void send(Peer peer, PeerMessage message) {
        link.send(peer, message);
    }
}
