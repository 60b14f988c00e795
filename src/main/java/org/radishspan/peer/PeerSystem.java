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
import org.radishspan.proto.Strike;
import org.radishspan.proto.TargetLeaving;
import org.radishspan.proto.TargetRateLimit;
import org.radishspan.proto.TokensReserved;
import org.radishspan.proto.TokensSettled;
import org.radishspan.routing.TargetTable.ListedVm;

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

        /** Hears that a request broke a target at a peer, or, without a target, that it may run again. */
        void onStrike(String fingerprint, String target);

        /** Hears that a peer sent a prompt to a target. */
        default void onPromptSent(PromptSent prompt) {}

        /** Hears what the store has told a peer. */
        default void onStoreNews(String vm, StoreNews news) {}

        /** Hears that a target said to a peer that it is leaving. */
        default void onTargetLeaving(TargetLeaving leaving) {}

        /** Hears how many requests a second a target takes from all routers together. */
        default void onTargetRateLimit(String vm, TargetRateLimit limit) {}

        /** Reserves tokens of a share for a call at a peer. */
        default void onReserveTokens(String vm, ReserveTokens call) {}

        /** Takes the answer to such a request of this router. */
        default void onTokensReserved(TokensReserved answer) {}

        /** Takes what a call at a peer used of reserved tokens. */
        default void onSettleTokens(String vm, SettleTokens settled) {}

        /** Hears that a peer has taken what a call at this router used. */
        default void onTokensSettled(TokensSettled answer) {}

        /** Hears that a peer has a configuration revision. */
        void onRevision(long revision);

        /** Hears that a router process has come to its end. */
        void onProcessGone(String incarnation);

        /** Hears that a router process is alive. */
        void onProcessAlive(String incarnation);

        /** Hears that a VM fell silent, or is heard again. */
        default void onSilenceChanged(String vm, boolean silent, long quietMillis) {}
    }

    private static final long GONE_AFTER_UNLISTED_MILLIS = 3_000;
    /** The connection to a router that missed so many reports is given up. */
    private static final int SILENT_REPORTS = 3;

    /** How often a router looks which reports are due: a tenth of the shortest time between two of them. */
    private static final long LOOK_MILLIS = 50;

    private static final int UNANSWERED_BEFORE_RESET = 2;

    private static final long MAX_PENDING_HANDOVERS = 10_000;

    private final Self self;
    private final PeerLink link;
    private final Handlers handlers;
    private final LongSupplier configRevision;
    private final IntSupplier requestsInFlight;
    private final PeerTable table;
    private final Map<Long, Consumer<Boolean>> pendingHandovers = new LinkedHashMap<>();
    private long handoverCount;
    private long lookAtMillis;
    private boolean reportToAll;
    private long nowMillis;
    private boolean draining;

    /** Creates the system. */
    public PeerSystem(
            Self self, PeerLink link, Handlers handlers, LongSupplier configRevision, IntSupplier requestsInFlight) {
        this.self = self;
        this.table = new PeerTable(self);
        this.link = link;
        this.handlers = handlers;
        this.configRevision = configRevision;
        this.requestsInFlight = requestsInFlight;
    }

    /** Returns the other routers. */
    public PeerTable table() {
        return table;
    }

    /** Tells peers, at once and from now on, that this router is stopping. */
    public void drain() {
        draining = true;
        reportToAll = true;
    }

    /** Says whether this router can reach the store; peers are told at once when that changes. */
    public void noteStoreAway(boolean away) {
        if (table.selfStoreAway() != away) {
            table.setSelfStoreAway(away);
            reportToAll = true;
        }
    }

    /** Takes over the routers of the platform's list. */
    public void replace(List<ListedVm> routers) {
        table.noteListSeen();
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
        Peer peer = table.get(vm);
        if (peer == null) {
            return;
        }
        peer.lastHeardMillis = nowMillis;
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
            case LEDGER_ANSWER -> handlers.onLedgerAnswer(message.getLedgerAnswer());
            case LEDGER_NOTICE ->
                handlers.onLedgerNotice(message.getLedgerNotice().getPartition());
            case STRIKE ->
                handlers.onStrike(
                        message.getStrike().getFingerprint(),
                        message.getStrike().getTarget());
            case PROMPT_SENT -> handlers.onPromptSent(message.getPromptSent());
            case STORE_NEWS -> handlers.onStoreNews(vm, message.getStoreNews());
            case TARGET_LEAVING -> handlers.onTargetLeaving(message.getTargetLeaving());
            case TARGET_RATE_LIMIT -> handlers.onTargetRateLimit(vm, message.getTargetRateLimit());
            case RESERVE_TOKENS -> handlers.onReserveTokens(vm, message.getReserveTokens());
            case TOKENS_RESERVED -> handlers.onTokensReserved(message.getTokensReserved());
            case SETTLE_TOKENS -> handlers.onSettleTokens(vm, message.getSettleTokens());
            case TOKENS_SETTLED -> handlers.onTokensSettled(message.getTokensSettled());
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
        peer.storeAway = load.getStoreAway();
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
        Peer peer = table.byIncarnation(holder);
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

    /** Asks a holder of a closed share to look at a ledger; this router looks itself if it is the holder. */
    public void noticeHolder(String holder, int partition) {
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

    /** Tells every peer that a request broke a target, or, without a target, that it may run again. */
    public void announceStrike(String fingerprint, String target) {
        PeerMessage message = PeerMessage.newBuilder()
                .setStrike(Strike.newBuilder().setFingerprint(fingerprint).setTarget(target))
                .build();
        sendToAll(message);
    }

    /** Tells every peer that a target got a prompt to read. */
    public void announcePrompt(PromptSent prompt) {
        sendToAll(PeerMessage.newBuilder().setPromptSent(prompt).build());
    }

    /** Tells every peer that a target is leaving. */
    public void announceLeaving(TargetLeaving leaving) {
        sendToAll(PeerMessage.newBuilder().setTargetLeaving(leaving).build());
    }

    /** Tells every peer how many requests a second a target takes from all routers together. */
    public void announceRateLimit(TargetRateLimit limit) {
        sendToAll(PeerMessage.newBuilder().setTargetRateLimit(limit).build());
    }

    /** Tells every peer that a share of a budget is short of tokens. */
    public void announceShortage(String budget, String shareId, long tokens) {
        sendToAll(shortage(budget, shareId, tokens));
    }

    /** Tells some routers that a share of a budget is short of tokens. */
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

    /** Sends a message to a VM, if it is known. */
    public void sendTo(String vm, PeerMessage message) {
        Peer peer = table.get(vm);
        if (peer != null) {
            send(peer, message);
        }
    }

    /** Reports to peers and notices those that are gone. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        table.setNow(tickMillis);
        if (tickMillis < lookAtMillis && !reportToAll) {
            return;
        }
        lookAtMillis = tickMillis + LOOK_MILLIS;
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
            resetSilent(peer);
            send(peer, report);
            noticeSilence(peer);
            noticeGone(peer);
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
                        .setStoreAway(table.selfStoreAway()))
                .build();
    }

    private void resetSilent(Peer peer) {
        long quietMillis = nowMillis - Math.max(peer.lastHeardMillis, peer.lastResetMillis);
        if (quietMillis >= SILENT_REPORTS * table.reportMillis()) {
            peer.lastResetMillis = nowMillis;
            link.reset(peer);
        }
    }

    /**
     * Notes that a router did not answer a question in time. One that was only slow keeps its connection, on which other answers
     * may be on their way; after the second time in a row the next message opens another one.
     */
    public void onUnanswered(String vm) {
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

    private void noticeSilence(Peer peer) {
        boolean silent = !table.alive(peer);
        if (silent != peer.silent) {
            peer.silent = silent;
            handlers.onSilenceChanged(peer.vm, silent, nowMillis - peer.lastHeardMillis);
        }
    }

    private void noticeGone(Peer peer) {
        boolean silent = nowMillis - peer.lastHeardMillis >= table.silentMillis();
        boolean unlisted = !peer.listed && nowMillis - peer.unlistedAtMillis >= GONE_AFTER_UNLISTED_MILLIS;
        if (!silent || !unlisted) {
            return;
        }
        table.remove(peer);
        if (!peer.incarnation.isEmpty()) {
            handlers.onProcessGone(peer.incarnation);
        }
    }

    private void send(Peer peer, PeerMessage message) {
        link.send(peer, message);
    }
}
