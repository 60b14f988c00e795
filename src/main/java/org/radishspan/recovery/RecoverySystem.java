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
 * Closes router processes that have ended, and accounts for their bills.
 *
 * <p>The steps are:
 *
 * <ol>
 *   <li>Close the shares of the process in every ledger, so that later settlements by the process are refused.
 *   <li>Close the process in every journal, so that its later claims and outcomes are refused.
 *   <li>Add the bills that are recorded in the journals but not yet in the ledgers.
 * </ol>
 *
 * <p>A ledger returns the unspent tokens of a share to the account only after that, and after every holder has released
 * the share. Several routers may execute each step at the same time. A router may also close a process by mistake: such
 * a process loses its share, but no tokens are lost.
 */
public final class RecoverySystem {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private enum Step {
        CLOSE_LEDGERS,
        CLOSE_JOURNALS,
        POST_JOURNAL_BILLS,
        DONE
    }

    private static final class Recovery {
        private final String incarnation;
        private final long startAtMillis;
        private Step step = Step.CLOSE_LEDGERS;
        private int pendingMutations;
        private boolean stepInProgress;
        private final Map<Integer, LedgerBook> ledgers = new HashMap<>();
        private final List<JournalState> journals = new ArrayList<>();

        Recovery(String incarnation, long startAtMillis) {
            this.incarnation = incarnation;
            this.startAtMillis = startAtMillis;
        }
    }

    private final LedgerPartitions ledgers;
    private final JournalPartitions journals;
    private final Map<String, Recovery> recoveries = new HashMap<>();
    private long closedProcesses;

    /** Creates the system for all ledger and journal partitions; no recovery is in progress. */
    public RecoverySystem(LedgerPartitions ledgers, JournalPartitions journals) {
        this.ledgers = ledgers;
        this.journals = journals;
    }

    /** Returns the number of processes whose recovery this router has completed. */
    public long closedProcesses() {
        return closedProcesses;
    }

    /** Returns whether no recovery is pending or in progress. */
    public boolean idle() {
        return recoveries.values().stream().allMatch(recovery -> recovery.step == Step.DONE);
    }

    /**
     * Schedules the recovery of a process. A second call for the same process has no effect.
     *
     * @param startAtMillis the earliest time of the first step, in milliseconds
     */
    public void close(String incarnation, long startAtMillis) {
        recoveries.computeIfAbsent(incarnation, name -> new Recovery(name, startAtMillis));
    }

    /** Cancels the recovery of a process that is still running, unless the recovery has started. */
    public void cancel(String incarnation) {
        Recovery recovery = recoveries.get(incarnation);
        if (recovery != null && !recovery.stepInProgress && recovery.step == Step.CLOSE_LEDGERS) {
            recoveries.remove(incarnation);
        }
    }

    /** Starts the next step of every recovery that is due and has no step in progress. */
    public void tick(long nowMillis) {
        for (Recovery recovery : recoveries.values()) {
            if (recovery.step != Step.DONE && !recovery.stepInProgress && nowMillis >= recovery.startAtMillis) {
                recovery.stepInProgress = true;
                startStep(recovery);
            }
        }
    }

    private void startStep(Recovery recovery) {
        switch (recovery.step) {
            case CLOSE_LEDGERS -> closeLedgers(recovery);
            case CLOSE_JOURNALS -> closeJournals(recovery);
            case POST_JOURNAL_BILLS -> postJournalBills(recovery);
            default -> {}
        }
    }

    private void closeLedgers(Recovery recovery) {
        LOGGER.atInfo().log("closing shares and claims of ended router process %s", recovery.incarnation);
        recovery.pendingMutations = ledgers.all().size();
        for (int i = 0; i < ledgers.all().size(); i++) {
            int partition = i;
            ledgers.get(i).submit(Ledger.close(recovery.incarnation), result -> {
                result.peek(state -> recovery.ledgers.put(partition, state));
                onMutationDone(recovery, result, Step.CLOSE_JOURNALS);
            });
        }
    }

    private void closeJournals(Recovery recovery) {
        recovery.pendingMutations = journals.all().size();
        for (SharedObject<JournalState> journal : journals.all()) {
            journal.submit(Journal.close(recovery.incarnation), result -> {
                result.peek(recovery.journals::add);
                onMutationDone(recovery, result, Step.POST_JOURNAL_BILLS);
            });
        }
    }

    private void postJournalBills(Recovery recovery) {
        Map<String, List<KeyedBill>> bills = billsByShare(recovery);
        // One more than the submitted mutations, so that the step cannot end before all of them have been submitted.
        recovery.pendingMutations = 1;
        recovery.ledgers.forEach((partition, state) -> {
            for (AccountState account : state.accounts()) {
                for (ShareState share : account.getSharesList()) {
                    if (share.getIncarnation().equals(recovery.incarnation)) {
                        postJournalBillsOfShare(recovery, partition, account, share, bills);
                    }
                }
            }
        });
        onMutationDone(recovery, Either.right(recovery), Step.DONE);
    }

    private void postJournalBillsOfShare(
            Recovery recovery,
            int partition,
            AccountState account,
            ShareState share,
            Map<String, List<KeyedBill>> bills) {
        recovery.pendingMutations++;
        List<KeyedBill> shareBills = bills.getOrDefault(share.getShareId(), List.of());
        ledgers.get(partition)
                .submit(
                        Ledger.postJournalBills(account.getBudget(), share.getShareId(), shareBills),
                        result -> onMutationDone(recovery, result, Step.DONE));
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

    private void onMutationDone(Recovery recovery, Either<Failure, ?> result, Step next) {
        if (result.isLeft()) {
            // The mutations of a recovery are never refused. If one is refused nevertheless, the step is repeated.
            recovery.stepInProgress = false;
            return;
        }
        recovery.pendingMutations--;
        if (recovery.pendingMutations > 0) {
            return;
        }
        recovery.step = next;
        recovery.stepInProgress = false;
        if (next == Step.DONE) {
            LOGGER.atInfo().log("closed router process %s and posted its bills to the ledgers", recovery.incarnation);
            closedProcesses++;
            recovery.ledgers.clear();
            recovery.journals.clear();
        }
    }
}
