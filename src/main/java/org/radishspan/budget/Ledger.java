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
 * <p>In every committed version, the billed tokens of removed shares and the grants of the present ones together stay within
 * the limit of each account, unless a configuration lowers a limit below the tokens already granted. A router spends only
 * tokens of a committed grant. Faults of clocks, connections and processes therefore cannot make the billed tokens exceed
 * the limit.
 *
 * <p>Running totals and per-share sequence numbers make each mutation idempotent: applying one again changes nothing.
 */
public final class Ledger {
    /** Decodes and encodes a ledger object. */
    public static final Codec<LedgerBook> CODEC = new Codec<>(LedgerBook::decode, LedgerBook::encode);

    /** The sequence number of the first request of a share, which creates the share. */
    public static final long FIRST_REQUEST = 1;

    private Ledger() {}

    /**
     * A request of a router for tokens of its share.
     *
     * @param shareId the id of the share, which is new with each router process
     * @param incarnation the router process
     * @param vm the VM it runs on
     * @param requestSeq the sequence number of the request, counted per share
     * @param tokens the additional tokens that would cover the expected demand
     * @param minimumTokens the smallest useful grant; nothing is granted if fewer tokens are available
     * @param waitingTokens the tokens that all waiting calls need together; the rest of the request only fills the share up
     * @param demandTokensPerSecond the demand that the router measures
     * @param holders the router processes that may hold unposted bills of this share
     * @param bound the spending bound that the router states; its validity is 0 if it states none
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
     * A report of the bills of a share as running totals.
     *
     * @param shareId the share
     * @param settleSeq the sequence number of the report
     * @param spentTokens the sum of all bills without an idempotency key
     * @param keyedSeq all bills with an idempotency key up to this number are contained in {@code keyedSpentTokens} or void
     * @param keyedSpentTokens the sum of all bills with an idempotency key up to {@code keyedSeq}
     * @param bound the spending bound that the router states; its validity is 0 if it states none
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

    /**
     * Grants tokens to a share, as many as the rule allows, and creates the share with its first request. If the rule allows
     * fewer than the requested minimum, nothing is granted and the minimum is recorded as wanted.
     */
    public static Mutation<LedgerBook> grant(String budget, GrantRequest request, GrantRule rule) {
        return onAccount(budget, (state, account) -> {
            int index = indexOf(account, request.shareId());
            if (index < 0 && request.requestSeq() > FIRST_REQUEST) {
                return Either.left(
                        Failure.ran(ErrorKind.SHARE_LOST, "share " + request.shareId() + " is not in the ledger"));
            }
            ShareState share = index < 0 ? newShare(request) : account.getShares(index);
            if (share.getRequestSeq() >= request.requestSeq()) {
                return Either.right(state);
            }
            if (share.getClosed()) {
                return Either.left(shareClosed(request.shareId()));
            }
            long grantedTokens = Math.max(0, rule.grantTokens(Accounts.freeTokens(account), account, request));
            boolean meetsMinimum = grantedTokens >= request.minimumTokens();
            ShareState changed = share.toBuilder()
                    .setRequestSeq(request.requestSeq())
                    .setGrantedTokens(share.getGrantedTokens() + (meetsMinimum ? grantedTokens : 0))
                    .setWantedTokens(meetsMinimum ? 0 : request.minimumTokens())
                    .setDemandTokensPerSecond(request.demandTokensPerSecond())
                    .build();
            ShareState bounded = withBound(changed, request.bound());
            return Either.right(putShare(state, account, index, withHolders(bounded, request.holders())));
        });
    }

    /** Gives tokens of a share back. The router has deducted them from its share before it sends the request. */
    public static Mutation<LedgerBook> giveBack(
            String budget, String shareId, long requestSeq, long tokens, long demandTokensPerSecond) {
        return onShare(budget, shareId, (state, account, index) -> {
            ShareState share = account.getShares(index);
            if (share.getRequestSeq() >= requestSeq) {
                return Either.right(state);
            }
            if (share.getClosed()) {
                // The tokens may already have been freed when the share was closed.
                return Either.left(shareClosed(shareId));
            }
            ShareState reduced = share.toBuilder()
                    .setRequestSeq(requestSeq)
                    .setGrantedTokens(share.getGrantedTokens() - tokens)
                    .setWantedTokens(0)
                    .setDemandTokensPerSecond(demandTokensPerSecond)
                    .build();
            ShareState changed = withBound(reduced, SpendingBound.getDefaultInstance());
            if (changed.getGrantedTokens() < Accounts.spentTokens(changed)) {
                return Either.left(Failure.notRun(
                        ErrorKind.INTERNAL, "share " + shareId + " cannot give back tokens that are already billed"));
            }
            return Either.right(putShare(state, account, index, changed));
        });
    }

    /** Raises the running totals of an open share to those reported by its own router. */
    public static Mutation<LedgerBook> settle(String budget, Settlement settlement) {
        return onShare(budget, settlement.shareId(), (state, account, index) -> {
            ShareState share = account.getShares(index);
            if (share.getSettleSeq() >= settlement.settleSeq()) {
                return Either.right(state);
            }
            if (share.getClosed()) {
                return Either.left(shareClosed(settlement.shareId()));
            }
            return raiseTotals(state, account, index, settlement);
        });
    }

    /** Raises the running totals of a share to those reported by a holder, even if the share is closed. */
    public static Mutation<LedgerBook> settleHeld(String budget, String holder, Settlement settlement) {
        return onShare(budget, settlement.shareId(), (state, account, index) -> {
            ShareState share = account.getShares(index);
            if (share.getSettleSeq() >= settlement.settleSeq()) {
                return Either.right(state);
            }
            if (!isUnreleasedHolder(share, holder)) {
                return Either.left(Failure.notRun(
                        ErrorKind.SHARE_LOST,
                        holder + " is not, or is no longer, a holder of share " + settlement.shareId()));
            }
            return raiseTotals(state, account, index, settlement);
        });
    }

    private static Either<Failure, LedgerBook> raiseTotals(
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
                    ErrorKind.INTERNAL,
                    "share " + settlement.shareId() + " would be billed for more tokens than it was granted"));
        }
        return Either.right(putShare(state, account, index, withBound(changed, settlement.bound())));
    }

    /** Returns the share with the most recently stated bound in force, limited to the grant. */
    private static ShareState withBound(ShareState share, SpendingBound stated) {
        SpendingBound current = share.getBound();
        if (stated.getValidMillis() == 0 && current.getValidMillis() == 0) {
            return share;
        }
        // Of two bounds of the same time the first one stays in force, because its router may already have received the
        // response that confirms it.
        SpendingBound latest = stated.getAtMillis() > current.getAtMillis() ? stated : current;
        long usableTokens = Math.min(latest.getUsableTokens(), share.getGrantedTokens());
        return share.toBuilder()
                .setBound(latest.toBuilder().setUsableTokens(usableTokens))
                .build();
    }

    /** Closes every share of a router process that is considered dead. Its own reports are refused from then on. */
    public static Mutation<LedgerBook> close(String incarnation) {
        return onShares(
                share -> share.getIncarnation().equals(incarnation) && !share.getClosed(),
                share -> share.toBuilder().setClosed(true).build());
    }

    /**
     * The start of a router process. Every earlier process on its VM has ended by then.
     *
     * @param vm the name of the VM
     * @param incarnation the id of the process
     * @param bootId the id of the current boot of the VM; 0 if it is not known
     * @param startMillis the time of the start on the steady clock of that boot
     */
    public record ProcessStart(String vm, String incarnation, long bootId, long startMillis) {}

    /**
     * Closes the shares of every earlier process on a VM, as only one process runs there at a time. If the spending bound of
     * the ended process was still valid when the new one started, the tokens beyond the bound cannot have been spent and are
     * freed.
     */
    public static Mutation<LedgerBook> closeEarlierShares(ProcessStart start) {
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
     * A bill that was committed by a journal.
     *
     * @param keyedSeq its sequence number among the share's bills with an idempotency key
     * @param tokens the billed tokens
     */
    public record KeyedBill(long keyedSeq, long tokens) {}

    /** Adds the bills found in the closed journals to a closed share. The bills are added to a share only once. */
    public static Mutation<LedgerBook> postJournalBills(String budget, String shareId, List<KeyedBill> bills) {
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

    /** Records that a holder has posted all bills of closed shares that it held, and accepts no more of them. */
    public static Mutation<LedgerBook> release(String holder, List<String> shareIds) {
        return onShares(
                share -> shareIds.contains(share.getShareId()) && isUnreleasedHolder(share, holder),
                share -> withReleased(share, holder));
    }

    /** Removes a share whose router has no outstanding bills or reservations of it, after its last settlement. */
    public static Mutation<LedgerBook> retire(String budget, Settlement lastSettlement) {
        return state -> {
            AccountState account = state.account(budget);
            int index = account == null ? -1 : indexOf(account, lastSettlement.shareId());
            if (account == null || index < 0) {
                return Either.right(state);
            }
            if (account.getShares(index).getSettleSeq() > lastSettlement.settleSeq()) {
                // The router has reported the share to a restored ledger since, and may use it again.
                return Either.right(state);
            }
            return raiseTotals(state, account, index, lastSettlement)
                    .map(settled -> removeShare(settled, budget, lastSettlement.shareId()));
        };
    }

    /**
     * Removes closed shares that can receive no more bills, and returns their unspent tokens to the account. Other closed
     * shares, and all closed shares of accounts with {@link ReclaimMode#OPERATOR}, remain if the limit was set by an
     * operator. If it comes from a configuration, they are removed at once and their unspent tokens are counted as lost.
     */
    public static LedgerBook finalizeClosed(LedgerBook state) {
        LedgerBook result = state;
        for (AccountState account : state.accounts()) {
            for (ShareState share : account.getSharesList()) {
                if (canBeRemoved(account, share)) {
                    result = removeShare(result, account.getBudget(), share.getShareId());
                } else if (share.getClosed() && account.getLimitVersion() > 0) {
                    result = writeOffShare(result, account.getBudget(), share.getShareId());
                }
            }
        }
        return result;
    }

    private static boolean canBeRemoved(AccountState account, ShareState share) {
        return share.getClosed()
                && share.getJournalsSwept()
                && share.getHoldersList().stream().allMatch(HolderState::getReleased)
                && !account.getReclaim().equals(ReclaimMode.OPERATOR.wireName());
    }

    /** Returns a share of an account; empty if there is no such account or share. */
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

    private static boolean isUnreleasedHolder(ShareState share, String holder) {
        return share.getHoldersList().stream()
                .anyMatch(candidate -> candidate.getIncarnation().equals(holder) && !candidate.getReleased());
    }

    /** Removes a closed share and counts its whole grant as spent, because no operator releases its unspent tokens. */
    private static LedgerBook writeOffShare(LedgerBook state, String budget, String shareId) {
        AccountState account = state.find(budget).orElseThrow();
        ShareState share = account.getShares(indexOf(account, shareId));
        long lostTokens = share.getGrantedTokens() - Accounts.spentTokens(share);
        return removeShare(
                state.with(account.toBuilder()
                        .setClosedSpentTokens(account.getClosedSpentTokens() + lostTokens)
                        .setLostTokens(account.getLostTokens() + lostTokens)
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

    private static Failure shareClosed(String shareId) {
        return Failure.ran(ErrorKind.SHARE_LOST, "share " + shareId + " is closed in the ledger");
    }

    /** A change of one share of an account. */
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
                return Either.left(Failure.ran(ErrorKind.SHARE_LOST, "share " + shareId + " is not in the ledger"));
            }
            return change.apply(state, account, index);
        });
    }

    private static Mutation<LedgerBook> onShares(Predicate<ShareState> filter, UnaryOperator<ShareState> change) {
        return state -> {
            LedgerBook changed = state;
            for (AccountState account : state.accounts()) {
                if (account.getSharesList().stream().anyMatch(filter)) {
                    changed = changed.with(changeShares(account, filter, change));
                }
            }
            return Either.right(finalizeClosed(changed));
        };
    }

    private static AccountState changeShares(
            AccountState account, Predicate<ShareState> filter, UnaryOperator<ShareState> change) {
        AccountState.Builder builder = account.toBuilder();
        for (int i = 0; i < account.getSharesCount(); i++) {
            if (filter.test(account.getShares(i))) {
                builder.setShares(i, change.apply(account.getShares(i)));
            }
        }
        return builder.build();
    }
}
