package org.radishspan.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.LedgerResult;

/**
 * Takes, spends, settles and gives back shares of budgets.
 *
 * <p>Safety rests on the ledger alone: tokens are spent only from a grant that is known to be committed, and counted as
 * given back before the ledger is asked to take them. What this class decides is how much to hold, when to ask, and when
 * a request has waited long enough.
 */
public final class ShareSystem {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Tells peers that a share is short of tokens. */
    @FunctionalInterface
    public interface ShortageNotice {
        /** Announces that {@code tokens} more are wanted for the share. */
        void announce(String budget, String shareId, long tokens);
    }

    /** Hands the running totals of a share to one of its holders. */
    @FunctionalInterface
    public interface BillHandover {
        /** Sends the totals; the consumer is told whether the holder keeps them. */
        void send(String holder, String budget, Ledger.Settlement settlement, Consumer<Boolean> accepted);
    }

    /** Chooses the routers that may hold unposted bills, best first. */
    @FunctionalInterface
    public interface HolderChoice {
        /** Returns up to {@code count} router processes, none of them this one. */
        List<String> choose(int count);
    }

    /**
     * Who this router is.
     *
     * @param vm the VM's name
     * @param incarnation the id of this process, new with each start
     */
    public record Identity(String vm, String incarnation) {}

    private static final long RATE_PERIOD_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double EXCESS_FACTOR = 1.25;

    /** A ledger that has not answered for so long is taken for unreachable: it answers in some ten milliseconds. */
    private static final long LEDGER_SILENT_MILLIS = 500;

    /** How long calls wait for tokens while the ledger is unreachable; other calls may end and free some. */
    private static final long SILENT_WAIT_MILLIS = 100;

    /** When a share that was not filled up asks again, unless calls wait. */
    private static final long FILL_RETRY_MILLIS = 1_000;

    private static final double CALL_SMOOTHING = 0.05;

    private final Identity identity;
    private final LedgerGateway ledgers;
    private final ShareTable table = new ShareTable();
    private final ShortageNotice shortage;
    private final BillFlow bills;
    private final HolderChoice holderChoice;
    private final ShareCounters counters = new ShareCounters();
    private SharePolicy policy;
    private SharePolicy.Tuning tuning = SharePolicy.Tuning.USUAL;
    private IntSupplier routerCount = () -> 1;
    private long shareCount;
    private double typicalCallTokens;
    private double squaredCallTokens;
    private long askedAtMillis;
    private long rateAtMillis;
    private long nowMillis;

    /** Creates the system. */
    public ShareSystem(
            Identity identity,
            LedgerGateway ledgers,
            SharePolicy policy,
            ShortageNotice shortage,
            BillHandover handover,
            HolderChoice holderChoice) {
        this.identity = identity;
        this.ledgers = ledgers;
        this.policy = policy;
        this.shortage = shortage;
        this.bills = new BillFlow(ledgers, handover, counters, this::lose);
        this.holderChoice = holderChoice;
    }

    /**
     * Uses other finer knobs than the usual ones.
     *
     * @param routers how many routers share a budget
     */
    public void useTuning(SharePolicy.Tuning newTuning, IntSupplier routers) {
        tuning = newTuning;
        routerCount = routers;
    }

    /** Holds a share of a budget from now on, before the first call that needs it. */
    public void prepare(String budget) {
        Share share = table.getOrCreate(budget, this::newShare);
        if (share.usedAtMillis == 0) {
            share.usedAtMillis = nowMillis;
        }
    }

    /** Returns the unspent tokens of a budget in the whole fleet, as the ledger last told; empty if it did not yet. */
    public OptionalLong unspentTokens(String budget) {
        Share share = table.get(budget);
        return share == null || !share.accountSeen ? OptionalLong.empty() : OptionalLong.of(share.unspentTokens);
    }

    /** Returns the shares. */
    public ShareTable table() {
        return table;
    }

    /** Returns the counts. */
    public ShareCounters counters() {
        return counters;
    }

    /** Puts another policy in force. */
    public void usePolicy(SharePolicy newPolicy) {
        policy = newPolicy;
    }

    /** Returns the policy in force. */
    public SharePolicy policy() {
        return policy;
    }

    /** Reserves tokens now or as soon as the share has them; refused when none came in time. */
    public void reserve(String budget, long tokens, Consumer<Either<Failure, Reservation>> done) {
        Share share = table.getOrCreate(budget, this::newShare);
        share.usedAtMillis = nowMillis;
        share.noteCall(tokens);
        typicalCallTokens =
                typicalCallTokens == 0 ? tokens : typicalCallTokens + CALL_SMOOTHING * (tokens - typicalCallTokens);
        double square = (double) tokens * tokens;
        squaredCallTokens =
                squaredCallTokens == 0 ? square : squaredCallTokens + CALL_SMOOTHING * (square - squaredCallTokens);
        if (share.waiters.isEmpty() && share.tryReserve(tokens)) {
            done.accept(Either.right(new Reservation(budget, share.shareId, tokens)));
            return;
        }
        share.waiters.add(new Share.Waiter(
                tokens,
                nowMillis + (ledgerSilentMillis() > 0 ? SILENT_WAIT_MILLIS : policy.waitMillis()),
                result -> done.accept(result.map(ok -> new Reservation(budget, share.shareId, tokens)))));
    }

    /** Returns for how long the ledger has left a request without an answer; 0 if it answers as usual. */
    public long ledgerSilentMillis() {
        long millis = askedAtMillis > 0 ? nowMillis - askedAtMillis : 0;
        return millis >= LEDGER_SILENT_MILLIS ? millis : 0;
    }

    /** Frees a reservation of a request that is not billed. */
    public void cancel(Reservation reservation) {
        current(reservation).ifPresent(share -> share.cancelReservation(reservation.tokens()));
    }

    /** Bills a request; the consumer is told once the bill is safe, or why it never will be. */
    public void bill(Reservation reservation, long tokens, Consumer<Either<Failure, Void>> done) {
        Optional<Share> share = current(reservation);
        if (share.isEmpty()) {
            done.accept(Either.left(shareLost(reservation.shareId())));
            return;
        }
        share.get().bill(reservation.tokens(), Math.min(tokens, reservation.tokens()), done);
    }

    /** Opens a bill that a journal will commit; empty if the share is lost. */
    public Optional<Long> openKeyedBill(Reservation reservation) {
        return current(reservation).map(Share::openKeyedBill);
    }

    /** Closes a bill opened by {@link #openKeyedBill}: with its tokens if the journal has it, else with 0. */
    public void resolveKeyedBill(Reservation reservation, long keyedSeq, long tokens) {
        current(reservation).ifPresent(share -> share.resolveKeyedBill(keyedSeq, reservation.tokens(), tokens));
    }

    private Optional<Share> current(Reservation reservation) {
        Share share = table.get(reservation.budget());
        if (share == null || !share.shareId.equals(reservation.shareId())) {
            return Optional.empty();
        }
        return Optional.of(share);
    }

    private Share newShare(String budget) {
        return new Share(budget, ledgers.partitionOf(budget), nextShareId());
    }

    private String nextShareId() {
        shareCount++;
        return identity.incarnation() + "." + shareCount;
    }

    /** Runs over all shares. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        bills.startTick(tickMillis, policy, tuning);
        boolean measure = tickMillis - rateAtMillis >= RATE_PERIOD_MILLIS;
        for (Share share : List.copyOf(table.rows())) {
            if (measure) {
                measureDemand(share, tickMillis - rateAtMillis);
            }
            serveWaiters(share);
            bills.settle(share);
            bills.handOver(share);
            adjust(share);
        }
        if (measure) {
            rateAtMillis = tickMillis;
        }
    }

    private void measureDemand(Share share, long elapsedMillis) {
        if (elapsedMillis > RATE_PERIOD_MILLIS * 2) {
            share.demandTokens = 0;
            return;
        }
        double rate = share.demandTokens * MILLIS_PER_SECOND / elapsedMillis;
        share.demandSeconds++;
        double weight = Math.max(tuning.demandSmoothing(), 1.0 / share.demandSeconds);
        share.demandTokensPerSecond += weight * (rate - share.demandTokensPerSecond);
        share.callsSeen *= 1 - tuning.demandSmoothing();
        share.demandTokens = 0;
    }

    private void serveWaiters(Share share) {
        while (!share.waiters.isEmpty()) {
            Share.Waiter waiter = share.waiters.peek();
            if (share.tryReserve(waiter.tokens())) {
                share.waiters.remove();
                waiter.done().accept(Either.right(null));
                continue;
            }
            if (nowMillis < waiter.deadlineMillis() && share.lastFailure == null) {
                return;
            }
            share.waiters.remove();
            counters.refused++;
            LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                    "refused a call for want of tokens of budget %s; %d refused so far",
                    share.budget, counters.refused);
            waiter.done().accept(Either.left(refusal(share)));
        }
        share.lastFailure = null;
    }

    private Failure refusal(Share share) {
        if (share.lastFailure != null) {
            return share.lastFailure;
        }
        if (share.exhausted) {
            return Failure.notRun(ErrorKind.BUDGET_EXHAUSTED, "budget " + share.budget + " has too few unspent tokens")
                    .retryAfter(policy.waitMillis());
        }
        return Failure.notRun(
                        ErrorKind.PLATFORM_UNAVAILABLE,
                        "the share of budget " + share.budget + " is used up and the ledger does not answer")
                .retryAfter(policy.waitMillis());
    }

    /** Returns what the share should have available: the demand of the horizon, within its fair part of what is left. */
    private long targetTokens(Share share) {
        long horizonMillis = share.horizonMillis > 0 ? share.horizonMillis : policy.horizonMillis();
        double demand = expectedDemand(share) * horizonMillis / MILLIS_PER_SECOND;
        double deviation = Math.sqrt(demand * sizeBiasedCallTokens());
        double spare = tuning.callsHeld() * usualCallTokens(share) + tuning.safetyFactor() * deviation;
        long few = Math.max(policy.minimumGrantTokens(), (long) spare);
        long wanted = (long) demand + few;
        if (!share.accountSeen) {
            return wanted;
        }
        double others = Math.max(0, share.fleetDemandTokensPerSecond - share.reportedDemandTokensPerSecond);
        double own = expectedDemand(share);
        double part = (own + 1) / (share.demandTokensPerSecond + others + 1);
        long fair = (long) (heldTokens(share) * part) - share.reservedTokens;
        return Math.max(startTokens(share), Math.max(0, Math.min(wanted, fair)));
    }

    /** Returns the unspent tokens of the whole fleet without those that ended processes took with them. */
    private static long spendableTokens(Share share) {
        return Math.max(0, share.unspentTokens - share.forfeitedTokens);
    }

    /** Returns what all shares together aim at. */
    private double heldTokens(Share share) {
        long spendable = spendableTokens(share);
        if (tuning.reserveFraction() == 0) {
            return spendable * policy.heldFraction();
        }
        return spendable
                - GrantRule.reserveTokens(
                        spendable, share.fleetDemandTokensPerSecond, tuning.reserveFraction(), tuning.reserveMillis());
    }

    /** Returns a router's demand, drawn towards the mean of all routers. */
    private double expectedDemand(Share share) {
        double priorCalls = share.accountSeen ? tuning.priorCalls() : 0;
        double shrinkage = priorCalls == 0 ? 0 : priorCalls / (priorCalls + share.callsSeen);
        double others = Math.max(0, share.fleetDemandTokensPerSecond - share.reportedDemandTokensPerSecond);
        double mean = (share.demandTokensPerSecond + others) / Math.max(1, routerCount.getAsInt());
        return shrinkage * mean + (1 - shrinkage) * share.demandTokensPerSecond;
    }

    /** Returns by how much a call usually changes a sum of calls: the mean square over the mean. */
    private double sizeBiasedCallTokens() {
        return typicalCallTokens == 0 ? 0 : squaredCallTokens / typicalCallTokens;
    }

    /** Returns the usual size of a call; that of all budgets where this one has had smaller calls or none. */
    private double usualCallTokens(Share share) {
        boolean prepared = tuning.startFraction() > 0;
        return prepared ? Math.max(share.typicalCallTokens, typicalCallTokens) : share.typicalCallTokens;
    }

    /** Returns what a share has before demand is measured: an equal part for each router. */
    private long startTokens(Share share) {
        boolean measured = share.demandSeconds * RATE_PERIOD_MILLIS >= policy.horizonMillis();
        if (measured) {
            return 0;
        }
        double part = tuning.startFraction() / Math.max(1, routerCount.getAsInt());
        return (long) (spendableTokens(share) * part) - share.reservedTokens;
    }

    private void adjust(Share share) {
        boolean due = nowMillis >= share.nextRequestAtMillis
                || !share.waiters.isEmpty() && nowMillis >= share.nextUrgentAtMillis;
        if (share.requestInFlight || !due) {
            return;
        }
        if (nowMillis - share.usedAtMillis >= tuning.idleMillis() && share.settled() && share.waiters.isEmpty()) {
            retire(share);
            return;
        }
        long waiting = waitingTokens(share);
        long available = share.availableTokens();
        long target = targetTokens(share);
        if (waiting > available) {
            // What fills the share up is asked for apart where the ledger keeps a reserve for calls that wait.
            long fill = tuning.reserveFraction() > 0 ? 0 : target;
            requestGrant(share, waiting - available + fill, shortestNeed(share) - available);
            return;
        }
        boolean wanted = share.demandTokensPerSecond >= 1 || tuning.startFraction() > 0;
        if (available < (long) (target * tuning.lowWaterFraction()) && wanted) {
            requestGrant(share, target - available, 0);
            return;
        }
        double slack = tuning.callsHeld() * usualCallTokens(share);
        double keep = share.wantedElsewhere ? target : target * EXCESS_FACTOR + slack;
        if (available > (long) keep) {
            giveBack(share, available - target);
        }
    }

    private static long waitingTokens(Share share) {
        long total = 0;
        for (Share.Waiter waiter : share.waiters) {
            total += waiter.tokens();
        }
        return total;
    }

    private static long shortestNeed(Share share) {
        Share.Waiter first = share.waiters.peek();
        return first == null ? 0 : first.tokens();
    }

    private void requestGrant(Share share, long tokens, long minimumTokens) {
        share.requestInFlight = true;
        share.requestSeq++;
        share.nextRequestAtMillis = nowMillis + policy.retryMillis();
        share.nextUrgentAtMillis = share.nextRequestAtMillis;
        String askedFor = share.shareId;
        List<String> holders = holdersToRecord(share);
        Ledger.GrantRequest request = new Ledger.GrantRequest(
                askedFor,
                identity.incarnation(),
                identity.vm(),
                share.requestSeq,
                tokens,
                minimumTokens,
                reportDemand(share),
                holders);
        counters.grantRequests++;
        noteAsked();
        ledgers.submit(
                share.partition,
                LedgerOps.grant(share.budget, request, policy.freeFraction(), tuning),
                result -> onRequestDone(share, askedFor, minimumTokens, holders, result));
    }

    private void noteAsked() {
        if (askedAtMillis == 0) {
            askedAtMillis = nowMillis;
        }
    }

    private static long reportDemand(Share share) {
        share.reportedDemandTokensPerSecond = (long) share.demandTokensPerSecond;
        return share.reportedDemandTokensPerSecond;
    }

    private List<String> holdersToRecord(Share share) {
        if (share.heldSettleSeq > share.committedSettleSeq) {
            return new ArrayList<>(share.holders);
        }
        List<String> chosen = holderChoice.choose(policy.holderCount());
        // A holder that the ledger is about to forget may not vouch for a bill any more.
        share.holders.retainAll(chosen);
        return chosen;
    }

    private void onRequestDone(
            Share share, String askedFor, long minimumTokens, List<String> holders, LedgerResult result) {
        if (!share.shareId.equals(askedFor)) {
            return;
        }
        share.requestInFlight = false;
        askedAtMillis = 0;
        Optional<Failure> failure = LedgerOps.failure(result);
        if (failure.isPresent()) {
            onRefused(share, failure.get());
            return;
        }
        if (!result.hasShare()) {
            lose(share);
            return;
        }
        boolean gained = result.getShare().getGrantedTokens() > share.grantedTokens;
        share.grantedTokens = result.getShare().getGrantedTokens();
        if (!gained && minimumTokens == 0) {
            // Nothing is left for shares that only fill up.
            share.nextRequestAtMillis = nowMillis + FILL_RETRY_MILLIS;
        }
        share.holders.clear();
        share.holders.addAll(holders);
        share.exhausted = result.getShare().getWantedTokens() > 0;
        if (share.exhausted) {
            onExhausted(share, minimumTokens);
        }
        observe(share, result);
        serveWaiters(share);
    }

    private void onExhausted(Share share, long minimumTokens) {
        counters.shortages++;
        if (nowMillis >= share.nextNoticeAtMillis) {
            share.nextNoticeAtMillis = nowMillis + tuning.noticeMillis();
            shortage.announce(share.budget, share.shareId, minimumTokens);
        }
    }

    static void observe(Share share, LedgerResult result) {
        share.accountSeen = true;
        share.horizonMillis = result.getHorizonMillis();
        share.unspentTokens = result.getUnspentTokens();
        share.forfeitedTokens = result.getForfeitedTokens();
        share.fleetDemandTokensPerSecond = result.getDemandTokensPerSecond();
        share.wantedElsewhere = result.getWantedElsewhere();
    }

    private void onRefused(Share share, Failure failure) {
        if (failure.kind() == ErrorKind.SHARE_LOST) {
            lose(share);
            return;
        }
        share.lastFailure = Failure.notRun(failure.kind(), failure.message());
    }

    private void lose(Share share) {
        counters.sharesLost++;
        String lostId = share.shareId;
        LOGGER.atWarning().log("share %s of budget %s was closed by another router", lostId, share.budget);
        for (Share.PendingBill bill : share.restart(nextShareId())) {
            bill.done().accept(Either.left(shareLost(lostId)));
        }
    }

    private static Failure shareLost(String shareId) {
        return Failure.ran(ErrorKind.SHARE_LOST, "share " + shareId + " was closed before the bill was committed");
    }

    private void giveBack(Share share, long tokens) {
        share.requestInFlight = true;
        share.requestSeq++;
        share.grantedTokens -= tokens;
        share.nextRequestAtMillis = nowMillis + policy.retryMillis();
        String askedFor = share.shareId;
        counters.giveBacks++;
        noteAsked();
        ledgers.submit(
                share.partition,
                LedgerOps.giveBack(share.budget, askedFor, share.requestSeq, tokens, reportDemand(share)),
                result -> onRequestDone(share, askedFor, 0, new ArrayList<>(share.holders), result));
    }

    /** Gives excess back because another router is short of tokens of the same budget. */
    public void onShortage(String budget, long tokens) {
        Share share = table.get(budget);
        if (share == null || share.requestInFlight) {
            return;
        }
        long spare = share.availableTokens() - waitingTokens(share);
        if (spare <= 0) {
            return;
        }
        long half = Math.max(spare / 2, Math.min(spare, tokens));
        giveBack(share, half);
    }

    /** Gives every share back whole; to be called again until {@link #retired}. */
    public void retire() {
        for (Share share : List.copyOf(table.rows())) {
            share.urgentSettle = true;
            if (share.settled() && !share.requestInFlight) {
                retire(share);
            }
        }
    }

    private void retire(Share share) {
        if (share.settleInFlight || share.retiring) {
            return;
        }
        share.retiring = true;
        share.requestInFlight = true;
        ledgers.submit(
                share.partition,
                LedgerOps.retire(share.budget, share.settlement()),
                result -> onRetired(share, share.shareId));
    }

    private void onRetired(Share share, String retiredId) {
        if (!share.shareId.equals(retiredId)) {
            return;
        }
        if (share.waiters.isEmpty()) {
            table.remove(share);
            return;
        }
        share.restart(nextShareId());
    }

    /** Returns whether no share is left. */
    public boolean retired() {
        return table.rows().isEmpty();
    }
}
