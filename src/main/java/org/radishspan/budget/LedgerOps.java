package org.radishspan.budget;

import java.util.Locale;
import java.util.Optional;

import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.AdoptLimitOp;
import org.radishspan.proto.CloseEarlierOp;
import org.radishspan.proto.GiveBackOp;
import org.radishspan.proto.GrantOp;
import org.radishspan.proto.LedgerOp;
import org.radishspan.proto.LedgerResult;
import org.radishspan.proto.RouterReport;
import org.radishspan.proto.SettleOp;
import org.radishspan.proto.ShareState;
import org.radishspan.store.SharedObject.Mutation;
import org.radishspan.store.StoreEra;

/** Converts changes of a ledger, and their results, to and from the messages that routers exchange. */
final class LedgerOps {
    private static final Failure RESTORING = Failure.notRun(
            ErrorKind.PLATFORM_UNAVAILABLE,
            "the ledger is being restored, because the platform's store came back from an older copy");

    /** The result of a change that a router did not commit, because it does not reach the store. */
    static final LedgerResult UNAVAILABLE = LedgerResult.newBuilder()
            .setErrorKind(ErrorKind.PLATFORM_UNAVAILABLE.wireName())
            .setErrorMessage("the router does not reach the platform's store")
            .build();

    private LedgerOps() {}

    static LedgerOp grant(String budget, Ledger.GrantRequest request, double freeFraction, SharePolicy.Tuning tuning) {
        return LedgerOp.newBuilder()
                .setBudget(budget)
                .setGrant(GrantOp.newBuilder()
                        .setShareId(request.shareId())
                        .setIncarnation(request.incarnation())
                        .setVm(request.vm())
                        .setRequestSeq(request.requestSeq())
                        .setTokens(request.tokens())
                        .setMinimumTokens(request.minimumTokens())
                        .setWaitingTokens(request.waitingTokens())
                        .setDemandTokensPerSecond(request.demandTokensPerSecond())
                        .addAllHolders(request.holders())
                        .setFreeFraction(freeFraction)
                        .setReserveFraction(tuning.reserveFraction())
                        .setReserveMillis(tuning.reserveMillis())
                        .setBound(request.bound()))
                .build();
    }

    static LedgerOp giveBack(String budget, String shareId, long requestSeq, long tokens, long demandTokensPerSecond) {
        return LedgerOp.newBuilder()
                .setBudget(budget)
                .setGiveBack(GiveBackOp.newBuilder()
                        .setShareId(shareId)
                        .setRequestSeq(requestSeq)
                        .setTokens(tokens)
                        .setDemandTokensPerSecond(demandTokensPerSecond))
                .build();
    }

    static LedgerOp settle(String budget, Ledger.Settlement settlement) {
        return LedgerOp.newBuilder()
                .setBudget(budget)
                .setSettle(settleOp(settlement))
                .build();
    }

    static LedgerOp retire(String budget, Ledger.Settlement lastSettlement) {
        return LedgerOp.newBuilder()
                .setBudget(budget)
                .setRetire(settleOp(lastSettlement))
                .build();
    }

    static LedgerOp adoptLimit(String budget, long limitTokens, long configurationVersion) {
        return LedgerOp.newBuilder()
                .setBudget(budget)
                .setAdoptLimit(AdoptLimitOp.newBuilder()
                        .setLimitTokens(limitTokens)
                        .setConfigurationVersion(configurationVersion))
                .build();
    }

    static LedgerOp closeEarlierShares(Ledger.ProcessStart start) {
        return LedgerOp.newBuilder()
                .setCloseEarlier(CloseEarlierOp.newBuilder()
                        .setVm(start.vm())
                        .setIncarnation(start.incarnation())
                        .setBootId(start.bootId())
                        .setStartMillis(start.startMillis()))
                .build();
    }

    private static SettleOp settleOp(Ledger.Settlement settlement) {
        return SettleOp.newBuilder()
                .setShareId(settlement.shareId())
                .setSettleSeq(settlement.settleSeq())
                .setSpentTokens(settlement.spentTokens())
                .setKeyedSeq(settlement.keyedSeq())
                .setKeyedSpentTokens(settlement.keyedSpentTokens())
                .setBound(settlement.bound())
                .build();
    }

    static LedgerOp report(RouterReport report) {
        return LedgerOp.newBuilder().setReport(report).build();
    }

    /**
     * Returns the mutation of the ledger that a change describes. While the ledger is being restored, it accepts only reports
     * and refuses all other changes as unavailable.
     */
    static Mutation<LedgerBook> mutation(LedgerOp op) {
        if (op.hasReport()) {
            return LedgerRestoration.report(op.getReport());
        }
        Mutation<LedgerBook> mutation = mutationInForce(op);
        return book -> book.isBeingRestored() ? Either.left(RESTORING) : mutation.apply(book);
    }

    private static Mutation<LedgerBook> mutationInForce(LedgerOp op) {
        return switch (op.getChangeCase()) {
            case GRANT -> Ledger.grant(op.getBudget(), request(op.getGrant()), rule(op.getGrant()));
            case GIVE_BACK -> {
                GiveBackOp giveBackOp = op.getGiveBack();
                yield Ledger.giveBack(
                        op.getBudget(),
                        giveBackOp.getShareId(),
                        giveBackOp.getRequestSeq(),
                        giveBackOp.getTokens(),
                        giveBackOp.getDemandTokensPerSecond());
            }
            case SETTLE -> Ledger.settle(op.getBudget(), settlement(op.getSettle()));
            case RETIRE -> Ledger.retire(op.getBudget(), settlement(op.getRetire()));
            case ADOPT_LIMIT ->
                AccountChanges.adoptLimit(
                        op.getBudget(),
                        op.getAdoptLimit().getLimitTokens(),
                        op.getAdoptLimit().getConfigurationVersion());
            case CLOSE_EARLIER -> Ledger.closeEarlierShares(processStart(op.getCloseEarlier()));
            case REPORT, CHANGE_NOT_SET ->
                book -> Either.left(
                        Failure.notRun(ErrorKind.INVALID_REQUEST, "the ledger change contains no operation"));
        };
    }

    private static Ledger.GrantRequest request(GrantOp grant) {
        return new Ledger.GrantRequest(
                grant.getShareId(),
                grant.getIncarnation(),
                grant.getVm(),
                grant.getRequestSeq(),
                grant.getTokens(),
                grant.getMinimumTokens(),
                grant.getWaitingTokens(),
                grant.getDemandTokensPerSecond(),
                grant.getHoldersList(),
                grant.getBound());
    }

    private static Ledger.ProcessStart processStart(CloseEarlierOp op) {
        return new Ledger.ProcessStart(op.getVm(), op.getIncarnation(), op.getBootId(), op.getStartMillis());
    }

    private static GrantRule rule(GrantOp grant) {
        double fraction = grant.getFreeFraction();
        GrantRule rule =
                fraction > 0 && fraction <= 1 ? GrantRule.limitedToFraction(fraction) : GrantRule.asRequested();
        double reserve = grant.getReserveFraction();
        return reserve > 0 && reserve <= 1 ? GrantRule.withReserve(reserve, grant.getReserveMillis(), rule) : rule;
    }

    private static Ledger.Settlement settlement(SettleOp op) {
        return new Ledger.Settlement(
                op.getShareId(),
                op.getSettleSeq(),
                op.getSpentTokens(),
                op.getKeyedSeq(),
                op.getKeyedSpentTokens(),
                op.getBound());
    }

    private static String shareId(LedgerOp op) {
        return switch (op.getChangeCase()) {
            case GRANT -> op.getGrant().getShareId();
            case GIVE_BACK -> op.getGiveBack().getShareId();
            case SETTLE -> op.getSettle().getShareId();
            case RETIRE -> op.getRetire().getShareId();
            case ADOPT_LIMIT, CLOSE_EARLIER, REPORT, CHANGE_NOT_SET -> "";
        };
    }

    /**
     * Returns the result message of a change: its failure, or the new state of the account and the share.
     *
     * @param era the era of the store in which the change was committed or refused
     */
    static LedgerResult result(LedgerOp op, Either<Failure, LedgerBook> outcome, long era) {
        LedgerResult.Builder builder = LedgerResult.newBuilder();
        if (era != StoreEra.UNKNOWN) {
            builder.setEra(era);
        }
        if (outcome.isLeft()) {
            Failure failure = outcome.getLeft();
            return builder.setErrorKind(failure.kind().wireName())
                    .setErrorMessage(failure.message())
                    .build();
        }
        LedgerBook book = outcome.get();
        builder.setGeneration(book.version().generation());
        if (op.hasReport() && !book.isBeingRestored()) {
            op.getReport()
                    .getSharesList()
                    .forEach(reported -> Ledger.share(
                                    book,
                                    reported.getBudget(),
                                    reported.getShare().getShareId())
                            .ifPresent(builder::addReportedShares));
        }
        AccountState account = book.account(op.getBudget());
        if (account != null) {
            builder.setCommittedTokens(Accounts.committedTokens(account));
            Optional<ShareState> share = Ledger.share(book, op.getBudget(), shareId(op));
            share.ifPresent(builder::setShare);
            builder.setHorizonMillis(account.getHorizonMillis());
            builder.setUnspentTokens(Accounts.unspentTokens(account));
            builder.setLimitTokens(account.getLimitTokens());
            builder.setForfeitedTokens(Accounts.forfeitedTokens(account));
            builder.setDemandTokensPerSecond(Accounts.demandTokensPerSecond(account));
            builder.setWantedElsewhere(Accounts.wantedElsewhere(account, shareId(op)));
        }
        return builder.build();
    }

    /** Returns whether a ledger did not accept a change because it is being restored; the change can be sent again. */
    static boolean isUnavailable(LedgerResult result) {
        return result.getErrorKind().equals(ErrorKind.PLATFORM_UNAVAILABLE.wireName());
    }

    /** Returns the failure that a result contains; empty if the change was committed. */
    static Optional<Failure> failure(LedgerResult result) {
        if (result.getErrorKind().isEmpty()) {
            return Optional.empty();
        }
        ErrorKind kind = ErrorKind.valueOf(result.getErrorKind().toUpperCase(Locale.ROOT));
        return Optional.of(Failure.ran(kind, result.getErrorMessage()));
    }
}
