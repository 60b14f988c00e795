package org.radishspan.front;

import java.util.function.IntFunction;

import org.radishspan.budget.Accounts;
import org.radishspan.budget.LedgerBook;
import org.radishspan.budget.LedgerPartitions;
import org.radishspan.log.EventLog;
import org.radishspan.proto.AccountState;
import org.radishspan.store.SharedObject;

/**
 * Periodically logs how this router has used each ledger, and the state of the ledger's accounts. A ledger that is idle and
 * has had no calls since the last report is skipped.
 */
final class LedgerReport {
    /** Log interval. One line for each ledger and router in 5 s is less than a hundredth of the lines that requests log. */
    private static final long REPORT_MILLIS = 5_000;

    private final LedgerPartitions ledgers;
    private final IntFunction<String> combinerOf;
    private final EventLog log;
    private final long[] reportedCalls;
    private long nextReportAtMillis;

    /**
     * Creates the reports.
     *
     * @param combinerOf returns the VM that commits the changes of a ledger; empty text for this router
     */
    LedgerReport(LedgerPartitions ledgers, IntFunction<String> combinerOf, EventLog log) {
        this.ledgers = ledgers;
        this.combinerOf = combinerOf;
        this.log = log;
        this.reportedCalls = new long[ledgers.all().size()];
    }

    void tick(long nowMillis) {
        if (nowMillis < nextReportAtMillis) {
            return;
        }
        nextReportAtMillis = nowMillis + REPORT_MILLIS;
        for (int i = 0; i < reportedCalls.length; i++) {
            report(i, ledgers.get(i));
        }
    }

    private void report(int partition, SharedObject<LedgerBook> ledger) {
        SharedObject.Counters counters = ledger.counters();
        long calls = counters.reads() + counters.writes();
        if (calls == reportedCalls[partition] && ledger.idle()) {
            return;
        }
        reportedCalls[partition] = calls;
        log.belief("ledger_used")
                .with("ledger", ledger.key())
                .with("combiner", combinerOf.apply(partition))
                .with("reads", counters.reads())
                .with("writes", counters.writes())
                .with("conflicts", counters.conflicts())
                .with("unknown_outcomes", counters.unknownOutcomes())
                .with("changes_committed", counters.mutationsCommitted())
                .with("value_bytes", counters.valueBytes())
                .with("changes_waiting", ledger.queued())
                .write();
        LedgerBook book = ledger.state();
        if (book != null) {
            book.accounts().forEach(this::logAccount);
        }
    }

    private void logAccount(AccountState account) {
        log.belief("account")
                .with("budget", account.getBudget())
                .with("limit_tokens", account.getLimitTokens())
                .with("limit_version", account.getLimitVersion())
                .with("billed_tokens", Accounts.billedTokens(account))
                .with("free_tokens", Accounts.freeTokens(account))
                .with("forfeited_tokens", Accounts.forfeitedTokens(account))
                .with("shares", account.getSharesCount())
                .write();
    }
}
