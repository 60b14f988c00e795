package org.radishspan.budget;

import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.proto.LedgerResult;
import org.radishspan.proto.SpendingBound;

/** Reports the bills of shares to the ledger, and hands them over to holders while the ledger does not commit them. */
final class BillSettler {
    /** Supplies the spending bounds of shares. */
    @FunctionalInterface
    interface BoundSupplier {
        /** Returns the bound to send with a change; it allows at most {@code maximumTokens}. */
        SpendingBound newBound(Share share, long maximumTokens);
    }

    private static final long HANDOVER_RETRY_MILLIS = 200;

    /** Time from a settlement that a ledger did not accept, because it is being restored, to the next one. */
    private static final long UNAVAILABLE_RETRY_MILLIS = 100;

    private final LedgerGateway gateway;
    private final ShareSystem.BillHandover handover;
    private final ShareCounters counters;
    private final Consumer<Share> onLost;
    private final BoundSupplier boundSupplier;
    private long handoverAfterMillis;
    private SharePolicy.Tuning tuning = SharePolicy.Tuning.DEFAULT;
    private long nowMillis;

    BillSettler(
            LedgerGateway gateway,
            ShareSystem.BillHandover handover,
            ShareCounters counters,
            Consumer<Share> onLost,
            BoundSupplier boundSupplier) {
        this.gateway = gateway;
        this.handover = handover;
        this.counters = counters;
        this.onLost = onLost;
        this.boundSupplier = boundSupplier;
    }

    void startTick(long tickMillis, SharePolicy policy, SharePolicy.Tuning currentTuning) {
        nowMillis = tickMillis;
        tuning = currentTuning;
        handoverAfterMillis = policy.handoverAfterMillis();
    }

    void settle(Share share) {
        if (share.settleInFlight || share.reportPending || nowMillis < share.settleRetryAtMillis) {
            return;
        }
        boolean intervalElapsed = nowMillis >= share.nextSettleAtMillis || share.urgentSettle;
        boolean hasNewBills = share.committedSettleSeq != share.settleSeq;
        if (!(intervalElapsed && hasNewBills) && !boundDue(share)) {
            return;
        }
        if (!hasNewBills) {
            share.settleSeq++;
        }
        share.nextSettleAtMillis = nowMillis + tuning.settleIntervalMillis();
        share.settleInFlight = true;
        share.settleSubmittedAtMillis = nowMillis;
        Ledger.Settlement settlement = share.settlement(boundSupplier.newBound(share, share.grantedTokens));
        gateway.submit(
                share.partition,
                LedgerOps.settle(share.budget, settlement),
                result -> onSettled(share, settlement, result));
    }

    /**
     * Returns whether a new bound must be stated because a waiting call needs a higher one, or the last one must be
     * renewed.
     */
    private boolean boundDue(Share share) {
        if (tuning.boundMillis() == 0 || share.grantedTokens == 0 || share.retiring) {
            return false;
        }
        long neededTokens = share.usedTokens() + share.waitingCalls.firstTokens();
        boolean callWaitsForBound = !share.waitingCalls.isEmpty()
                && share.spendingLimitTokens < neededTokens
                && neededTokens <= share.grantedTokens;
        boolean renewalDue = nowMillis - share.bounds.statedAtMillis() >= tuning.settleIntervalMillis();
        return callWaitsForBound || renewalDue && !share.urgentSettle;
    }

    private void onSettled(Share share, Ledger.Settlement settlement, LedgerResult result) {
        if (!share.shareId.equals(settlement.shareId()) || settlement.settleSeq() < share.reportedSettleSeq) {
            return;
        }
        share.settleInFlight = false;
        if (LedgerOps.isUnavailable(result)) {
            share.settleRetryAtMillis = nowMillis + UNAVAILABLE_RETRY_MILLIS;
            return;
        }
        if (LedgerOps.failure(result).isPresent()) {
            onLost.accept(share);
            return;
        }
        share.onBoundCommitted(settlement.shareId(), settlement.bound(), result);
        share.updateAccount(result);
        share.spendableUntilMillis = tuning.spendableUntilMillis(share.settleSubmittedAtMillis);
        share.refreshLimit(nowMillis);
        share.committedSettleSeq = Math.max(share.committedSettleSeq, settlement.settleSeq());
        completeBills(share, settlement.settleSeq());
    }

    private static void completeBills(Share share, long settleSeq) {
        while (!share.bills.isEmpty() && share.bills.peek().settleSeq() <= settleSeq) {
            share.bills.remove().done().accept(Either.right(null));
        }
    }

    void handOver(Share share) {
        boolean handoverDue = share.settleInFlight
                && nowMillis - share.settleSubmittedAtMillis >= handoverAfterMillis
                && nowMillis >= share.nextHandoverAtMillis;
        if (!handoverDue || share.bills.isEmpty()) {
            return;
        }
        share.nextHandoverAtMillis = nowMillis + HANDOVER_RETRY_MILLIS;
        Ledger.Settlement settlement = share.settlement();
        for (String holder : List.copyOf(share.holders)) {
            counters.handovers++;
            handover.send(
                    holder,
                    share.budget,
                    settlement,
                    accepted -> onHandoverAnswered(share, holder, settlement, accepted));
        }
    }

    private void onHandoverAnswered(Share share, String holder, Ledger.Settlement settlement, boolean accepted) {
        boolean stillHolder = share.shareId.equals(settlement.shareId()) && share.holders.contains(holder);
        if (!accepted || !stillHolder) {
            return;
        }
        share.heldSettleSeq = Math.max(share.heldSettleSeq, settlement.settleSeq());
        completeBills(share, settlement.settleSeq());
    }
}
