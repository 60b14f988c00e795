package org.radishspan.budget;

import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.proto.LedgerResult;

/** Brings the bills of shares to the ledger, or to holders while the ledger does not take them. */
final class BillFlow {
    private static final long HANDOVER_RETRY_MILLIS = 200;

    private final LedgerGateway ledgers;
    private final ShareSystem.BillHandover handover;
    private final ShareCounters counters;
    private final Consumer<Share> onLost;
    private long handoverAfterMillis;
    private long settleMillis;
    private long nowMillis;

    BillFlow(LedgerGateway ledgers, ShareSystem.BillHandover handover, ShareCounters counters, Consumer<Share> onLost) {
        this.ledgers = ledgers;
        this.handover = handover;
        this.counters = counters;
        this.onLost = onLost;
    }

    void startTick(long tickMillis, SharePolicy policy, SharePolicy.Tuning tuning) {
        nowMillis = tickMillis;
        handoverAfterMillis = policy.handoverAfterMillis();
        settleMillis = tuning.settleMillis();
    }

    void settle(Share share) {
        boolean due = nowMillis >= share.nextSettleAtMillis || share.urgentSettle;
        if (share.settleInFlight || share.committedSettleSeq == share.settleSeq || !due) {
            return;
        }
        share.nextSettleAtMillis = nowMillis + settleMillis;
        share.settleInFlight = true;
        share.settleSubmittedAtMillis = nowMillis;
        Ledger.Settlement settlement = share.settlement();
        ledgers.submit(
                share.partition,
                LedgerOps.settle(share.budget, settlement),
                result -> onSettled(share, settlement, result));
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
        ShareSystem.observe(share, result);
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
