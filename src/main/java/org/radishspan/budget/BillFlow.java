package org.radishspan.budget;

import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.proto.LedgerResult;
import org.radishspan.proto.SpendingBound;

/** Brings the bills of shares to the ledger, or to holders while the ledger does not take them. */
final class BillFlow {
    /** States how far a router spends a share. */
    @FunctionalInterface
    interface BoundStatement {
        /** Returns the bound to send with a change; no more than {@code mostTokens}. */
        SpendingBound state(Share share, long mostTokens);
    }

    private static final long HANDOVER_RETRY_MILLIS = 200;

    private final LedgerGateway ledgers;
    private final ShareSystem.BillHandover handover;
    private final ShareCounters counters;
    private final Consumer<Share> onLost;
    private final BoundStatement boundStatement;
    private long handoverAfterMillis;
    private long settleMillis;
    private long boundMillis;
    private long nowMillis;

    BillFlow(
            LedgerGateway ledgers,
            ShareSystem.BillHandover handover,
            ShareCounters counters,
            Consumer<Share> onLost,
            BoundStatement boundStatement) {
        this.ledgers = ledgers;
        this.handover = handover;
        this.counters = counters;
        this.onLost = onLost;
        this.boundStatement = boundStatement;
    }

    void startTick(long tickMillis, SharePolicy policy, SharePolicy.Tuning tuning) {
        nowMillis = tickMillis;
        handoverAfterMillis = policy.handoverAfterMillis();
        settleMillis = tuning.settleMillis();
        boundMillis = tuning.boundMillis();
    }

    void settle(Share share) {
        if (share.settleInFlight) {
            return;
        }
        boolean due = nowMillis >= share.nextSettleAtMillis || share.urgentSettle;
        boolean changed = share.committedSettleSeq != share.settleSeq;
        if (!(due && changed) && !boundDue(share)) {
            return;
        }
        if (!changed) {
            share.settleSeq++;
        }
        share.nextSettleAtMillis = nowMillis + settleMillis;
        share.settleInFlight = true;
        share.settleSubmittedAtMillis = nowMillis;
        Ledger.Settlement settlement = share.settlement(boundStatement.state(share, share.grantedTokens));
        ledgers.submit(
                share.partition,
                LedgerOps.settle(share.budget, settlement),
                result -> onSettled(share, settlement, result));
    }

    /** Returns whether a bound is to be stated: calls wait for a higher one, or the last one grows old. */
    private boolean boundDue(Share share) {
        if (boundMillis == 0 || share.grantedTokens == 0 || share.retiring) {
            return false;
        }
        long needed = share.usedTokens() + share.waiters.firstTokens();
        boolean waiting = !share.waiters.isEmpty() && share.limitTokens < needed && needed <= share.grantedTokens;
        boolean old = nowMillis - share.bounds.statedAtMillis() >= settleMillis;
        return waiting || old && !share.urgentSettle;
    }

    private void onSettled(Share share, Ledger.Settlement settlement, LedgerResult result) {
        if (!share.shareId.equals(settlement.shareId())) {
            return;
        }
        share.settleInFlight = false;
        if (LedgerOps.failure(result).isPresent()) {
            onLost.accept(share);
            return;
        }
        share.noteBound(settlement.shareId(), settlement.bound(), result);
        share.observe(result);
        share.refreshLimit(nowMillis);
        share.committedSettleSeq = Math.max(share.committedSettleSeq, settlement.settleSeq());
        releaseBills(share, settlement.settleSeq());
    }

    private static void releaseBills(Share share, long settleSeq) {
        while (!share.bills.isEmpty() && share.bills.peek().settleSeq() <= settleSeq) {
            share.bills.remove().done().accept(Either.right(null));
        }
    }

    void handOver(Share share) {
        boolean late = share.settleInFlight
                && nowMillis - share.settleSubmittedAtMillis >= handoverAfterMillis
                && nowMillis >= share.nextHandoverAtMillis;
        if (!late || share.bills.isEmpty()) {
            return;
        }
        share.nextHandoverAtMillis = nowMillis + HANDOVER_RETRY_MILLIS;
        Ledger.Settlement settlement = share.settlement();
        for (String holder : List.copyOf(share.holders)) {
            counters.handovers++;
            handover.send(holder, share.budget, settlement, accepted -> onHeld(share, holder, settlement, accepted));
        }
    }

    private void onHeld(Share share, String holder, Ledger.Settlement settlement, boolean accepted) {
        boolean current = share.shareId.equals(settlement.shareId()) && share.holders.contains(holder);
        if (!accepted || !current) {
            return;
        }
        share.heldSettleSeq = Math.max(share.heldSettleSeq, settlement.settleSeq());
        releaseBills(share, settlement.settleSeq());
    }
}
