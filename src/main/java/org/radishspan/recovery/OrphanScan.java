package org.radishspan.recovery;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

import org.radishspan.budget.LedgerBook;
import org.radishspan.budget.LedgerPartitions;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.HolderState;
import org.radishspan.proto.ShareState;
import org.radishspan.store.SharedObject;

/**
 * Finds open shares whose router process has ended without any other router noticing, as when all are restarted at once.
 *
 * <p>It also reminds holders of closed shares that have not said yet that they keep nothing. Each ledger is looked through by the router that combines its changes, so that the reads do not grow with the fleet.
 */
public final class OrphanScan {

    /** What is known of the process that took a share. */
    @FunctionalInterface
    public interface ProcessView {
        /** Returns whether another process runs on the VM, or the platform does not list the VM any more. */
        boolean ended(String vm, String incarnation);
    }

    /** Asks a router process to look at a ledger. */
    @FunctionalInterface
    public interface HolderNotice {
        /** Tells a holder that a share in a ledger was closed. */
        void send(String holder, int partition);
    }

    private static final long SCAN_MILLIS = 10_000;

    private final LedgerPartitions ledgers;
    private final IntPredicate mine;
    private final ProcessView processes;
    private final Consumer<String> onOrphan;
    private final HolderNotice holderNotice;
    private final Map<Integer, Set<String>> suspects = new HashMap<>();
    private long nextScanAtMillis;
    private boolean refreshed;

    /** Creates a scan; {@code onOrphan} receives each process that two scans in a row found to have ended. */
    public OrphanScan(
            LedgerPartitions ledgers,
            IntPredicate mine,
            ProcessView processes,
            Consumer<String> onOrphan,
            HolderNotice holderNotice) {
        this.ledgers = ledgers;
        this.mine = mine;
        this.processes = processes;
        this.onOrphan = onOrphan;
        this.holderNotice = holderNotice;
    }

    /** Reads the ledgers now and then, and looks through them half a period later. */
    public void tick(long nowMillis) {
        if (nowMillis < nextScanAtMillis) {
            return;
        }
        nextScanAtMillis = nowMillis + SCAN_MILLIS / 2;
        for (int partition = 0; partition < ledgers.all().size(); partition++) {
            if (!mine.test(partition)) {
                suspects.remove(partition);
            } else if (refreshed) {
                scan(partition);
            } else {
                ledgers.get(partition).refresh();
            }
        }
        refreshed = !refreshed;
    }

    private void scan(int partition) {
        SharedObject<LedgerBook> ledger = ledgers.get(partition);
        LedgerBook book = ledger.state();
        if (book == null) {
            return;
        }
        Set<String> found = new HashSet<>();
        for (AccountState account : book.accounts()) {
            for (ShareState share : account.getSharesList()) {
                if (share.getClosed()) {
                    notifyHolders(share, partition);
                } else if (processes.ended(share.getVm(), share.getIncarnation())) {
                    found.add(share.getIncarnation());
                }
            }
        }
        report(partition, found);
    }

    private void notifyHolders(ShareState share, int partition) {
        for (HolderState holder : share.getHoldersList()) {
            if (!holder.getReleased()) {
                holderNotice.send(holder.getIncarnation(), partition);
            }
        }
    }

    private void report(int partition, Set<String> found) {
        Set<String> before = suspects.put(partition, found);
        for (String incarnation : found) {
            if (before != null && before.contains(incarnation)) {
                onOrphan.accept(incarnation);
            }
        }
    }
}
