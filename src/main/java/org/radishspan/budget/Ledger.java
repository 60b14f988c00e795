package org.radishspan.budget;

import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.HolderState;
import org.radishspan.proto.ShareState;
import org.radishspan.proto.SpendingBound;
import org.radishspan.store.SharedObject.Codec;
import org.radishspan.store.SharedObject.Mutation;

/**
 * The idempotent mutations of a ledger object.
 *
 * <p>In every committed version, the tokens of removed shares and the grants of present ones together stay within
 * each account's limit. A router spends only what a committed grant gave it; so billed tokens never pass the limit,
 * whatever happens to clocks, links and processes.
 *
 * <p>Running totals and per-share sequence numbers make each mutation idempotent: applying one again changes nothing.
 */
public final class Ledger {
    /** Reads and writes a ledger object. */
    public static final Codec<LedgerBook> CODEC = new Codec<>(LedgerBook::decode, LedgerBook::encode);

    /** The number of a share's first request, which creates it. */
    public static final long FIRST_REQUEST = 1;

    private Ledger() {}

    /**
     * What a router asks for its share.
     *
     * @param shareId the share, new with each router process
     * @param incarnation the router process
     * @param vm the VM it runs on
     * @param requestSeq counts the requests of this share
     * @param tokens how many more tokens would serve the expected demand
     * @param minimumTokens the least that helps; a smaller grant is refused
     * @param waitingTokens what calls that wait need together; the rest only fills the share up
     * @param demandTokensPerSecond the demand that the router measures
     * @param holders the router processes that may hold unposted business of this share
     * @param bound how far the router spends for a while; without validity if it states none
     */
    public record GrantRequest(
            String shareId,
            String incarnation,
            String vm,
            long requestSeq,
            long tokens,
            long minimumTokens,
            long waitingTokens,
            long demandTokensPerSecond,
            List<String> holders,
            SpendingBound bound) {}

    /**
     * The bills of a share as running totals.
     *
     * @param shareId the share
     * @param settleSeq rises with each report
     * @param spentTokens all bills without an idempotency key
     * @param keyedSeq bills with an idempotency key up to this number are in {@code keyedSpentTokens} or void
     * @param keyedSpentTokens all bills with an idempotency key up to {@code keyedSeq}
     * @param bound how far the router spends for a while; without validity if it states none
     */
    public record Settlement(
            String shareId,
            long settleSeq,
            long spentTokens,
            long keyedSeq,
            long keyedSpentTokens,
            SpendingBound bound) {
        /** Creates a settlement that states no bound. */
        public Settlement(String shareId, long settleSeq, long spentTokens, long keyedSeq, long keyedSpentTokens) {
            this(shareId, settleSeq, spentTokens, keyedSeq, keyedSpentTokens, SpendingBound.getDefaultInstance());
        }
    }

    /** Grants tokens to a share, as many as the policy allows; refused if less than the asked minimum is free. */
    public static Mutation<LedgerBook> grant(String budget, GrantRequest request, GrantRule rule) {
        return onAccount(budget, (state, account) -> {
            int index = indexOf(account, request.shareId());
            if (index < 0 && request.requestSeq() > FIRST_REQUEST) {
                return Either.left(Failure.ran(ErrorKind.SHARE_LOST, "share " + request.shareId() + " is gone"));
            }
            ShareState share = index < 0 ? newShare(request) : account.getShares(index);
            if (share.getRequestSeq() >= request.requestSeq()) {
                return Either.right(state);
            }
            if (share.getClosed()) {
                return Either.left(closed(request.shareId()));
            }
            long granted = Math.max(0, rule.grantTokens(Accounts.freeTokens(account), account, request));
            boolean enough = granted >= request.minimumTokens();
            ShareState changed = share.toBuilder()
                    .setRequestSeq(request.requestSeq())
                    .setGrantedTokens(share.getGrantedTokens() + (enough ? granted : 0))
                    .setWantedTokens(enough ? 0 : request.minimumTokens())
                    .setDemandTokensPerSecond(request.demandTokensPerSecond())
                    .build();
            ShareState bounded = withBound(changed, request.bound());
            return Either.right(putShare(state, account, index, withHolders(bounded, request.holders())));
        });
    }

    /** Gives tokens of a share back; the router has stopped counting on them before it asks. */
    public static Mutation<LedgerBook> giveBack(
            String budget, String shareId, long requestSeq, long tokens, long demandTokensPerSecond) {
        return onShare(budget, shareId, (state, account, index) -> {
            ShareState share = account.getShares(index);
            if (share.getRequestSeq() >= requestSeq) {
                return Either.right(state);
            }
            if (share.getClosed()) {
                // The tokens may be among those that became free when the share was closed.
                return Either.left(closed(shareId));
            }
            ShareState lowered = share.toBuilder()
                    .setRequestSeq(requestSeq)
                    .setGrantedTokens(share.getGrantedTokens() - tokens)
                    .setWantedTokens(0)
                    .setDemandTokensPerSecond(demandTokensPerSecond)
                    .build();
            ShareState changed = withBound(lowered, SpendingBound.getDefaultInstance());
            if (changed.getGrantedTokens() < Accounts.spentTokens(changed)) {
                return Either.left(
                        Failure.notRun(ErrorKind.INTERNAL, "share " + shareId + " gave back tokens it had spent"));
            }
            return Either.right(putShare(state, account, index, changed));
        });
    }

    /** Raises the running totals of an open share, as its own router reports them. */
    public static Mutation<LedgerBook> settle(String budget, Settlement settlement) {
        return onShare(budget, settlement.shareId(), (state, account, index) -> {
            ShareState share = account.getShares(index);
            if (share.getSettleSeq() >= settlement.settleSeq()) {
                return Either.right(state);
            }
            if (share.getClosed()) {
                return Either.left(closed(settlement.shareId()));
            }
            return raise(state, account, index, settlement);
        });
    }

    /** Raises the running totals of a share, as a holder reports them; also after the share was closed. */
    public static Mutation<LedgerBook> settleHeld(String budget, String holder, Settlement settlement) {
        return onShare(budget, settlement.shareId(), (state, account, index) -> {
            ShareState share = account.getShares(index);
            if (share.getSettleSeq() >= settlement.settleSeq()) {
                return Either.right(state);
            }
            if (!unreleased(share, holder)) {
                return Either.left(Failure.notRun(
                        ErrorKind.SHARE_LOST, holder + " is no holder of share " + settlement.shareId()));
            }
            return raise(state, account, index, settlement);
        });
    }

    private static Either<Failure, LedgerBook> raise(
            LedgerBook state, AccountState account, int index, Settlement settlement) {
        ShareState share = account.getShares(index);
        ShareState changed = share.toBuilder()
                .setSettleSeq(settlement.settleSeq())
                .setSpentTokens(Math.max(share.getSpentTokens(), settlement.spentTokens()))
                .setKeyedSeq(Math.max(share.getKeyedSeq(), settlement.keyedSeq()))
                .setKeyedSpentTokens(Math.max(share.getKeyedSpentTokens(), settlement.keyedSpentTokens()))
                .build();
        if (Accounts.spentTokens(changed) > changed.getGrantedTokens()) {
            return Either.left(Failure.ran(
                    ErrorKind.INTERNAL, "share " + settlement.shareId() + " would spend more than it was granted"));
        }
        return Either.right(putShare(state, account, index, withBound(changed, settlement.bound())));
    }

    /** Puts the bound that was stated last in force; a bound never exceeds the grant. */
    private static ShareState withBound(ShareState share, SpendingBound stated) {
        SpendingBound known = share.getBound();
        if (stated.getValidMillis() == 0 && known.getValidMillis() == 0) {
            return share;
        }
        // Of two bounds of the same time the first one stays: its router may have learnt that it is in force.
        SpendingBound later = stated.getAtMillis() > known.getAtMillis() ? stated : known;
        long usable = Math.min(later.getUsableTokens(), share.getGrantedTokens());
        return share.toBuilder()
                .setBound(later.toBuilder().setUsableTokens(usable))
                .build();
    }

    /** Closes every share of a router process that is taken for dead; its own reports are refused from then on. */
    public static Mutation<LedgerBook> close(String incarnation) {
        return onShares(
                share -> share.getIncarnation().equals(incarnation) && !share.getClosed(),
                share -> share.toBuilder().setClosed(true).build());
    }

    /**
     * A router process at its start, when every earlier process on its VM has ended.
     *
     * @param vm the VM
     * @param incarnation the process
     * @param bootId the boot of the VM; 0 if it is not known
     * @param startMillis the steady clock of that boot
     */
    public record ProcessStart(String vm, String incarnation, long bootId, long startMillis) {}

    /**
     * Closes the shares of every earlier process on a VM; only one process runs there at a time. Tokens that the ended
     * process cannot have spent, as it was still held to a bound when this one started, are free again.
     */
    public static Mutation<LedgerBook> closeEarlier(ProcessStart start) {
        return onShares(
                share -> share.getVm().equals(start.vm())
                        && !share.getIncarnation().equals(start.incarnation())
                        && !share.getClosed(),
                share -> share.toBuilder()
                        .setClosed(true)
                        .setGrantedTokens(possiblySpentTokens(share, start))
                        .build());
    }

    private static long possiblySpentTokens(ShareState share, ProcessStart start) {
        SpendingBound bound = share.getBound();
        boolean sameBoot = bound.getBootId() != 0 && bound.getBootId() == start.bootId();
        boolean bounded = sameBoot && SpendingBounds.isValid(bound, start.startMillis());
        return bounded ? Math.max(bound.getUsableTokens(), Accounts.spentTokens(share)) : share.getGrantedTokens();
    }

    /**
     * A bill that a journal committed.
     *
     * @param keyedSeq its number among the share's keyed bills
     * @param tokens what it charges
     */
    public record KeyedBill(long keyedSeq, long tokens) {}

    /** Adds the bills found in the closed journals to a closed share, once. */
    public static Mutation<LedgerBook> sweepJournals(String budget, String shareId, List<KeyedBill> bills) {
        return state -> {
            AccountState account = state.account(budget);
            int index = account == null ? -1 : indexOf(account, shareId);
            if (account == null || index < 0 || account.getShares(index).getJournalsSwept()) {
                return Either.right(state);
            }
            ShareState share = account.getShares(index);
            long unpostedTokens = bills.stream()
                    .filter(bill -> bill.keyedSeq() > share.getKeyedSeq())
                    .mapToLong(KeyedBill::tokens)
                    .sum();
            ShareState changed = share.toBuilder()
                    .setJournalsSwept(true)
                    .setKeyedSpentTokens(share.getKeyedSpentTokens() + unpostedTokens)
                    .build();
            return Either.right(finalizeClosed(putShare(state, account, index, changed)));
        };
    }

    /** Says that a holder has posted all it held of closed shares and takes nothing more for them. */
    public static Mutation<LedgerBook> release(String holder, List<String> shareIds) {
        return onShares(
                share -> shareIds.contains(share.getShareId()) && unreleased(share, holder),
                share -> withReleased(share, holder));
    }

    /** Removes a share whose router stops with nothing outstanding. */
    public static Mutation<LedgerBook> retire(String budget, Settlement last) {
        return state -> {
            AccountState account = state.account(budget);
            int index = account == null ? -1 : indexOf(account, last.shareId());
            if (account == null || index < 0) {
                return Either.right(state);
            }
            return raise(state, account, index, last).map(settled -> removeShare(settled, budget, last.shareId()));
        };
    }

    /** Removes closed shares of which every bill is known and whose account lets their rest be given back. */
    public static LedgerBook finalizeClosed(LedgerBook state) {
        LedgerBook result = state;
        for (AccountState account : state.accounts()) {
            for (ShareState share : account.getSharesList()) {
                if (settledForGood(account, share)) {
                    result = removeShare(result, account.getBudget(), share.getShareId());
                } else if (share.getClosed() && account.getLimitVersion() > 0) {
                    result = foldShare(result, account.getBudget(), share.getShareId());
                }
            }
        }
        return result;
    }

    private static boolean settledForGood(AccountState account, ShareState share) {
        return share.getClosed()
                && share.getJournalsSwept()
                && share.getHoldersList().stream().allMatch(HolderState::getReleased)
                && !account.getReclaim().equals(ReclaimMode.OPERATOR.wireName());
    }

    /** Returns a share of an account. */
    public static Optional<ShareState> share(LedgerBook state, String budget, String shareId) {
        AccountState account = state.account(budget);
        int index = account == null ? -1 : indexOf(account, shareId);
        return account == null || index < 0 ? Optional.empty() : Optional.of(account.getShares(index));
    }

    private static ShareState newShare(GrantRequest request) {
        return ShareState.newBuilder()
                .setShareId(request.shareId())
                .setIncarnation(request.incarnation())
                .setVm(request.vm())
                .build();
    }

    private static ShareState withHolders(ShareState share, List<String> holders) {
        ShareState.Builder builder = share.toBuilder().clearHolders();
        for (String holder : holders) {
            builder.addHolders(HolderState.newBuilder().setIncarnation(holder));
        }
        return builder.build();
    }

    private static ShareState withReleased(ShareState share, String holder) {
        ShareState.Builder builder = share.toBuilder();
        for (int i = 0; i < share.getHoldersCount(); i++) {
            if (share.getHolders(i).getIncarnation().equals(holder)) {
                builder.setHolders(i, share.getHolders(i).toBuilder().setReleased(true));
            }
        }
        return builder.build();
    }

    private static boolean unreleased(ShareState share, String holder) {
        return share.getHoldersList().stream()
                .anyMatch(candidate -> candidate.getIncarnation().equals(holder) && !candidate.getReleased());
    }

    /** Removes a closed share and counts its whole grant as used up, as no operator gives the rest of it back. */
    private static LedgerBook foldShare(LedgerBook state, String budget, String shareId) {
        AccountState account = state.find(budget).orElseThrow();
        ShareState share = account.getShares(indexOf(account, shareId));
        long restTokens = share.getGrantedTokens() - Accounts.spentTokens(share);
        return removeShare(
                state.with(account.toBuilder()
                        .setClosedSpentTokens(account.getClosedSpentTokens() + restTokens)
                        .setLostTokens(account.getLostTokens() + restTokens)
                        .build()),
                budget,
                shareId);
    }

    static LedgerBook removeShare(LedgerBook state, String budget, String shareId) {
        AccountState account = state.find(budget).orElseThrow();
        int index = indexOf(account, shareId);
        AccountState changed = account.toBuilder()
                .setClosedSpentTokens(account.getClosedSpentTokens() + Accounts.spentTokens(account.getShares(index)))
                .removeShares(index)
                .build();
        return state.with(changed);
    }

    private static LedgerBook putShare(LedgerBook state, AccountState account, int index, ShareState share) {
        AccountState.Builder builder = account.toBuilder();
        if (index < 0) {
            builder.addShares(share);
        } else {
            builder.setShares(index, share);
        }
        return state.with(builder.build());
    }

    static int indexOf(AccountState account, String shareId) {
        for (int i = 0; i < account.getSharesCount(); i++) {
            if (account.getShares(i).getShareId().equals(shareId)) {
                return i;
            }
        }
        return -1;
    }

    private static Failure closed(String shareId) {
        return Failure.ran(ErrorKind.SHARE_LOST, "share " + shareId + " was closed by another router");
    }

    /** A change of one account. */
    @FunctionalInterface
    private interface ShareChange {
        Either<Failure, LedgerBook> apply(LedgerBook state, AccountState account, int index);
    }

    static Mutation<LedgerBook> onAccount(
            String budget, BiFunction<LedgerBook, AccountState, Either<Failure, LedgerBook>> change) {
        return state -> {
            AccountState account = state.account(budget);
            if (account == null) {
                return Either.left(Failure.notRun(ErrorKind.NOT_FOUND, "no budget named " + budget));
            }
            return change.apply(state, account);
        };
    }

    private static Mutation<LedgerBook> onShare(String budget, String shareId, ShareChange change) {
        return onAccount(budget, (state, account) -> {
            int index = indexOf(account, shareId);
            if (index < 0) {
                return Either.left(Failure.ran(ErrorKind.SHARE_LOST, "share " + shareId + " is gone"));
            }
            return change.apply(state, account, index);
        });
    }

    private static Mutation<LedgerBook> onShares(Predicate<ShareState> which, UnaryOperator<ShareState> change) {
        return state -> {
            LedgerBook changed = state;
            for (AccountState account : state.accounts()) {
                if (account.getSharesList().stream().anyMatch(which)) {
                    changed = changed.with(changeShares(account, which, change));
                }
            }
            return Either.right(finalizeClosed(changed));
        };
    }

    private static AccountState changeShares(
            AccountState account, Predicate<ShareState> which, UnaryOperator<ShareState> change) {
        AccountState.Builder builder = account.toBuilder();
        for (int i = 0; i < account.getSharesCount(); i++) {
            if (which.test(account.getShares(i))) {
                builder.setShares(i, change.apply(account.getShares(i)));
            }
        }
        return builder.build();
    }
}
