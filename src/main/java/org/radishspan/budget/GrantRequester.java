package org.radishspan.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.LedgerResult;
import org.radishspan.proto.SpendingBound;

/** Requests tokens for shares from the ledger, and gives back the tokens that exceed the desired size of a share. */
final class GrantRequester {
    /** Is notified of the results of requests to the ledger. */
    interface Listener {
        /** Called after the share was updated with a result of the ledger. */
        void onShareUpdated(Share share);

        /** Called when the ledger has closed the share or does not contain it. */
        void onLost(Share share);
    }

    /**
     * A ledger that has not responded for this time is considered unreachable. It usually responds within tens of
     * milliseconds.
     */
    private static final long LEDGER_TIMEOUT_MILLIS = 500;

    /** The time after which a request that only fills a share up is repeated, if it was granted nothing. */
    private static final long FILL_RETRY_MILLIS = 1_000;

    private final ShareSystem.Identity identity;
    private final LedgerGateway gateway;
    private final ShareSizing sizing;
    private final ShareCounters counters;
    private final ShareSystem.ShortageNotifier shortageNotifier;
    private final ShareSystem.HolderSelector holderSelector;
    private final Listener listener;
    private long unansweredSinceMillis;
    private long nowMillis;

    GrantRequester(
            ShareSystem.Identity identity,
            LedgerGateway gateway,
            ShareSizing sizing,
            ShareCounters counters,
            ShareSystem.ShortageNotifier shortageNotifier,
            ShareSystem.HolderSelector holderSelector,
            Listener listener) {
        this.identity = identity;
        this.gateway = gateway;
        this.sizing = sizing;
        this.counters = counters;
        this.shortageNotifier = shortageNotifier;
        this.holderSelector = holderSelector;
        this.listener = listener;
    }

    void startTick(long tickMillis) {
        nowMillis = tickMillis;
    }

    /**
     * Returns for how many milliseconds the ledger has answered no grant or give-back request, counted from the first one
     * sent since its last answer; 0 below the time-out.
     */
    long ledgerUnansweredMillis() {
        long millis = unansweredSinceMillis > 0 ? nowMillis - unansweredSinceMillis : 0;
        return millis >= LEDGER_TIMEOUT_MILLIS ? millis : 0;
    }

    /**
     * Requests the tokens that waiting calls need or that the share lacks of its desired size, or gives back the tokens that
     * exceed the desired size.
     */
    void adjust(Share share) {
        long waitingTokens = share.waitingCalls.totalTokens();
        long unusedTokens = share.unusedTokens();
        long desiredTokens = sizing.desiredTokens(share);
        if (waitingTokens > unusedTokens) {
            requestGrant(
                    share,
                    waitingTokens - unusedTokens + desiredTokens,
                    share.waitingCalls.firstTokens() - unusedTokens);
            return;
        }
        boolean mayFillUp = share.demandTokensPerSecond >= 1 || sizing.tuning().initialFraction() > 0;
        if (unusedTokens < (long) (desiredTokens * sizing.tuning().lowWaterFraction()) && mayFillUp) {
            requestGrant(share, desiredTokens - unusedTokens, 0);
            return;
        }
        if (unusedTokens > (long) sizing.giveBackThresholdTokens(share, desiredTokens)) {
            giveBack(share, unusedTokens - desiredTokens);
        }
    }

    /**
     * Returns the spending bound of a share to send with a change of the ledger, without validity if bounds are not used.
     *
     * @param maximumTokens the most tokens that the bound may allow
     */
    SpendingBound newBound(Share share, long maximumTokens) {
        long validMillis = sizing.tuning().boundMillis();
        if (validMillis == 0) {
            return SpendingBound.getDefaultInstance();
        }
        long usableTokens = share.usedTokens() + share.waitingCalls.totalTokens() + sizing.unreportedTokens(share);
        return share.bounds.recordStated(SpendingBound.newBuilder()
                .setUsableTokens(Math.min(maximumTokens, usableTokens))
                .setBootId(identity.bootId())
                .setAtMillis(nowMillis)
                .setValidMillis(validMillis)
                .build());
    }

    private void requestGrant(Share share, long tokens, long minimumTokens) {
        share.requestInFlight = true;
        share.requestSeq++;
        share.nextRequestAtMillis = nowMillis + sizing.policy().retryMillis();
        share.nextUrgentRequestAtMillis = share.nextRequestAtMillis;
        String requestedShareId = share.shareId;
        long sentAtMillis = nowMillis;
        List<String> holders = holdersToRecord(share);
        Ledger.GrantRequest request = new Ledger.GrantRequest(
                requestedShareId,
                identity.incarnation(),
                identity.vm(),
                share.requestSeq,
                tokens,
                minimumTokens,
                Math.max(0, share.waitingCalls.totalTokens() - share.unusedTokens()),
                reportDemand(share),
                holders,
                newBound(share, Long.MAX_VALUE));
        counters.grantRequests++;
        recordRequestSent();
        gateway.submit(
                share.partition,
                LedgerOps.grant(share.budget, request, sizing.policy().freeFraction(), sizing.tuning()),
                ifLastRequest(share, result -> {
                    share.onBoundCommitted(requestedShareId, request.bound(), result);
                    onRequestDone(share, sentAtMillis, minimumTokens, holders, result);
                }));
    }

    private void recordRequestSent() {
        if (unansweredSinceMillis == 0) {
            unansweredSinceMillis = nowMillis;
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
        List<String> selected = holderSelector.choose(sizing.policy().holderCount());
        // This request replaces the holders recorded in the ledger. A bill handed over from now on counts only if its
        // holder stays recorded.
        share.holders.retainAll(selected);
        return selected;
    }

    /** Returns a consumer that ignores the result if another request or a report of the share has been sent since. */
    private static Consumer<LedgerResult> ifLastRequest(Share share, Consumer<LedgerResult> done) {
        String requestedShareId = share.shareId;
        long requestSeq = share.requestSeq;
        return result -> {
            if (share.shareId.equals(requestedShareId) && share.requestSeq == requestSeq) {
                done.accept(result);
            }
        };
    }

    private void onRequestDone(
            Share share, long sentAtMillis, long minimumTokens, List<String> holders, LedgerResult result) {
        share.requestInFlight = false;
        unansweredSinceMillis = 0;
        if (LedgerOps.isUnavailable(result)) {
            // Calls go on waiting for tokens until their time limit.
            share.nextRequestAtMillis = nowMillis + sizing.policy().retryMillis();
            return;
        }
        Optional<Failure> failure = LedgerOps.failure(result);
        if (failure.isPresent()) {
            onRefused(share, failure.get());
            return;
        }
        if (!result.hasShare()) {
            listener.onLost(share);
            return;
        }
        boolean grantedMore = result.getShare().getGrantedTokens() > share.grantedTokens;
        share.grantedTokens = result.getShare().getGrantedTokens();
        if (!grantedMore && minimumTokens == 0) {
            // The ledger has no free tokens for shares that only fill up.
            share.nextRequestAtMillis = nowMillis + FILL_RETRY_MILLIS;
        }
        share.holders.clear();
        share.holders.addAll(holders);
        share.ledgerShort = result.getShare().getWantedTokens() > 0;
        if (share.ledgerShort) {
            onLedgerShort(share, minimumTokens);
        }
        share.updateAccount(result);
        share.spendableUntilMillis = sizing.tuning().spendableUntilMillis(sentAtMillis);
        share.refreshLimit(nowMillis);
        listener.onShareUpdated(share);
    }

    private void onLedgerShort(Share share, long minimumTokens) {
        counters.shortages++;
        if (nowMillis >= share.nextNoticeAtMillis) {
            share.nextNoticeAtMillis = nowMillis + sizing.tuning().noticeIntervalMillis();
            shortageNotifier.announce(share.budget, share.shareId, minimumTokens);
        }
    }

    private void onRefused(Share share, Failure failure) {
        if (failure.kind() == ErrorKind.SHARE_LOST) {
            listener.onLost(share);
            return;
        }
        share.lastFailure = Failure.notRun(failure.kind(), failure.message());
    }

    /** Gives tokens back. They are deducted from the share before the request is sent. */
    void giveBack(Share share, long tokens) {
        share.requestInFlight = true;
        share.requestSeq++;
        share.grantedTokens -= tokens;
        share.refreshLimit(nowMillis);
        share.nextRequestAtMillis = nowMillis + sizing.policy().retryMillis();
        long sentAtMillis = nowMillis;
        counters.giveBacks++;
        recordRequestSent();
        gateway.submit(
                share.partition,
                LedgerOps.giveBack(share.budget, share.shareId, share.requestSeq, tokens, reportDemand(share)),
                ifLastRequest(
                        share,
                        result -> onRequestDone(share, sentAtMillis, 0, new ArrayList<>(share.holders), result)));
    }
}
