package org.radishspan.budget;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.radishspan.budget.LedgerBook.Version;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.CommittedMark;
import org.radishspan.proto.RestorationState;
import org.radishspan.proto.RouterReport;
import org.radishspan.proto.ShareReport;
import org.radishspan.proto.ShareState;
import org.radishspan.proto.SpendingBound;
import org.radishspan.store.SharedObject.Mutation;
import org.radishspan.store.StoreEra;

/**
 * Restores a ledger whose latest versions the store has lost because it came back from an older copy.
 *
 * <p>The ledger accepts no other change until the restoration has ended, because a grant could give out tokens that routers
 * hold already. Each lost fact is known twice. The router that committed the last changes has the whole content, which
 * replaces that of the copy. Each router reports its own shares, which are exact, and the tokens that each budget had
 * committed when it last heard of that. Tokens that had been committed and are held by nobody who reports count as lost, and
 * so do all free tokens of a budget of which no running router knows more than the copy.
 */
public final class LedgerRestoration {
    /** Copies are some seconds old. */
    private static final long MAX_COPY_AGE_SECONDS = 10;

    private LedgerRestoration() {}

    /**
     * Returns the content that replaces the stored one. Begins a restoration if the stored content is of an earlier era, or
     * older than one that was committed before. If a restoration is in progress and this router knows a later content than
     * the one that is restored, that content takes its place.
     *
     * @param stored the content in the store
     * @param known the latest content that this router knows to have been committed; null if it knows none
     * @param era the era of the store; with an unknown era the stored content is returned
     * @return the stored instance if nothing has to be restored
     */
    public static LedgerBook reconcile(LedgerBook stored, @Nullable LedgerBook known, long era) {
        if (era == StoreEra.UNKNOWN) {
            return stored;
        }
        LedgerBook latest = known == null ? LedgerBook.EMPTY : known;
        LedgerBook book = stored;
        boolean storedIsOlder = contentVersion(latest).isLaterThan(contentVersion(stored));
        if (storedIsOlder) {
            book = stored.isBeingRestored() ? rebase(stored, latest) : latest;
        }
        if (book.version().era() == era && (!storedIsOlder || book.isBeingRestored())) {
            return book;
        }
        boolean baseKnown = storedIsOlder || contentVersion(latest).equals(contentVersion(stored));
        return begin(book, stored, era, baseKnown);
    }

    /** Returns the version of the accounts of a book. During a restoration that is the version that is restored. */
    private static Version contentVersion(LedgerBook book) {
        return book.isBeingRestored() ? baseVersion(book.restoration()) : book.version();
    }

    private static Version baseVersion(RestorationState restoration) {
        return new Version(
                restoration.hasBaseEra() ? restoration.getBaseEra() : StoreEra.UNKNOWN,
                restoration.getBaseGeneration());
    }

    private static RestorationState.Builder withBase(RestorationState restoration, Version base) {
        RestorationState.Builder builder = restoration.toBuilder().setBaseGeneration(base.generation());
        return base.era() == StoreEra.UNKNOWN ? builder.clearBaseEra() : builder.setBaseEra(base.era());
    }

    private static LedgerBook rebase(LedgerBook stored, LedgerBook known) {
        RestorationState restoration = withBase(stored.restoration(), contentVersion(known))
                .setBaseKnown(true)
                .build();
        long generation =
                Math.max(stored.version().generation(), known.version().generation());
        return known.with(new Version(stored.version().era(), generation)).with(restoration);
    }

    /** Begins a restoration. One that a second loss interrupted keeps its reports until its routers have reported again. */
    private static LedgerBook begin(LedgerBook book, LedgerBook stored, long era, boolean baseKnown) {
        long lastRound =
                Math.max(book.restoration().getRound(), stored.restoration().getRound());
        RestorationState restoration = withBase(book.restoration(), contentVersion(book))
                .setRound(lastRound + 1)
                .setFinished(false)
                .setBaseKnown(baseKnown)
                .build();
        return book.with(new Version(era, book.version().generation())).with(restoration);
    }

    /**
     * Adds a report to a restoration in progress, in place of an earlier one of the same router process. Applies it at once if
     * the restoration has ended: the router may have spent what it pledged, but keeps of the rest of its grants only what is
     * still free.
     */
    static Mutation<LedgerBook> report(RouterReport report) {
        return state ->
                Either.right(state.isBeingRestored() ? withReport(state, report) : withLateReport(state, report));
    }

    private static LedgerBook withReport(LedgerBook state, RouterReport report) {
        RestorationState.Builder builder = state.restoration().toBuilder();
        for (int i = 0; i < builder.getReportsCount(); i++) {
            if (!builder.getReports(i).getIncarnation().equals(report.getIncarnation())) {
                continue;
            }
            if (builder.getReports(i).getReportSeq() >= report.getReportSeq()) {
                return state;
            }
            return state.with(builder.setReports(i, report).build());
        }
        return state.with(builder.addReports(report).build());
    }

    private static LedgerBook withLateReport(LedgerBook state, RouterReport report) {
        LedgerBook result = state;
        for (ShareReport reported : report.getSharesList()) {
            ShareState share = reported.getShare();
            AccountState account = accountOrNew(result, reported.getBudget());
            int index = Ledger.indexOf(account, share.getShareId());
            ShareState before = index < 0 ? ShareState.getDefaultInstance() : account.getShares(index);
            if (before.getRequestSeq() >= share.getRequestSeq() || before.getClosed()) {
                continue;
            }
            long freeTokens = Accounts.freeTokens(account) + before.getGrantedTokens();
            long grantedTokens = Math.min(share.getGrantedTokens(), Math.max(reported.getPledgedTokens(), freeTokens));
            result = result.with(withShare(
                    account,
                    index,
                    share.toBuilder().setGrantedTokens(grantedTokens).build()));
        }
        return result;
    }

    private static AccountState accountOrNew(LedgerBook state, String budget) {
        // A limit of version 0 is replaced as soon as a router adopts the one of its configuration.
        return state.find(budget)
                .orElseGet(() -> AccountState.newBuilder()
                        .setBudget(budget)
                        .setReclaim(ReclaimMode.OPERATOR.wireName())
                        .build());
    }

    private static AccountState withShare(AccountState account, int index, ShareState reported) {
        if (index < 0) {
            return account.toBuilder().addShares(reported).build();
        }
        ShareState before = account.getShares(index);
        ShareState merged = reported.toBuilder()
                .setSpentTokens(Math.max(before.getSpentTokens(), reported.getSpentTokens()))
                .setKeyedSpentTokens(Math.max(before.getKeyedSpentTokens(), reported.getKeyedSpentTokens()))
                .build();
        return account.toBuilder().setShares(index, merged).build();
    }

    /**
     * Ends a restoration: applies all reports and puts the ledger in force. Does nothing if another round is in progress.
     *
     * @param round the round that ends
     */
    static Mutation<LedgerBook> finish(long round) {
        return state -> {
            boolean inProgress = state.isBeingRestored() && state.restoration().getRound() == round;
            return Either.right(inProgress ? finished(state) : state);
        };
    }

    private static LedgerBook finished(LedgerBook state) {
        RestorationState restoration = state.restoration();
        Set<String> reporters = new HashSet<>();
        Map<String, ShareReport> reportedShares = new HashMap<>();
        for (RouterReport report : restoration.getReportsList()) {
            reporters.add(report.getIncarnation());
            report.getSharesList()
                    .forEach(share -> reportedShares.put(share.getShare().getShareId(), share));
        }
        Map<String, CommittedMark> marks = latestMarks(restoration);
        Set<String> knownBudgets = new HashSet<>(marks.keySet());
        reportedShares.values().stream()
                .filter(share -> share.getShare().getGrantedTokens() > 0)
                .forEach(share -> knownBudgets.add(share.getBudget()));
        boolean firstEra = !restoration.hasBaseEra();
        LedgerBook result = state;
        for (AccountState account : state.accounts()) {
            AccountState reported = withReportedShares(account, reporters, reportedShares);
            boolean known = firstEra || restoration.getBaseKnown() || knownBudgets.contains(account.getBudget());
            result = result.with(known ? reported : withoutFreeTokens(reported));
        }
        for (ShareReport reported : reportedShares.values()) {
            AccountState account = accountOrNew(result, reported.getBudget());
            if (Ledger.indexOf(account, reported.getShare().getShareId()) < 0) {
                result = result.with(withShare(account, -1, reported.getShare()));
            }
        }
        for (CommittedMark mark : marks.values()) {
            result = result.with(withUnreportedTokens(accountOrNew(result, mark.getBudget()), mark));
        }
        RestorationState ended =
                restoration.toBuilder().clearReports().setFinished(true).build();
        return Ledger.finalizeClosed(result.with(ended));
    }

    /** Replaces the shares of routers that reported. Those that their router no longer has are closed. */
    private static AccountState withReportedShares(
            AccountState account, Set<String> reporters, Map<String, ShareReport> reportedShares) {
        AccountState result = account;
        long lostTokens = 0;
        for (int i = 0; i < account.getSharesCount(); i++) {
            ShareState share = account.getShares(i);
            ShareReport reported = reportedShares.get(share.getShareId());
            if (reported != null && !share.getClosed()) {
                if (reported.getShare().getRequestSeq() >= share.getRequestSeq()) {
                    result = withShare(result, i, reported.getShare());
                }
                continue;
            }
            boolean reporter = reporters.contains(share.getIncarnation());
            lostTokens += reporter ? 0 : unknownTokens(share);
            // The router may have stated a later bound since.
            ShareState kept = share.toBuilder()
                    .setClosed(share.getClosed() || reporter)
                    .setBound(SpendingBound.getDefaultInstance())
                    .setDemandTokensPerSecond(0)
                    .build();
            result = result.toBuilder().setShares(i, kept).build();
        }
        return withLostTokens(result, Math.min(lostTokens, Math.max(0, Accounts.freeTokens(result))));
    }

    /**
     * Returns the tokens that a router which did not report may have been granted and have spent since the copy was made: the
     * demand of that time or, as long as little demand had been measured, as much again as the share holds.
     */
    private static long unknownTokens(ShareState share) {
        return Math.max(share.getDemandTokensPerSecond() * MAX_COPY_AGE_SECONDS, share.getGrantedTokens());
    }

    /**
     * Counts all free tokens of an account as lost. No running router knows what was granted since the copy was made, so that
     * any of them may have been spent.
     */
    private static AccountState withoutFreeTokens(AccountState account) {
        return withLostTokens(account, Math.max(0, Accounts.freeTokens(account)));
    }

    /** Returns the latest mark of each budget among those later than the content that is restored. */
    private static Map<String, CommittedMark> latestMarks(RestorationState restoration) {
        Map<String, CommittedMark> latest = new HashMap<>();
        Version base = baseVersion(restoration);
        for (RouterReport report : restoration.getReportsList()) {
            for (CommittedMark mark : report.getMarksList()) {
                CommittedMark best = latest.get(mark.getBudget());
                Version bestVersion = best == null ? base : Version.of(best);
                if (Version.of(mark).isLaterThan(bestVersion)) {
                    latest.put(mark.getBudget(), mark);
                }
            }
        }
        return latest;
    }

    private static AccountState withUnreportedTokens(AccountState account, CommittedMark mark) {
        return withLostTokens(account, Math.max(0, mark.getCommittedTokens() - Accounts.committedTokens(account)));
    }

    private static AccountState withLostTokens(AccountState account, long tokens) {
        return account.toBuilder()
                .setClosedSpentTokens(account.getClosedSpentTokens() + tokens)
                .setLostTokens(account.getLostTokens() + tokens)
                .build();
    }

    /** Returns the router processes whose reports a restoration in progress has. */
    static List<String> reporters(LedgerBook state) {
        return state.restoration().getReportsList().stream()
                .map(RouterReport::getIncarnation)
                .toList();
    }
}
