package org.radishspan.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.LedgerResult;
import org.radishspan.proto.SpendingBound;

/** Asks the ledger for tokens of shares, and gives back what is not needed. */
final class GrantFlow {
    /** What the answers of the ledger lead to. */
    interface Outcomes {
        /** The share holds what the ledger last granted. */
        void onAnswered(Share share);

        /** The ledger no longer knows the share, or has closed it. */
        void onLost(Share share);
    }

    /** A ledger that has not answered for so long is taken for unreachable: it answers in some ten milliseconds. */
    private static final long LEDGER_SILENT_MILLIS = 500;

    /** When a share that was not filled up asks again, unless calls wait. */
    private static final long FILL_RETRY_MILLIS = 1_000;

    private final ShareSystem.Identity identity;
    private final LedgerGateway ledgers;
    private final ShareSizing sizing;
    private final ShareCounters counters;
    private final ShareSystem.ShortageNotice shortage;
    private final ShareSystem.HolderChoice holderChoice;
    private final Outcomes outcomes;
    private long askedAtMillis;
    private long nowMillis;

    GrantFlow(
            ShareSystem.Identity identity,
            LedgerGateway ledgers,
            ShareSizing sizing,
            ShareCounters counters,
            ShareSystem.ShortageNotice shortage,
            ShareSystem.HolderChoice holderChoice,
            Outcomes outcomes) {
        this.identity = identity;
        this.ledgers = ledgers;
        this.sizing = sizing;
        this.counters = counters;
        this.shortage = shortage;
        this.holderChoice = holderChoice;
        this.outcomes = outcomes;
    }

    void startTick(long tickMillis) {
        nowMillis = tickMillis;
    }

    /** Returns for how long the ledger has left a request without an answer; 0 if it answers as usual. */
    long ledgerSilentMillis() {
        long millis = askedAtMillis > 0 ? nowMillis - askedAtMillis : 0;
        return millis >= LEDGER_SILENT_MILLIS ? millis : 0;
    }

    /** Asks for what calls wait for or the share lacks of its aim, or gives back what exceeds it. */
    void adjust(Share share) {
        long waiting = share.waiters.totalTokens();
        long unused = share.unusedTokens();
        long target = sizing.targetTokens(share);
        if (waiting > unused) {
            requestGrant(share, waiting - unused + target, share.waiters.firstTokens() - unused);
            return;
        }
        boolean wanted = share.demandTokensPerSecond >= 1 || sizing.tuning().startFraction() > 0;
        if (unused < (long) (target * sizing.tuning().lowWaterFraction()) && wanted) {
            requestGrant(share, target - unused, 0);
            return;
        }
        if (unused > (long) sizing.excessTokens(share, target)) {
            giveBack(share, unused - target);
        }
    }

    /** Says how far this router spends a share until it is heard again, to go with a change of the ledger. */
    SpendingBound stateBound(Share share, long mostTokens) {
        long validMillis = sizing.tuning().boundMillis();
        if (validMillis == 0) {
            return SpendingBound.getDefaultInstance();
        }
        long usable = share.usedTokens() + share.waiters.totalTokens() + sizing.unreportedTokens(share);
        return share.bounds.state(SpendingBound.newBuilder()
                .setUsableTokens(Math.min(mostTokens, usable))
                .setBootId(identity.bootId())
                .setAtMillis(nowMillis)
                .setValidMillis(validMillis)
                .build());
    }

    private void requestGrant(Share share, long tokens, long minimumTokens) {
        share.requestInFlight = true;
        share.requestSeq++;
        share.nextRequestAtMillis = nowMillis + sizing.policy().retryMillis();
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
                Math.max(0, share.waiters.totalTokens() - share.unusedTokens()),
                reportDemand(share),
                holders,
                stateBound(share, Long.MAX_VALUE));
        counters.grantRequests++;
        noteAsked();
        ledgers.submit(
                share.partition,
                LedgerOps.grant(share.budget, request, sizing.policy().freeFraction(), sizing.tuning()),
                result -> {
                    share.noteBound(askedFor, request.bound(), result);
                    onRequestDone(share, askedFor, minimumTokens, holders, result);
                });
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
        List<String> chosen = holderChoice.choose(sizing.policy().holderCount());
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
            outcomes.onLost(share);
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
        share.observe(result);
        share.refreshLimit(nowMillis);
        outcomes.onAnswered(share);
    }

    private void onExhausted(Share share, long minimumTokens) {
        counters.shortages++;
        if (nowMillis >= share.nextNoticeAtMillis) {
            share.nextNoticeAtMillis = nowMillis + sizing.tuning().noticeMillis();
            shortage.announce(share.budget, share.shareId, minimumTokens);
        }
    }

    private void onRefused(Share share, Failure failure) {
        if (failure.kind() == ErrorKind.SHARE_LOST) {
            outcomes.onLost(share);
            return;
        }
        share.lastFailure = Failure.notRun(failure.kind(), failure.message());
    }

    /** Gives tokens back; the router stops counting on them at once. */
    void giveBack(Share share, long tokens) {
        share.requestInFlight = true;
        share.requestSeq++;
        share.grantedTokens -= tokens;
        share.refreshLimit(nowMillis);
        share.nextRequestAtMillis = nowMillis + sizing.policy().retryMillis();
        String askedFor = share.shareId;
        counters.giveBacks++;
        noteAsked();
        ledgers.submit(
                share.partition,
                LedgerOps.giveBack(share.budget, askedFor, share.requestSeq, tokens, reportDemand(share)),
                result -> onRequestDone(share, askedFor, 0, new ArrayList<>(share.holders), result));
    }
}
