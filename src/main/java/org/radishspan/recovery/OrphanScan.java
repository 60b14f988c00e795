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
 * Finds open shares of router processes whose end no other router has detected, for example because all routers were
 * restarted at the same time.
 *
 * <p>It also notifies holders of closed shares that have not released them yet. Each ledger is scanned only by the
 * router that combines its changes, so that the number of reads does not grow with the number of routers.
 */
public final class OrphanScan {

    /** Determines whether the process that opened a share has ended. */
    @FunctionalInterface
    public interface ProcessStatus {
        /** Returns whether another process runs on the VM, or the platform no longer lists the VM. */
        boolean ended(String vm, String incarnation);
    }

    /** Notifies a router process that holds a closed share. */
    @FunctionalInterface
    public interface HolderNotifier {
        /** Sends a holder the notification that a share in a ledger partition was closed. */
        void send(String holder, int partition);
    }

    private static final long SCAN_PERIOD_MILLIS = 10_000;

    private final LedgerPartitions ledgers;
    private final IntPredicate isCombiner;
    private final ProcessStatus processes;
    private final Consumer<String> onOrphan;
    private final HolderNotifier holderNotifier;
    private final Map<Integer, Set<String>> endedAtLastScan = new HashMap<>();
    private long nextScanAtMillis;
    private boolean refreshed;

    /**
     * Creates a scan.
     *
     * @param isCombiner whether this router combines the changes of the ledger partition with the given number
     * @param onOrphan receives the incarnation of each process that two successive scans found to have ended
     */
    public OrphanScan(
            LedgerPartitions ledgers,
            IntPredicate isCombiner,
            ProcessStatus processes,
            Consumer<String> onOrphan,
            HolderNotifier holderNotifier) {
        this.ledgers = ledgers;
        this.isCombiner = isCombiner;
        this.processes = processes;
        this.onOrphan = onOrphan;
        this.holderNotifier = holderNotifier;
    }

    /** Requests a read of the ledgers once per scan period, and scans the read state half a period later. */
    public void tick(long nowMillis) {
        if (nowMillis < nextScanAtMillis) {
            return;
        }
        nextScanAtMillis = nowMillis + SCAN_PERIOD_MILLIS / 2;
        for (int partition = 0; partition < ledgers.all().size(); partition++) {
            if (!isCombiner.test(partition)) {
                endedAtLastScan.remove(partition);
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
        Set<String> ended = new HashSet<>();
        for (AccountState account : book.accounts()) {
            for (ShareState share : account.getSharesList()) {
                if (share.getClosed()) {
                    notifyHolders(share, partition);
                } else if (processes.ended(share.getVm(), share.getIncarnation())) {
                    ended.add(share.getIncarnation());
                }
            }
        }
        reportOrphans(partition, ended);
    }

    private void notifyHolders(ShareState share, int partition) {
        for (HolderState holder : share.getHoldersList()) {
            if (!holder.getReleased()) {
                holderNotifier.send(holder.getIncarnation(), partition);
            }
        }
    }

    private void reportOrphans(int partition, Set<String> ended) {
        Set<String> endedBefore = endedAtLastScan.put(partition, ended);
        for (String incarnation : ended) {
            if (endedBefore != null && endedBefore.contains(incarnation)) {
                onOrphan.accept(incarnation);
            }
        }
    }
}
