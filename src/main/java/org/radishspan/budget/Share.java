package org.radishspan.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.agrona.collections.Long2LongHashMap;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.Failure;
import org.radishspan.proto.LedgerResult;
import org.radishspan.proto.ShareReport;
import org.radishspan.proto.ShareState;
import org.radishspan.proto.SpendingBound;

/**
 * One row of the {@link ShareTable}: the part of a budget that this router may spend.
 *
 * <p>The available tokens are the granted ones, or those up to the spending bound in force, less those billed or reserved. A
 * reservation covers the worst case of a request and is replaced by the actual bill when the response is complete.
 */
public final class Share {
    private static final long NOT_RESOLVED = -1;
    private static final double CALL_SMOOTHING = 0.1;

    /** A bill that is neither committed to the ledger nor accepted by a holder yet. */
    record PendingBill(long settleSeq, Consumer<Either<Failure, Void>> done) {}

    final String budget;
    final int partition;
    String shareId;
    long grantedTokens;
    long spentTokens;
    long reservedTokens;
    long requestSeq;
    long settleSeq;
    long committedSettleSeq;
    long heldSettleSeq;
    long settleSubmittedAtMillis;
    boolean requestInFlight;
    boolean settleInFlight;
    boolean retiring;
    long lastUsedAtMillis;
    long nextRequestAtMillis;
    long nextUrgentRequestAtMillis;
    long nextHandoverAtMillis;
    long nextSettleAtMillis;
    boolean urgentSettle;
    double demandTokensPerSecond;
    long demandSamples;

    /** The number of calls, in which earlier calls count less with each measurement. */
    double recentCalls;

    double meanCallTokens;

    /** The tokens requested since the last measurement of the demand. */
    long periodDemandTokens;

    /** Whether the last request was granted nothing, because the ledger allowed fewer tokens than its minimum. */
    boolean ledgerShort;

    boolean wantedElsewhere;

    /** Whether the router is giving the share back and requests tokens for it only while calls are waiting. */
    boolean released;

    boolean hasLedgerState;
    long unspentTokens;
    long forfeitedTokens;
    long budgetLimitTokens;
    long horizonMillis;
    long fleetDemandTokensPerSecond;
    long reportedDemandTokensPerSecond;
    long nextNoticeAtMillis;

    @Nullable
    Failure lastFailure;

    /** The total that bills and reservations may reach at the moment; the whole grant if no bound is valid. */
    long spendingLimitTokens;

    /** Whether a ledger that is being restored has not confirmed the last report of this share. */
    boolean reportPending;

    /** The sequence number of the settlement that the last report contains. */
    long reportedSettleSeq;

    /** The spending bound that was stated with the last report and is in force once the restoration has ended. */
    SpendingBound reportedBound = SpendingBound.getDefaultInstance();

    /** No settlement is sent before this time. */
    long settleRetryAtMillis;

    /** The total that bills and reservations may reach until that report is confirmed. */
    long pledgedTokens;

    /** The steady-clock time until which the share may be spent unless the ledger confirms another change. */
    long spendableUntilMillis = Long.MAX_VALUE;

    final SpendingBounds bounds = new SpendingBounds();
    final List<String> holders = new ArrayList<>();
    final Deque<PendingBill> bills = new ArrayDeque<>();
    final WaitingCalls waitingCalls = new WaitingCalls();

    private long lastKeyedSeq;
    private long resolvedKeyedSeq;

    /** The sum of the keyed bills up to {@link #resolvedKeyedSeq}, which the next settlement reports. */
    private long resolvedKeyedTokens;

    /** The sum of all resolved keyed bills, including those above {@link #resolvedKeyedSeq}. */
    private long resolvedKeyedTotal;

    /** The tokens of resolved keyed bills above {@link #resolvedKeyedSeq}, by sequence number. */
    private final Long2LongHashMap resolvedOutOfOrder = new Long2LongHashMap(NOT_RESOLVED);

    Share(String budget, int partition, String shareId) {
        this.budget = budget;
        this.partition = partition;
        this.shareId = shareId;
    }

    /** Returns the name of the budget that the share is a part of. */
    public String budget() {
        return budget;
    }

    /** Returns the id of the share in the ledger. */
    public String shareId() {
        return shareId;
    }

    /** Returns the tokens that a new request may reserve. */
    public long availableTokens() {
        return spendingLimitTokens - usedTokens();
    }

    /** Returns the granted tokens that are neither billed nor reserved. */
    public long unusedTokens() {
        return grantedTokens - usedTokens();
    }

    /** Returns the tokens that are billed or reserved. */
    long usedTokens() {
        return spentTokens + resolvedKeyedTotal + reservedTokens;
    }

    void refreshLimit(long nowMillis) {
        spendingLimitTokens = bounds.limitTokens(grantedTokens, nowMillis);
        if (reportPending) {
            spendingLimitTokens = Math.min(spendingLimitTokens, pledgedTokens);
        }
        if (nowMillis >= spendableUntilMillis) {
            spendingLimitTokens = Math.min(spendingLimitTokens, usedTokens());
        }
    }

    /**
     * Returns the state of this share for a ledger that the store may have lost. Results of changes that were sent before have
     * lower sequence numbers and are ignored from now on, by this router and by the ledger.
     *
     * @param bound the spending bound that is stated with the report
     * @param pledged the total that bills and reservations may reach until the report is confirmed
     */
    ShareReport report(ShareSystem.Identity identity, SpendingBound bound, long pledged) {
        requestSeq++;
        settleSeq++;
        requestInFlight = false;
        settleInFlight = false;
        retiring = false;
        reportPending = true;
        reportedSettleSeq = settleSeq;
        reportedBound = bound;
        pledgedTokens = pledged;
        ShareState state = ShareState.newBuilder()
                .setShareId(shareId)
                .setIncarnation(identity.incarnation())
                .setVm(identity.vm())
                .setGrantedTokens(grantedTokens)
                .setSpentTokens(spentTokens)
                .setSettleSeq(settleSeq)
                .setRequestSeq(requestSeq)
                .setKeyedSpentTokens(resolvedKeyedTokens)
                .setKeyedSeq(resolvedKeyedSeq)
                .setDemandTokensPerSecond((long) demandTokensPerSecond)
                .setBound(bound)
                .build();
        return ShareReport.newBuilder()
                .setBudget(budget)
                .setShare(state)
                .setPledgedTokens(pledged)
                .build();
    }

    /**
     * Records that the ledger has confirmed a report of this share. Does nothing if another change was sent since.
     *
     * @param confirmed the share in the ledger; missing while the ledger is being restored
     */
    void onReportConfirmed(ShareReport report, Optional<ShareState> confirmed) {
        if (!shareId.equals(report.getShare().getShareId())
                || requestSeq != report.getShare().getRequestSeq()) {
            return;
        }
        reportPending = false;
        ledgerShort = false;
        confirmed.ifPresent(state -> {
            grantedTokens = Math.min(grantedTokens, state.getGrantedTokens());
            bounds.onCommitted(report.getShare().getBound(), state.getBound());
        });
    }

    /** Stores the state of the account that a result of the ledger reports. */
    void updateAccount(LedgerResult result) {
        hasLedgerState = true;
        horizonMillis = result.getHorizonMillis();
        unspentTokens = result.getUnspentTokens();
        forfeitedTokens = result.getForfeitedTokens();
        budgetLimitTokens = result.getLimitTokens();
        fleetDemandTokensPerSecond = result.getDemandTokensPerSecond();
        wantedElsewhere = result.getWantedElsewhere();
    }

    /**
     * Records that the ledger committed a change that carried a bound. Does nothing if the share has been restarted under
     * another id since the change was sent.
     */
    void onBoundCommitted(String requestedShareId, SpendingBound sent, LedgerResult result) {
        if (shareId.equals(requestedShareId) && result.hasShare()) {
            SpendingBound inForce = result.getShare().getBound();
            bounds.onCommitted(sent, inForce);
            if (inForce.getAtMillis() >= reportedBound.getAtMillis()) {
                // The result of the report did not show its bound, which a later one has replaced.
                bounds.onCommitted(reportedBound, inForce);
            }
        }
    }

    /** Returns whether the ledger has returned a result for this share since it was created or restarted. */
    public boolean hasLedgerState() {
        return hasLedgerState;
    }

    /** Returns the tokens granted by the ledger and not given back. */
    public long grantedTokens() {
        return grantedTokens;
    }

    /** Returns the tokens billed so far. */
    public long billedTokens() {
        return spentTokens + resolvedKeyedTotal;
    }

    /** Returns the tokens reserved for requests in progress. */
    public long reservedTokens() {
        return reservedTokens;
    }

    /** Returns the demand of all routers in tokens per second, as the ledger last reported it. */
    public long fleetDemandTokensPerSecond() {
        return fleetDemandTokensPerSecond;
    }

    /** Returns the tokens held by shares of processes that have ended, as the ledger last reported them. */
    public long forfeitedTokens() {
        return forfeitedTokens;
    }

    /** Returns the demand measured by this router, in tokens per second. */
    public double demandTokensPerSecond() {
        return demandTokensPerSecond;
    }

    void recordCall(long tokens) {
        recentCalls++;
        meanCallTokens = meanCallTokens == 0 ? tokens : meanCallTokens + CALL_SMOOTHING * (tokens - meanCallTokens);
    }

    /** Cancels a release of the share, because the router needs it again. */
    void resume() {
        if (released) {
            released = false;
            urgentSettle = false;
        }
    }

    boolean tryReserve(long tokens) {
        if (retiring || availableTokens() < tokens) {
            return false;
        }
        reservedTokens += tokens;
        periodDemandTokens += tokens;
        return true;
    }

    void cancelReservation(long tokens) {
        reservedTokens -= tokens;
        periodDemandTokens = Math.max(0, periodDemandTokens - tokens);
    }

    /**
     * Replaces a reservation by a bill. The consumer is called once the ledger or a holder has the bill, or the share is
     * lost.
     */
    void bill(long reserved, long tokens, Consumer<Either<Failure, Void>> done) {
        replaceReservation(reserved, tokens);
        spentTokens += tokens;
        settleSeq++;
        bills.add(new PendingBill(settleSeq, done));
    }

    private void replaceReservation(long reserved, long tokens) {
        reservedTokens -= reserved;
        periodDemandTokens = Math.max(0, periodDemandTokens - (reserved - tokens));
    }

    /** Assigns a sequence number to a bill that will be committed by a journal, and returns it. */
    long openKeyedBill() {
        lastKeyedSeq++;
        return lastKeyedSeq;
    }

    /**
     * Completes a bill that was opened by {@link #openKeyedBill}.
     *
     * @param reserved the tokens of its reservation
     * @param tokens the billed tokens if a journal committed the bill, 0 if it is void
     */
    void resolveKeyedBill(long keyedSeq, long reserved, long tokens) {
        replaceReservation(reserved, tokens);
        resolvedKeyedTotal += tokens;
        resolvedOutOfOrder.put(keyedSeq, tokens);
        boolean prefixAdvanced = false;
        while (resolvedOutOfOrder.containsKey(resolvedKeyedSeq + 1)) {
            resolvedKeyedSeq++;
            resolvedKeyedTokens += resolvedOutOfOrder.remove(resolvedKeyedSeq);
            prefixAdvanced = true;
        }
        if (prefixAdvanced) {
            settleSeq++;
        }
    }

    Ledger.Settlement settlement() {
        return settlement(SpendingBound.getDefaultInstance());
    }

    Ledger.Settlement settlement(SpendingBound bound) {
        return new Ledger.Settlement(shareId, settleSeq, spentTokens, resolvedKeyedSeq, resolvedKeyedTokens, bound);
    }

    /** Returns whether the ledger has every bill and no bill or reservation is open. */
    boolean settled() {
        return committedSettleSeq == settleSeq && resolvedKeyedSeq == lastKeyedSeq && reservedTokens == 0;
    }

    /**
     * Restarts the share empty under a new id after the ledger closed it. Reservations in progress become void.
     *
     * @return the bills that were neither committed nor held, and are lost
     */
    List<PendingBill> restart(String newShareId) {
        List<PendingBill> lostBills = new ArrayList<>(bills);
        bills.clear();
        holders.clear();
        resolvedOutOfOrder.clear();
        shareId = newShareId;
        bounds.clear();
        grantedTokens = 0;
        spendingLimitTokens = 0;
        spentTokens = 0;
        reservedTokens = 0;
        requestSeq = 0;
        settleSeq = 0;
        committedSettleSeq = 0;
        heldSettleSeq = 0;
        lastKeyedSeq = 0;
        resolvedKeyedSeq = 0;
        resolvedKeyedTokens = 0;
        resolvedKeyedTotal = 0;
        requestInFlight = false;
        settleInFlight = false;
        hasLedgerState = false;
        retiring = false;
        reportPending = false;
        reportedSettleSeq = 0;
        spendableUntilMillis = Long.MAX_VALUE;
        return lostBills;
    }
}
