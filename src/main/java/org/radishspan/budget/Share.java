package org.radishspan.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.agrona.collections.Long2LongHashMap;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.Failure;
import org.radishspan.proto.LedgerResult;
import org.radishspan.proto.SpendingBound;

/**
 * One row of the {@link ShareTable}: the part of a budget that this router may spend.
 *
 * <p>Available tokens are granted ones less those billed or reserved. A reservation covers the worst case of a request
 * and is replaced by the actual bill when the answer is complete.
 */
public final class Share {
    private static final long NOT_RESOLVED = -1;
    private static final double CALL_SMOOTHING = 0.1;

    /** A bill that waits until the ledger, or a holder, has it. */
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
    long usedAtMillis;
    long nextRequestAtMillis;
    long nextUrgentAtMillis;
    long nextHandoverAtMillis;
    long nextSettleAtMillis;
    boolean urgentSettle;
    double demandTokensPerSecond;
    long demandSeconds;
    double callsSeen;
    double typicalCallTokens;
    long demandTokens;
    boolean exhausted;
    boolean wantedElsewhere;

    /** Whether the router gives the share back and asks for nothing more of it. */
    boolean released;

    boolean accountSeen;
    long unspentTokens;
    long forfeitedTokens;
    long budgetLimitTokens;
    long horizonMillis;
    long fleetDemandTokensPerSecond;
    long reportedDemandTokensPerSecond;
    long nextNoticeAtMillis;

    @Nullable
    Failure lastFailure;

    /** What bills and reservations together may reach at the moment; the whole grant where no bound is stated. */
    long limitTokens;

    final SpendingBounds bounds = new SpendingBounds();
    final List<String> holders = new ArrayList<>();
    final Deque<PendingBill> bills = new ArrayDeque<>();
    final WaitingCalls waiters = new WaitingCalls();

    private long lastKeyedSeq;
    private long resolvedKeyedSeq;
    private long resolvedKeyedTokens;
    private long committedKeyedTokens;
    private final Long2LongHashMap resolvedOutOfOrder = new Long2LongHashMap(NOT_RESOLVED);

    Share(String budget, int partition, String shareId) {
        this.budget = budget;
        this.partition = partition;
        this.shareId = shareId;
    }

    /** Returns the budget that the share is a part of. */
    public String budget() {
        return budget;
    }

    /** Returns the id under which the ledger knows the share. */
    public String shareId() {
        return shareId;
    }

    /** Returns the tokens that a new request may reserve. */
    public long availableTokens() {
        return limitTokens - usedTokens();
    }

    /** Returns the granted tokens that no bill and no reservation uses. */
    public long unusedTokens() {
        return grantedTokens - usedTokens();
    }

    /** Returns the tokens billed or reserved. */
    long usedTokens() {
        return spentTokens + committedKeyedTokens + reservedTokens;
    }

    void refreshLimit(long nowMillis) {
        limitTokens = bounds.limitTokens(grantedTokens, nowMillis);
    }

    /** Takes over what the ledger told of the account. */
    void observe(LedgerResult result) {
        accountSeen = true;
        horizonMillis = result.getHorizonMillis();
        unspentTokens = result.getUnspentTokens();
        forfeitedTokens = result.getForfeitedTokens();
        budgetLimitTokens = result.getLimitTokens();
        fleetDemandTokensPerSecond = result.getDemandTokensPerSecond();
        wantedElsewhere = result.getWantedElsewhere();
    }

    /** Notes that a change which carried a bound was committed. */
    void noteBound(String askedFor, SpendingBound sent, LedgerResult result) {
        if (shareId.equals(askedFor) && result.hasShare()) {
            bounds.onCommitted(sent, result.getShare().getBound());
        }
    }

    /** Returns whether the ledger has answered for this share since it was made. */
    public boolean accountSeen() {
        return accountSeen;
    }

    /** Returns the tokens granted. */
    public long grantedTokens() {
        return grantedTokens;
    }

    /** Returns the tokens billed. */
    public long billedTokens() {
        return spentTokens + committedKeyedTokens;
    }

    /** Returns the tokens reserved for requests in progress. */
    public long reservedTokens() {
        return reservedTokens;
    }

    /** Returns the demand of all routers, as the ledger last told. */
    public long fleetDemandTokensPerSecond() {
        return fleetDemandTokensPerSecond;
    }

    /** Returns the tokens that shares of ended processes hold, as the ledger last told. */
    public long forfeitedTokens() {
        return forfeitedTokens;
    }

    /** Returns the measured demand. */
    public double demandTokensPerSecond() {
        return demandTokensPerSecond;
    }

    void noteCall(long tokens) {
        callsSeen++;
        typicalCallTokens =
                typicalCallTokens == 0 ? tokens : typicalCallTokens + CALL_SMOOTHING * (tokens - typicalCallTokens);
    }

    /** Notes that the share is held again, after it was to be given back. */
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
        demandTokens += tokens;
        return true;
    }

    void cancelReservation(long tokens) {
        reservedTokens -= tokens;
        demandTokens = Math.max(0, demandTokens - tokens);
    }

    /** Replaces a reservation by a bill; the consumer is told once the bill is safe. */
    void bill(long reserved, long tokens, Consumer<Either<Failure, Void>> done) {
        replaceReservation(reserved, tokens);
        spentTokens += tokens;
        settleSeq++;
        bills.add(new PendingBill(settleSeq, done));
    }

    private void replaceReservation(long reserved, long tokens) {
        reservedTokens -= reserved;
        demandTokens = Math.max(0, demandTokens - (reserved - tokens));
    }

    /** Returns the number of the next bill that is committed by a journal. */
    long openKeyedBill() {
        lastKeyedSeq++;
        return lastKeyedSeq;
    }

    /** Says what became of a keyed bill: its tokens if a journal committed it, 0 if it is void. */
    void resolveKeyedBill(long keyedSeq, long reserved, long tokens) {
        replaceReservation(reserved, tokens);
        committedKeyedTokens += tokens;
        resolvedOutOfOrder.put(keyedSeq, tokens);
        boolean advanced = false;
        while (resolvedOutOfOrder.containsKey(resolvedKeyedSeq + 1)) {
            resolvedKeyedSeq++;
            resolvedKeyedTokens += resolvedOutOfOrder.remove(resolvedKeyedSeq);
            advanced = true;
        }
        if (advanced) {
            settleSeq++;
        }
    }

    Ledger.Settlement settlement() {
        return settlement(SpendingBound.getDefaultInstance());
    }

    Ledger.Settlement settlement(SpendingBound bound) {
        return new Ledger.Settlement(shareId, settleSeq, spentTokens, resolvedKeyedSeq, resolvedKeyedTokens, bound);
    }

    /** Returns whether every bill is in the ledger and none is open. */
    boolean settled() {
        return committedSettleSeq == settleSeq && resolvedKeyedSeq == lastKeyedSeq && reservedTokens == 0;
    }

    /** Starts again under a new id after the ledger closed the share; reservations in progress are void. */
    List<PendingBill> restart(String newShareId) {
        List<PendingBill> lost = new ArrayList<>(bills);
        bills.clear();
        holders.clear();
        resolvedOutOfOrder.clear();
        shareId = newShareId;
        bounds.clear();
        grantedTokens = 0;
        limitTokens = 0;
        spentTokens = 0;
        reservedTokens = 0;
        requestSeq = 0;
        settleSeq = 0;
        committedSettleSeq = 0;
        heldSettleSeq = 0;
        lastKeyedSeq = 0;
        resolvedKeyedSeq = 0;
        resolvedKeyedTokens = 0;
        committedKeyedTokens = 0;
        requestInFlight = false;
        settleInFlight = false;
        accountSeen = false;
        retiring = false;
        return lost;
    }
}
