package org.radishspan.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import org.radishspan.budget.Ledger;
import org.radishspan.budget.Ledger.KeyedBill;
import org.radishspan.budget.LedgerBook;
import org.radishspan.budget.LedgerPartitions;
import org.radishspan.error.Failure;
import org.radishspan.journal.Journal;
import org.radishspan.journal.JournalPartitions;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.BillState;
import org.radishspan.proto.IntentState;
import org.radishspan.proto.JournalState;
import org.radishspan.proto.ShareState;
import org.radishspan.store.SharedObject;

/**
 * Closes router processes that are gone.
 *
 * <p>The steps are: close the process's shares in every ledger, so that its own reports are refused; close it in every
 * journal, so that its outcomes are; then add the bills that journals hold and the ledger does not know. Only after
 * that, and after every holder has released the shares, does the ledger give their unspent rest back. Each step may be
 * taken by several routers at once, and by a router that is wrong: a process closed by mistake loses its share, never
 * a token.
 */
public final class RecoverySystem {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private enum Step {
        CLOSE_LEDGERS,
        CLOSE_JOURNALS,
        SWEEP,
        DONE
    }

    private static final class Recovery {
        private final String incarnation;
        private final long startAtMillis;
        private Step step = Step.CLOSE_LEDGERS;
        private int outstanding;
        private boolean submitted;
        private final Map<Integer, LedgerBook> ledgers = new HashMap<>();
        private final List<JournalState> journals = new ArrayList<>();

        Recovery(String incarnation, long startAtMillis) {
            this.incarnation = incarnation;
            this.startAtMillis = startAtMillis;
        }
    }

    private final LedgerPartitions ledgers;
    private final JournalPartitions journals;
    private final Map<String, Recovery> rows = new HashMap<>();
    private long closedProcesses;

    /** Creates the system. */
    public RecoverySystem(LedgerPartitions ledgers, JournalPartitions journals) {
        this.ledgers = ledgers;
        this.journals = journals;
    }

    /** Returns the processes whose recovery this router has carried through. */
    public long closedProcesses() {
        return closedProcesses;
    }

    /** Returns whether nothing is in progress. */
    public boolean idle() {
        return rows.values().stream().allMatch(row -> row.step == Step.DONE);
    }

    /** Closes a process from a point in time on; a second call for the same process changes nothing. */
    public void close(String incarnation, long startAtMillis) {
        rows.computeIfAbsent(incarnation, name -> new Recovery(name, startAtMillis));
    }

    /** Forgets a process that turned out to be alive, unless its recovery has begun. */
    public void cancel(String incarnation) {
        Recovery recovery = rows.get(incarnation);
        if (recovery != null && !recovery.submitted && recovery.step == Step.CLOSE_LEDGERS) {
            rows.remove(incarnation);
        }
    }

    /** Takes the next step of every recovery. */
    public void tick(long nowMillis) {
        for (Recovery recovery : rows.values()) {
            if (recovery.step != Step.DONE && !recovery.submitted && nowMillis >= recovery.startAtMillis) {
                recovery.submitted = true;
                begin(recovery);
            }
        }
    }

    private void begin(Recovery recovery) {
        switch (recovery.step) {
            case CLOSE_LEDGERS -> closeLedgers(recovery);
            case CLOSE_JOURNALS -> closeJournals(recovery);
            case SWEEP -> sweep(recovery);
            default -> {}
        }
    }

    private void closeLedgers(Recovery recovery) {
        LOGGER.atInfo().log("closing router process %s, which has ended", recovery.incarnation);
        recovery.outstanding = ledgers.all().size();
        for (int i = 0; i < ledgers.all().size(); i++) {
            int partition = i;
            ledgers.get(i).submit(Ledger.close(recovery.incarnation), result -> {
                result.peek(state -> recovery.ledgers.put(partition, state));
                onStepPart(recovery, result, Step.CLOSE_JOURNALS);
            });
        }
    }

    private void closeJournals(Recovery recovery) {
        recovery.outstanding = journals.all().size();
        for (SharedObject<JournalState> journal : journals.all()) {
            journal.submit(Journal.close(recovery.incarnation), result -> {
                result.peek(recovery.journals::add);
                onStepPart(recovery, result, Step.SWEEP);
            });
        }
    }

    private void sweep(Recovery recovery) {
        Map<String, List<KeyedBill>> bills = billsByShare(recovery);
        recovery.outstanding = 1;
        recovery.ledgers.forEach((partition, state) -> {
            for (AccountState account : state.accounts()) {
                for (ShareState share : account.getSharesList()) {
                    if (share.getIncarnation().equals(recovery.incarnation)) {
                        sweepShare(recovery, partition, account, share, bills);
                    }
                }
            }
        });
        onStepPart(recovery, Either.right(recovery), Step.DONE);
    }

    private void sweepShare(
            Recovery recovery,
            int partition,
            AccountState account,
            ShareState share,
            Map<String, List<KeyedBill>> bills) {
        recovery.outstanding++;
        List<KeyedBill> found = bills.getOrDefault(share.getShareId(), List.of());
        ledgers.get(partition)
                .submit(
                        Ledger.sweepJournals(account.getBudget(), share.getShareId(), found),
                        result -> onStepPart(recovery, result, Step.DONE));
    }

    private static Map<String, List<KeyedBill>> billsByShare(Recovery recovery) {
        Map<String, List<KeyedBill>> result = new HashMap<>();
        for (JournalState journal : recovery.journals) {
            for (IntentState intent : journal.getIntentsMap().values()) {
                if (intent.hasBill()) {
                    BillState bill = intent.getBill();
                    result.computeIfAbsent(bill.getShareId(), ignored -> new ArrayList<>())
                            .add(new KeyedBill(bill.getKeyedSeq(), bill.getTokens()));
                }
            }
        }
        return result;
    }

    private void onStepPart(Recovery recovery, Either<Failure, ?> result, Step next) {
        if (result.isLeft()) {
            // No mutation of a recovery is refused; should one be, the step is taken again.
            recovery.submitted = false;
            return;
        }
        recovery.outstanding--;
        if (recovery.outstanding > 0) {
            return;
        }
        recovery.step = next;
        recovery.submitted = false;
        if (next == Step.DONE) {
            LOGGER.atInfo().log("closed router process %s and counted its bills", recovery.incarnation);
            closedProcesses++;
            recovery.ledgers.clear();
            recovery.journals.clear();
        }
    }
}
