package org.radishspan.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.IntSupplier;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.LedgerResult;
import org.radishspan.proto.ShareReport;
import org.radishspan.proto.ShareState;
import org.radishspan.proto.SpendingBound;

/**
 * Manages the shares of budgets that this router holds: it obtains, spends, settles and gives back their tokens.
 *
 * <p>Only the ledger ensures that no limit is exceeded: tokens are spent only from a grant that is known to be committed,
 * and deducted from the share before the ledger is requested to take them back. This class reserves tokens and decides when
 * a waiting call is refused. {@link ShareSizing} decides how many tokens to hold, {@link GrantRequester} requests them from
 * the ledger, and {@link BillSettler} reports bills.
 */
public final class ShareSystem {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Notifies peers that a share has too few tokens. */
    @FunctionalInterface
    public interface ShortageNotifier {
        /** Announces that the share needs {@code tokens} more than the ledger could grant. */
        void announce(String budget, String shareId, long tokens);
    }

    /**
     * Hands the running totals of a share over to one of its holders. A holder is a router that keeps bills of another
     * router and posts them once the ledger is available.
     */
    @FunctionalInterface
    public interface BillHandover {
        /** Sends the totals; the consumer receives whether the holder accepted them. */
        void send(String holder, String budget, Ledger.Settlement settlement, Consumer<Boolean> accepted);
    }

    /** Chooses the routers that may hold unposted bills of this router, in order of preference. */
    @FunctionalInterface
    public interface HolderSelector {
        /** Returns the incarnations of up to {@code count} router processes, none of them this one. */
        List<String> choose(int count);
    }

    /**
     * Identifies this router process.
     *
     * @param vm the VM's name
     * @param incarnation the id of this process, which is new with each start
     * @param bootId the id of the current boot of the VM; 0 if it is not known
     */
    public record Identity(String vm, String incarnation, long bootId) {}

    private static final long RATE_PERIOD_MILLIS = 1_000;

    /**
     * A share that this router no longer needs to hold is kept until it has been unused for this time, because routers that
     * have not received the change yet still send calls here.
     */
    private static final long MIN_IDLE_BEFORE_RELEASE_MILLIS = 2_000;

    /**
     * How long calls wait for tokens while no router is known to reach the ledger, as other calls may end and free some.
     */
    private static final long LEDGER_UNAVAILABLE_WAIT_MILLIS = 100;

    /**
     * The longest wait for a ledger that does not answer although another router reaches it: the longest latency objective
     * of the callers. A change moves on to the next router within this time.
     */
    private static final long MAX_SILENT_WAIT_MILLIS = 2_000;

    /** The part of the time until its deadline that a call may wait for a ledger that does not answer. */
    private static final long SILENT_WAIT_DIVISOR = 4;

    private final Identity identity;
    private final LedgerGateway gateway;
    private final ShareTable table = new ShareTable();
    private final GrantRequester grantRequester;
    private final BillSettler billSettler;
    private final ShareCounters counters = new ShareCounters();
    private final ShareSizing sizing;
    private IntConsumer reportRequest = partition -> {};
    private long createdShares;
    private long lastMeasuredAtMillis;
    private long nowMillis;

    /** Creates the system. */
    public ShareSystem(
            Identity identity,
            LedgerGateway gateway,
            SharePolicy policy,
            ShortageNotifier shortageNotifier,
            BillHandover handover,
            HolderSelector holderSelector) {
        this.identity = identity;
        this.gateway = gateway;
        this.sizing = new ShareSizing(policy);
        this.grantRequester = new GrantRequester(
                identity, gateway, sizing, counters, shortageNotifier, holderSelector, new GrantListener());
        this.billSettler = new BillSettler(gateway, handover, counters, this::onShareLost, grantRequester::newBound);
    }

    /**
     * Replaces the default tuning.
     *
     * @param routers returns how many routers share a budget
     */
    public void useTuning(SharePolicy.Tuning newTuning, IntSupplier routers) {
        sizing.useTuning(newTuning, routers);
    }

    /** Creates the share of a budget before the first call needs it, or cancels its release. */
    public void prepare(String budget) {
        Share share = table.getOrCreate(budget, this::newShare);
        share.resume();
        if (share.lastUsedAtMillis == 0) {
            share.lastUsedAtMillis = nowMillis;
        }
    }

    /**
     * Starts to give back a share that this router no longer needs to hold, unless calls are waiting or used it recently.
     */
    public void release(String budget) {
        Share share = table.get(budget);
        if (share == null
                || !share.waitingCalls.isEmpty()
                || nowMillis - share.lastUsedAtMillis < MIN_IDLE_BEFORE_RELEASE_MILLIS) {
            return;
        }
        share.released = true;
        giveBackAll(share);
    }

    /** Retires a share, or gives its unused tokens back as long as it cannot be retired. */
    private void giveBackAll(Share share) {
        share.urgentSettle = true;
        if (share.requestInFlight || share.reportPending) {
            return;
        }
        if (share.settled()) {
            retire(share);
            return;
        }
        if (share.unusedTokens() > 0 && share.grantedTokens > 0) {
            grantRequester.giveBack(share, share.unusedTokens());
        }
    }

    /**
     * Returns the unspent tokens of a budget in the whole fleet, as the ledger last reported them; empty if it has not yet.
     */
    public OptionalLong unspentTokens(String budget) {
        Share share = table.get(budget);
        return share == null || !share.hasLedgerState ? OptionalLong.empty() : OptionalLong.of(share.unspentTokens);
    }

    /**
     * Returns whether the fleet has too few spendable tokens for a call until the budget is topped up, as the ledger last
     * reported them. Tokens that routers which have ended may have spent are not spendable.
     *
     * @param deferrable whether the call may not use the tokens that are reserved for urgent calls
     */
    public boolean needsTopUp(String budget, long tokens, boolean deferrable) {
        Share share = table.get(budget);
        return share != null
                && share.hasLedgerState
                && (sizing.exceedsSpendable(share, tokens) || isInUrgentReserve(share, tokens, deferrable));
    }

    /** Returns the tokens that this router holds of a budget; zeros if it has no share of it. */
    TokenSource.Holding holding(String budget) {
        Share share = table.get(budget);
        return share == null
                ? new TokenSource.Holding("", 0, 0, 0)
                : new TokenSource.Holding("", share.grantedTokens(), share.availableTokens(), share.reservedTokens());
    }

    /** Returns the shares of this router. */
    public ShareTable table() {
        return table;
    }

    /** Returns the event counters. */
    public ShareCounters counters() {
        return counters;
    }

    /** Replaces the policy. */
    public void usePolicy(SharePolicy newPolicy) {
        sizing.usePolicy(newPolicy);
    }

    /** Returns the policy in force. */
    public SharePolicy policy() {
        return sizing.policy();
    }

    /** Reserves tokens for an urgent call; see {@link #reserve(String, long, boolean, Consumer)}. */
    public void reserve(String budget, long tokens, Consumer<Either<Failure, Reservation>> done) {
        reserve(budget, tokens, false, done);
    }

    /**
     * Reserves tokens now or as soon as the share has them. The call is refused if the share does not receive them in time.
     *
     * @param deferrable whether the call may not use the tokens that are reserved for urgent calls
     * @param done receives the reservation or the reason for the refusal, possibly before this method returns
     */
    public void reserve(String budget, long tokens, boolean deferrable, Consumer<Either<Failure, Reservation>> done) {
        reserve(budget, tokens, deferrable, 0, done);
    }

    /**
     * Reserves tokens as above for a call with a deadline. While the ledger does not answer although some router reaches it,
     * the call waits longer than usual if its deadline allows that.
     *
     * @param remainingMillis the time until the deadline; 0 if it is not known
     */
    void reserve(
            String budget,
            long tokens,
            boolean deferrable,
            long remainingMillis,
            Consumer<Either<Failure, Reservation>> done) {
        Share share = table.getOrCreate(budget, this::newShare);
        sizing.recordCall(share, tokens);
        if (isInUrgentReserve(share, tokens, deferrable)) {
            counters.refused++;
            done.accept(Either.left(urgentReserveRefusal(budget)));
            return;
        }
        if (tryReserve(share, tokens, deferrable)) {
            done.accept(Either.right(new Reservation(budget, share.shareId, tokens)));
            return;
        }
        share.waitingCalls.add(new WaitingCalls.Call(
                tokens,
                deferrable,
                nowMillis + waitMillis(share, tokens, remainingMillis),
                result -> done.accept(result.map(ignored -> new Reservation(budget, share.shareId, tokens)))));
    }

    /**
     * Reserves tokens that the share has available now, without waiting for a grant of the ledger.
     *
     * @param deferrable whether the call may not use the tokens that are reserved for urgent calls
     * @return the reservation, or a failure if this router has no share of the budget or too few tokens are available
     */
    public Either<Failure, Reservation> reserveNow(String budget, long tokens, boolean deferrable) {
        Share share = table.get(budget);
        if (share == null) {
            return Either.left(
                    Failure.notRun(ErrorKind.PLATFORM_UNAVAILABLE, "this router holds no share of budget " + budget));
        }
        if (isInUrgentReserve(share, tokens, deferrable)) {
            return Either.left(urgentReserveRefusal(budget));
        }
        if (tryReserve(share, tokens, deferrable)) {
            sizing.recordCall(share, tokens);
            return Either.right(new Reservation(budget, share.shareId, tokens));
        }
        return Either.left(refusal(share));
    }

    private boolean isInUrgentReserve(Share share, long tokens, boolean deferrable) {
        return deferrable && sizing.isInUrgentReserve(share, tokens);
    }

    private Failure urgentReserveRefusal(String budget) {
        return Failure.notRun(
                        ErrorKind.BUDGET_EXHAUSTED,
                        "the remaining tokens of budget " + budget + " are reserved for urgent calls")
                .retryAfter(sizing.policy().waitMillis());
    }

    private boolean tryReserve(Share share, long tokens, boolean deferrable) {
        share.lastUsedAtMillis = nowMillis;
        share.resume();
        share.refreshLimit(nowMillis);
        return share.waitingCalls.wouldBeFirst(deferrable) && share.tryReserve(tokens);
    }

    /** Returns the failure with which a router refuses calls while it is draining. */
    static Failure stopping(String budget) {
        return Failure.notRun(
                ErrorKind.DRAINING, "the router that holds the share of budget " + budget + " is stopping");
    }

    private long waitMillis(Share share, long tokens, long remainingMillis) {
        long defaultMillis = sizing.policy().waitMillis();
        if (ledgerUnansweredMillis() == 0) {
            return defaultMillis;
        }
        if (gateway.ledgerReachable(share.partition)) {
            long allowedMillis = Math.min(MAX_SILENT_WAIT_MILLIS, remainingMillis / SILENT_WAIT_DIVISOR);
            return Math.max(defaultMillis, allowedMillis);
        }
        long boundMillis = boundRemainingMillis(share, tokens);
        return boundMillis > 0 && boundMillis < defaultMillis ? defaultMillis : LEDGER_UNAVAILABLE_WAIT_MILLIS;
    }

    /**
     * Returns the milliseconds until a share can spend the tokens without a response of the ledger, because the bound that
     * prevents it from spending them expires. Returns 0 if the share holds too few tokens.
     */
    public long boundRemainingMillis(String budget, long tokens) {
        Share share = table.get(budget);
        return share == null ? 0 : boundRemainingMillis(share, tokens);
    }

    private long boundRemainingMillis(Share share, long tokens) {
        return share.unusedTokens() >= tokens ? share.bounds.remainingMillis(nowMillis) : 0;
    }

    /**
     * Returns for how many milliseconds the ledger has answered no grant or give-back request, counted from the first one
     * sent since its last answer; 0 below the time-out.
     */
    public long ledgerUnansweredMillis() {
        return grantRequester.ledgerUnansweredMillis();
    }

    /** Cancels the reservation of a request that is not billed. */
    public void cancel(Reservation reservation) {
        findShare(reservation).ifPresent(share -> share.cancelReservation(reservation.tokens()));
    }

    /**
     * Bills a request, with at most the reserved tokens.
     *
     * @param done called once the ledger or a holder has the bill, or with the failure if the share is lost before that
     */
    public void bill(Reservation reservation, long tokens, Consumer<Either<Failure, Void>> done) {
        Optional<Share> share = findShare(reservation);
        if (share.isEmpty()) {
            done.accept(Either.left(shareLost(reservation.shareId())));
            return;
        }
        share.get().bill(reservation.tokens(), Math.min(tokens, reservation.tokens()), done);
    }

    /** Opens a bill that a journal will commit and returns its sequence number; empty if the share is lost. */
    public Optional<Long> openKeyedBill(Reservation reservation) {
        return findShare(reservation).map(Share::openKeyedBill);
    }

    /**
     * Completes a bill opened by {@link #openKeyedBill}.
     *
     * @param tokens the billed tokens if the journal committed the bill, else 0
     */
    public void resolveKeyedBill(Reservation reservation, long keyedSeq, long tokens) {
        findShare(reservation).ifPresent(share -> share.resolveKeyedBill(keyedSeq, reservation.tokens(), tokens));
    }

    private Optional<Share> findShare(Reservation reservation) {
        Share share = table.get(reservation.budget());
        if (share == null || !share.shareId.equals(reservation.shareId())) {
            return Optional.empty();
        }
        return Optional.of(share);
    }

    private Share newShare(String budget) {
        return new Share(budget, gateway.partitionOf(budget), nextShareId());
    }

    private String nextShareId() {
        createdShares++;
        return identity.incarnation() + "." + createdShares;
    }

    /** Serves waiting calls, settles bills and adjusts the grant of every share; to be called at short intervals. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        grantRequester.startTick(tickMillis);
        billSettler.startTick(tickMillis, sizing.policy(), tuning());
        boolean measurementDue = tickMillis - lastMeasuredAtMillis >= RATE_PERIOD_MILLIS;
        for (Share share : List.copyOf(table.rows())) {
            if (measurementDue) {
                sizing.measureDemand(share, tickMillis - lastMeasuredAtMillis);
            }
            share.refreshLimit(tickMillis);
            serveWaitingCalls(share);
            billSettler.settle(share);
            billSettler.handOver(share);
            adjust(share);
        }
        if (measurementDue) {
            lastMeasuredAtMillis = tickMillis;
        }
    }

    private void serveWaitingCalls(Share share) {
        while (!share.waitingCalls.isEmpty()) {
            WaitingCalls.Call call = share.waitingCalls.first();
            if (share.tryReserve(call.tokens())) {
                share.waitingCalls.removeFirst();
                call.done().accept(Either.right(null));
                continue;
            }
            boolean unattainable = share.ledgerShort && sizing.exceedsAverageShare(share, call.tokens());
            if (nowMillis < call.deadlineMillis() && share.lastFailure == null && !unattainable) {
                return;
            }
            share.waitingCalls.removeFirst();
            counters.refused++;
            LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                    "refused a call that waited for tokens of budget %s; %d calls refused so far",
                    share.budget, counters.refused);
            call.done().accept(Either.left(refusal(share)));
        }
        share.lastFailure = null;
    }

    private Failure refusal(Share share) {
        if (share.lastFailure != null) {
            return share.lastFailure;
        }
        if (share.ledgerShort) {
            return Failure.notRun(
                            ErrorKind.BUDGET_EXHAUSTED,
                            "budget " + share.budget + " has too few free tokens in the ledger")
                    .retryAfter(sizing.policy().waitMillis());
        }
        return Failure.notRun(
                        ErrorKind.PLATFORM_UNAVAILABLE,
                        "the share of budget " + share.budget
                                + " has too few tokens and the ledger has not granted more")
                .retryAfter(sizing.policy().waitMillis());
    }

    private void adjust(Share share) {
        boolean due = nowMillis >= share.nextRequestAtMillis
                || !share.waitingCalls.isEmpty() && nowMillis >= share.nextUrgentRequestAtMillis;
        if (share.requestInFlight || share.reportPending || !due || share.released && share.waitingCalls.isEmpty()) {
            return;
        }
        if (nowMillis - share.lastUsedAtMillis >= tuning().idleMillis()
                && share.settled()
                && share.waitingCalls.isEmpty()) {
            retire(share);
            return;
        }
        grantRequester.adjust(share);
    }

    private SharePolicy.Tuning tuning() {
        return sizing.tuning();
    }

    private void onShareLost(Share share) {
        if (gateway.storeNamesEra()) {
            // The store may have lost the share. Its tokens are spent on, so the ledger has to have it again.
            share.requestInFlight = false;
            share.settleInFlight = false;
            reportRequest.accept(share.partition);
            return;
        }
        counters.sharesLost++;
        String lostId = share.shareId;
        LOGGER.atWarning().log(
                "share %s of budget %s is closed or missing, or its settlement was refused; uncommitted bills are lost",
                lostId, share.budget);
        for (Share.PendingBill bill : share.restart(nextShareId())) {
            bill.done().accept(Either.left(shareLost(lostId)));
        }
    }

    private static Failure shareLost(String shareId) {
        return Failure.ran(ErrorKind.SHARE_LOST, "share " + shareId + " was lost before the bill was committed");
    }

    /**
     * Gives unused tokens back because another router has too few tokens of the same budget: half of those that no waiting
     * call needs, or up to {@code tokens} if that is more.
     */
    public void onShortage(String budget, long tokens) {
        Share share = table.get(budget);
        if (share == null || share.requestInFlight || share.reportPending) {
            return;
        }
        long spareTokens = share.unusedTokens() - share.waitingCalls.totalTokens();
        if (spareTokens <= 0) {
            return;
        }
        long tokensToGiveBack = Math.max(spareTokens / 2, Math.min(spareTokens, tokens));
        grantRequester.giveBack(share, tokensToGiveBack);
    }

    /** Starts to give every share back completely; to be called repeatedly until {@link #retired} returns true. */
    public void retire() {
        for (Share share : List.copyOf(table.rows())) {
            share.released = true;
            giveBackAll(share);
        }
    }

    private void retire(Share share) {
        if (share.settleInFlight || share.retiring) {
            return;
        }
        share.retiring = true;
        share.requestInFlight = true;
        Ledger.Settlement lastSettlement = share.settlement();
        gateway.submit(
                share.partition,
                LedgerOps.retire(share.budget, lastSettlement),
                result -> onRetired(share, lastSettlement, result));
    }

    private void onRetired(Share share, Ledger.Settlement lastSettlement, LedgerResult result) {
        boolean expected = share.retiring
                && share.shareId.equals(lastSettlement.shareId())
                && share.settleSeq == lastSettlement.settleSeq();
        if (!expected) {
            return;
        }
        if (LedgerOps.isUnavailable(result)) {
            share.retiring = false;
            share.requestInFlight = false;
            share.nextRequestAtMillis = nowMillis + sizing.policy().retryMillis();
            return;
        }
        if (share.waitingCalls.isEmpty()) {
            table.remove(share);
            return;
        }
        share.restart(nextShareId());
    }

    /** Sets the receiver of requests to report the shares of a ledger, because the ledger does not have one of them. */
    void setReportRequest(IntConsumer newReportRequest) {
        reportRequest = newReportRequest;
    }

    /**
     * Returns the shares of this router in a ledger, for a report. Until the report is confirmed, they are spent only up to
     * what it pledges.
     */
    List<ShareReport> report(int partition) {
        List<ShareReport> reports = new ArrayList<>();
        for (Share share : table.rows()) {
            if (share.partition != partition || share.requestSeq == 0) {
                continue;
            }
            SpendingBound bound = grantRequester.newBound(share, share.grantedTokens);
            long pledgedTokens = bound.getValidMillis() > 0 ? bound.getUsableTokens() : share.usedTokens();
            reports.add(share.report(identity, bound, pledgedTokens));
        }
        return reports;
    }

    /** Processes the result of a report. */
    void onReportConfirmed(List<ShareReport> reports, LedgerResult result, long sentAtMillis) {
        Map<String, ShareState> confirmed = new HashMap<>();
        result.getReportedSharesList().forEach(share -> confirmed.put(share.getShareId(), share));
        for (ShareReport report : reports) {
            Share share = table.get(report.getBudget());
            if (share != null) {
                share.onReportConfirmed(
                        report,
                        Optional.ofNullable(confirmed.get(report.getShare().getShareId())));
                share.spendableUntilMillis = tuning().spendableUntilMillis(sentAtMillis);
                share.refreshLimit(nowMillis);
            }
        }
    }

    /** Returns whether this router holds no more shares. */
    public boolean retired() {
        return table.rows().isEmpty();
    }

    /** Reacts to the results of token requests. */
    private final class GrantListener implements GrantRequester.Listener {
        @Override
        public void onShareUpdated(Share share) {
            serveWaitingCalls(share);
        }

        @Override
        public void onLost(Share share) {
            onShareLost(share);
        }
    }
}
