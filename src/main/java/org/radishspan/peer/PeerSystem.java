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

import org.radishspan.budget.Ledger;
import org.radishspan.proto.BillHandover;
import org.radishspan.proto.BillHandoverReply;
import org.radishspan.proto.FindStream;
import org.radishspan.proto.Hello;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.LedgerNotice;
import org.radishspan.proto.LoadReport;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.PromptSent;
import org.radishspan.proto.ReserveTokens;
import org.radishspan.proto.SettleTokens;
import org.radishspan.proto.ShareWanted;
import org.radishspan.proto.StoreNews;
import org.radishspan.proto.StreamFound;
import org.radishspan.proto.StreamsBegun;
import org.radishspan.proto.Strike;
import org.radishspan.proto.TargetLeaving;
import org.radishspan.proto.TargetLoads;
import org.radishspan.proto.TargetRateLimit;
import org.radishspan.proto.TokensReserved;
import org.radishspan.proto.TokensSettled;
import org.radishspan.routing.TargetTable.ListedVm;

/**
 * Maintains the table of other routers: sends them this router's load reports, which serve as heartbeats, detects
 * routers that stop reporting, and passes received messages to {@link Handlers}.
 */
public final class PeerSystem {

    /**
     * The identity of this router.
     *
     * @param vm the VM's name
     * @param incarnation the router process on this VM
     * @param failureDomain the failure domain in which it runs
     */
    public record Self(String vm, String incarnation, String failureDomain) {}

    /** Handles the messages of peers, and changes in the state of their processes. */
    public interface Handlers {
        /** Keeps the settlement totals of a peer's share; returns whether they are kept. */
        boolean keepBill(String budget, Ledger.Settlement settlement);

        /** Returns excess tokens of a budget, because a peer's share of it is short of {@code tokens}. */
        void onShortage(String budget, long tokens);

        /** Commits the ledger changes that a peer requested. */
        void onLedgerCall(String vm, LedgerCall call);

        /** Handles the results of the ledger changes that this router requested. */
        void onLedgerAnswer(LedgerAnswer answer);

        /** Reads a ledger again because a share in it was closed, or reports what this router knows of it. */
        void onLedgerNotice(int partition);

        /**
         * Handles a report that a request crashed a target; if {@code target} is empty, that the request may run again.
         */
        void onStrike(Strike strike);

        /** Handles a connection that a peer has opened; the peer may have missed earlier messages. */
        default void onConnected(String vm) {}

        /** Handles a report that a peer sent a prompt to a target. */
        default void onPromptSent(PromptSent prompt) {}

        /** Handles changes in the store that a peer received and forwarded. */
        default void onStoreNews(String vm, StoreNews news) {}

        /** Handles a peer's report that a target is leaving. */
        default void onTargetLeaving(TargetLeaving leaving) {}

        /** Handles a report of how many requests a second a target accepts from all routers together. */
        default void onTargetRateLimit(String vm, TargetRateLimit limit) {}

        /** Handles loads of targets that a peer received or collected. */
        default void onTargetLoads(String vm, TargetLoads loads) {}

        /** Keeps at which software versions streams began at a peer. */
        default void onStreamsBegun(StreamsBegun begun) {}

        /** Answers a peer at which software version a stream began. */
        default void onFindStream(String vm, FindStream call) {}

        /** Handles the answer to such a question of this router. */
        default void onStreamFound(StreamFound answer) {}

        /** Reserves tokens of this router's share for a call at a peer. */
        default void onReserveTokens(String vm, ReserveTokens call) {}

        /** Handles the answer to a reservation that this router requested. */
        default void onTokensReserved(TokensReserved answer) {}

        /** Settles the tokens that a call at a peer used of its reservation. */
        default void onSettleTokens(String vm, SettleTokens settled) {}

        /** Handles a peer's confirmation that it settled what a call at this router used. */
        default void onTokensSettled(TokensSettled answer) {}

        /** Handles the configuration revision that a peer reported. */
        void onRevision(long revision);

        /** Handles the end of a router process. */
        void onProcessEnded(String incarnation);

        /** Called for each message by which a router process that has not ended reports its incarnation. */
        void onProcessAlive(String incarnation);

        /**
         * Handles a VM that became silent or reports again; {@code silentMillis} is the time since its last message.
         */
        default void onSilenceChanged(String vm, boolean silent, long silentMillis) {}
    }

    /** Time for which a router is missing from the platform's list before its row can be removed. */
    private static final long REMOVE_AFTER_UNLISTED_MILLIS = 3_000;

    /** Number of missed reports after which the connection to a router is closed and opened again. */
    private static final int RESET_AFTER_MISSED_REPORTS = 3;

    /** Interval between checks for reports that are due: a tenth of the shortest interval between two reports. */
    private static final long REPORT_CHECK_MILLIS = 50;

    /** Number of unanswered requests in a row after which the connection to a router is closed. */
    private static final int UNANSWERED_BEFORE_RESET = 2;

    /**
     * Minimum time between two reports to all peers that this router lost or reached the store. A store that answers some
     * calls only would otherwise cause a report to each peer with every call.
     */
    private static final long STORE_REPORT_GAP_MILLIS = 500;

    private static final long MAX_PENDING_HANDOVERS = 10_000;

    private final Self self;
    private final PeerLink link;
    private final Handlers handlers;
    private final LongSupplier configRevision;
    private final IntSupplier requestsInFlight;
    private final PeerTable table;
    private final Map<Long, Consumer<Boolean>> pendingHandovers = new LinkedHashMap<>();
    private long handoverCount;
    private long nextCheckAtMillis;
    private boolean reportToAll;
    private boolean reportedStoreUnreachable;
    private long storeReportedAtMillis = Long.MIN_VALUE / 2;
    private long nowMillis;
    private boolean draining;

    /**
     * Creates the system; {@code configRevision} and {@code requestsInFlight} supply the values that this router
     * reports.
     */
    public PeerSystem(
            Self self, PeerLink link, Handlers handlers, LongSupplier configRevision, IntSupplier requestsInFlight) {
        this.self = self;
        this.table = new PeerTable(self);
        this.link = link;
        this.handlers = handlers;
        this.configRevision = configRevision;
        this.requestsInFlight = requestsInFlight;
    }

    /** Returns the table of the other routers. */
    public PeerTable table() {
        return table;
    }

    /** Reports to peers, immediately and from now on, that this router is draining. */
    public void drain() {
        draining = true;
        reportToAll = true;
    }

    /**
     * Sets whether this router cannot reach the store. Peers receive a report when that changes: immediately, or {@link
     * #STORE_REPORT_GAP_MILLIS} after the last such report.
     *
     * @return whether a change is reported now
     */
    public boolean setStoreUnreachable(boolean unreachable) {
        table.setSelfStoreUnreachable(unreachable);
        boolean due = nowMillis - storeReportedAtMillis >= STORE_REPORT_GAP_MILLIS;
        if (reportedStoreUnreachable == unreachable || !due) {
            return false;
        }
        reportedStoreUnreachable = unreachable;
        storeReportedAtMillis = nowMillis;
        reportToAll = true;
        return true;
    }

    /** Applies the routers of the platform's list: adds new ones and marks those that are no longer listed. */
    public void replace(List<ListedVm> routers) {
        table.setListReceived();
        Set<String> names = new HashSet<>();
        for (ListedVm vm : routers) {
            if (vm.name().equals(self.vm())) {
                continue;
            }
            names.add(vm.name());
            put(vm, routers.size());
        }
        for (Peer peer : table.rows()) {
            if (!names.contains(peer.vm) && peer.listed) {
                peer.listed = false;
                peer.unlistedAtMillis = nowMillis;
            }
        }
    }

    private void put(ListedVm vm, int routers) {
        Peer peer = table.get(vm.name());
        if (peer == null) {
            Peer added = new Peer(vm.name(), vm.host(), vm.port(), vm.failureDomain());
            table.add(added);
            added.nextReportAtMillis = table.firstReportAtMillis(added.vm, routers);
            return;
        }
        peer.host = vm.host();
        peer.port = vm.port();
        peer.failureDomain = vm.failureDomain();
        peer.listed = true;
    }

    /** Returns the message that opens a connection, with the proof of the shared secret. */
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

    /** Handles a message of a peer whose hello was accepted. Messages of VMs that are not in the table are ignored. */
    public void onMessage(String vm, PeerMessage message) {
        Peer peer = table.get(vm);
        if (peer == null) {
            return;
        }
        peer.lastReceivedMillis = nowMillis;
        peer.unansweredInRow = 0;
        switch (message.getBodyCase()) {
            case HELLO -> onHello(peer, message.getHello());
            case LOAD -> onLoad(peer, message.getLoad());
            case HANDOVER -> onHandover(peer, message.getHandover());
            case HANDOVER_REPLY -> onHandoverReply(message.getHandoverReply());
            case WANTED ->
                handlers.onShortage(
                        message.getWanted().getBudget(), message.getWanted().getTokens());
            case LEDGER_CALL -> handlers.onLedgerCall(vm, message.getLedgerCall());
            case LEDGER_ANSWER -> onLedgerAnswer(peer, message.getLedgerAnswer());
            case LEDGER_NOTICE ->
                handlers.onLedgerNotice(message.getLedgerNotice().getPartition());
            case STRIKE -> handlers.onStrike(message.getStrike());
            case PROMPT_SENT -> handlers.onPromptSent(message.getPromptSent());
            case STORE_NEWS -> handlers.onStoreNews(vm, message.getStoreNews());
            case TARGET_LEAVING -> handlers.onTargetLeaving(message.getTargetLeaving());
            case TARGET_RATE_LIMIT -> handlers.onTargetRateLimit(vm, message.getTargetRateLimit());
            case TARGET_LOADS -> handlers.onTargetLoads(vm, message.getTargetLoads());
            case STREAMS_BEGUN -> handlers.onStreamsBegun(message.getStreamsBegun());
            case FIND_STREAM -> handlers.onFindStream(vm, message.getFindStream());
            case STREAM_FOUND -> handlers.onStreamFound(message.getStreamFound());
            case RESERVE_TOKENS -> handlers.onReserveTokens(vm, message.getReserveTokens());
            case TOKENS_RESERVED -> handlers.onTokensReserved(message.getTokensReserved());
            case SETTLE_TOKENS -> handlers.onSettleTokens(vm, message.getSettleTokens());
            case TOKENS_SETTLED -> handlers.onTokensSettled(message.getTokensSettled());
            default -> {}
        }
    }

    private void onLedgerAnswer(Peer peer, LedgerAnswer answer) {
        if (!answer.getStoreUnreachable()) {
            table.onCombinerAnswered(peer);
        }
        handlers.onLedgerAnswer(answer);
    }

    private void onHello(Peer peer, Hello hello) {
        if (!onIncarnation(peer, hello.getIncarnation())) {
            return;
        }
        peer.failureDomain = hello.getFailureDomain();
        peer.draining = hello.getDraining();
        handlers.onConnected(peer.vm);
    }

    /** Records which process runs on a VM; returns false for a late message of a process that has ended. */
    private boolean onIncarnation(Peer peer, String incarnation) {
        if (peer.endedIncarnations.contains(incarnation)) {
            return false;
        }
        if (!peer.incarnation.isEmpty() && !peer.incarnation.equals(incarnation)) {
            peer.endedIncarnations.add(peer.incarnation);
            handlers.onProcessEnded(peer.incarnation);
        }
        if (!peer.incarnation.equals(incarnation)) {
            table.onCombinerAnswered(peer);
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
        peer.storeUnreachable = load.getStoreAway();
        peer.storeRefusedUntilMillis = Long.MIN_VALUE / 2;
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
        Consumer<Boolean> onReply = pendingHandovers.remove(reply.getHandoverId());
        if (onReply != null) {
            onReply.accept(reply.getAccepted());
        }
    }

    /**
     * Sends the settlement totals of a share to another router process. Calls {@code onReply} with whether that process
     * keeps them, or with false if it is unknown. {@code onReply} is not called if no reply arrives.
     */
    public void handOver(String holder, String budget, Ledger.Settlement settlement, Consumer<Boolean> onReply) {
        Peer peer = table.byIncarnation(holder);
        if (peer == null) {
            onReply.accept(false);
            return;
        }
        handoverCount++;
        pendingHandovers.put(handoverCount, onReply);
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

    /**
     * Requests that a holder of a closed share reads a ledger again; if this router is the holder, it does so itself.
     */
    public void notifyHolder(String holder, int partition) {
        if (holder.equals(self.incarnation())) {
            handlers.onLedgerNotice(partition);
            return;
        }
        Peer peer = table.byIncarnation(holder);
        if (peer != null) {
            send(
                    peer,
                    PeerMessage.newBuilder()
                            .setLedgerNotice(LedgerNotice.newBuilder().setPartition(partition))
                            .build());
        }
    }

    /**
     * Reports to every peer that a request crashed a target; if {@code target} is empty, that the request may run
     * again.
     *
     * @param ageMillis the time since the crash, in milliseconds
     */
    public void announceStrike(List<String> fingerprints, String target, long ageMillis) {
        sendToAll(strike(fingerprints, target, ageMillis));
    }

    /** Sends a report that a request crashed a target to one peer. */
    public void sendStrike(String vm, List<String> fingerprints, String target, long ageMillis) {
        sendTo(vm, strike(fingerprints, target, ageMillis));
    }

    private static PeerMessage strike(List<String> fingerprints, String target, long ageMillis) {
        return PeerMessage.newBuilder()
                .setStrike(Strike.newBuilder()
                        .setFingerprint(fingerprints.get(0))
                        .addAllFurtherFingerprints(fingerprints.subList(1, fingerprints.size()))
                        .setTarget(target)
                        .setAgeMillis(ageMillis))
                .build();
    }

    /** Returns all fingerprints that a report of a crash names. */
    public static List<String> fingerprints(Strike strike) {
        List<String> fingerprints = new ArrayList<>();
        fingerprints.add(strike.getFingerprint());
        fingerprints.addAll(strike.getFurtherFingerprintsList());
        return fingerprints;
    }

    /** Reports to every peer that this router sent a prompt to a target. */
    public void announcePrompt(PromptSent prompt) {
        sendToAll(PeerMessage.newBuilder().setPromptSent(prompt).build());
    }

    /** Reports to every peer that a target is leaving. */
    public void announceLeaving(TargetLeaving leaving) {
        sendToAll(PeerMessage.newBuilder().setTargetLeaving(leaving).build());
    }

    /** Reports to every peer how many requests a second a target accepts from all routers together. */
    public void announceRateLimit(TargetRateLimit limit) {
        sendToAll(PeerMessage.newBuilder().setTargetRateLimit(limit).build());
    }

    /** Reports to every peer that a share of a budget is short of tokens. */
    public void announceShortage(String budget, String shareId, long tokens) {
        sendToAll(shortage(budget, shareId, tokens));
    }

    /** Reports to some routers that a share of a budget is short of tokens. */
    public void announceShortage(Collection<String> vms, String budget, String shareId, long tokens) {
        vms.forEach(vm -> sendTo(vm, shortage(budget, shareId, tokens)));
    }

    private static PeerMessage shortage(String budget, String shareId, long tokens) {
        return PeerMessage.newBuilder()
                .setWanted(ShareWanted.newBuilder()
                        .setBudget(budget)
                        .setShareId(shareId)
                        .setTokens(tokens))
                .build();
    }

    private void sendToAll(PeerMessage message) {
        for (Peer peer : table.rows()) {
            send(peer, message);
        }
    }

    /** Sends a message to a VM, or drops it if the VM is not in the table. */
    public void sendTo(String vm, PeerMessage message) {
        Peer peer = table.get(vm);
        if (peer != null) {
            send(peer, message);
        }
    }

    /**
     * Sends the reports that are due, resets connections to silent peers, and removes peers that are silent and no
     * longer listed.
     */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        table.setNow(tickMillis);
        if (tickMillis < nextCheckAtMillis && !reportToAll) {
            return;
        }
        nextCheckAtMillis = tickMillis + REPORT_CHECK_MILLIS;
        List<Peer> due = new ArrayList<>();
        for (Peer peer : table.rows()) {
            if (tickMillis >= peer.nextReportAtMillis || reportToAll) {
                due.add(peer);
            }
        }
        if (due.isEmpty()) {
            return;
        }
        PeerMessage report = report();
        for (Peer peer : due) {
            peer.nextReportAtMillis = tickMillis + table.reportMillis();
            resetIfSilent(peer);
            send(peer, report);
            updateSilence(peer);
            removeIfEnded(peer);
        }
        reportToAll = false;
    }

    private PeerMessage report() {
        return PeerMessage.newBuilder()
                .setLoad(LoadReport.newBuilder()
                        .setConfigRevision(configRevision.getAsLong())
                        .setRequestsInFlight(requestsInFlight.getAsInt())
                        .setDraining(draining)
                        .setIncarnation(self.incarnation())
                        .setStoreAway(table.selfStoreUnreachable()))
                .build();
    }

    private void resetIfSilent(Peer peer) {
        long silentMillis = nowMillis - Math.max(peer.lastReceivedMillis, peer.lastResetMillis);
        if (silentMillis >= RESET_AFTER_MISSED_REPORTS * table.reportMillis()) {
            peer.lastResetMillis = nowMillis;
            link.reset(peer);
        }
    }

    /**
     * Records that a router did not answer a request in time. Its connection is kept at first, because the router may
     * only be slow and other answers may still arrive on it. After the second unanswered request in a row the
     * connection is closed, and the next message opens another one.
     */
    public void onRequestTimeout(String vm) {
        Peer peer = table.get(vm);
        if (peer == null) {
            return;
        }
        peer.unansweredAtMillis = nowMillis;
        peer.unansweredInRow++;
        if (peer.unansweredInRow >= UNANSWERED_BEFORE_RESET) {
            peer.unansweredInRow = 0;
            peer.lastResetMillis = nowMillis;
            link.reset(peer);
        }
    }

    private void updateSilence(Peer peer) {
        boolean silent = !table.alive(peer);
        if (silent != peer.silent) {
            peer.silent = silent;
            handlers.onSilenceChanged(peer.vm, silent, nowMillis - peer.lastReceivedMillis);
        }
    }

    private void removeIfEnded(Peer peer) {
        boolean silent = nowMillis - peer.lastReceivedMillis >= table.silentMillis();
        boolean unlisted = !peer.listed && nowMillis - peer.unlistedAtMillis >= REMOVE_AFTER_UNLISTED_MILLIS;
        if (!silent || !unlisted) {
            return;
        }
        table.remove(peer);
        if (!peer.incarnation.isEmpty()) {
            handlers.onProcessEnded(peer.incarnation);
        }
    }

    private void send(Peer peer, PeerMessage message) {
        link.send(peer, message);
    }
}
