package org.radishspan.budget;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.radishspan.log.EventLog;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.LedgerResult;
import org.radishspan.proto.RouterReport;
import org.radishspan.proto.ShareReport;
import org.radishspan.proto.ShareState;
import org.radishspan.store.SharedObject;
import org.radishspan.store.StoreEra;

/**
 * Restores ledgers after the store has come back from an older copy: reports what this router knows, and ends the restoration
 * of the ledgers that it commits.
 *
 * <p>A restoration ends when every router that may still spend has reported. A router that is silent stops spending when its
 * shares have not been confirmed for a time, and the restoration waits as long for it.
 */
public final class RestorationSystem {

    /** What a router knows of the other router processes. */
    public interface Routers {
        /** Returns the processes from which this router has received a message within the given time. */
        Set<String> receivedWithin(long millis);

        /** Returns whether a process may be running, although it may have been silent for less than the given time. */
        boolean mayBeRunning(String vm, String incarnation, long silentMillis);

        /** Asks a process, possibly this one, to report what it knows of a ledger; the message may be lost. */
        void requestReport(String incarnation, int partition);
    }

    /**
     * The dependencies of the system.
     *
     * @param storeEra the era of the store
     * @param routers what this router knows of the others
     * @param onReport called before each report, because what this router has written to the ledgers may be lost
     * @param log the structured log
     */
    public record Ports(StoreEra storeEra, Routers routers, Runnable onReport, EventLog log) {}

    /** A restoration lasts at least so long, so that routers of which this one does not know can report. */
    private static final long MIN_RESTORATION_MILLIS = 300;

    /** Time between two requests to the same routers for their reports, and between two reports of the same ledger. */
    private static final long REQUEST_INTERVAL_MILLIS = 200;

    /** A silent router may have sent its last confirmed change so long before it arrived. */
    private static final long SILENCE_MARGIN_MILLIS = 2_000;

    private final ShareSystem.Identity identity;
    private final StoreEra storeEra;
    private final LedgerGateway gateway;
    private final ShareSystem shares;
    private final Routers routers;
    private final Runnable onReport;
    private final EventLog log;
    private final Partition[] partitions;
    private final long maxSilentMillis;
    private long reportedEra = StoreEra.UNKNOWN;
    private long reportSeq;
    private long nowMillis;

    /** The progress of this router with the restoration of one ledger. */
    private static final class Partition {
        private boolean reportRequested;
        private boolean reportInFlight;
        private long nextReportAtMillis;
        private long round;
        private long roundSeenAtMillis;
        private long nextRequestAtMillis;
        private boolean finishing;
    }

    /**
     * Creates the system.
     *
     * @param maxUnconfirmedMillis how long a router spends a share that the ledger does not confirm
     */
    public RestorationSystem(
            ShareSystem.Identity identity,
            LedgerGateway gateway,
            ShareSystem shares,
            Ports ports,
            long maxUnconfirmedMillis) {
        this.identity = identity;
        this.storeEra = ports.storeEra();
        this.gateway = gateway;
        this.shares = shares;
        this.routers = ports.routers();
        this.maxSilentMillis = maxUnconfirmedMillis + SILENCE_MARGIN_MILLIS;
        this.onReport = ports.onReport();
        this.log = ports.log();
        this.partitions = new Partition[gateway.ledgers().all().size()];
        for (int i = 0; i < partitions.length; i++) {
            partitions[i] = new Partition();
        }
        shares.setReportRequest(this::onReportRequested);
    }

    /** Requests a report of what this router knows of a ledger. */
    public void onReportRequested(int partition) {
        if (partition >= 0 && partition < partitions.length) {
            partitions[partition].reportRequested = true;
        }
    }

    /** Reports ledgers of a new era, and ends the restorations that all routers have reported to. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        followEra();
        for (int i = 0; i < partitions.length; i++) {
            Partition partition = partitions[i];
            if (partition.reportRequested && !partition.reportInFlight && nowMillis >= partition.nextReportAtMillis) {
                report(i);
            }
            continueRestoration(i);
        }
    }

    private void followEra() {
        if (reportedEra == storeEra.current()) {
            return;
        }
        boolean firstEra = reportedEra == StoreEra.UNKNOWN;
        reportedEra = storeEra.current();
        if (firstEra && shares.retired()) {
            // A new process has nothing to report yet.
            return;
        }
        for (int i = 0; i < partitions.length; i++) {
            onReportRequested(i);
        }
    }

    private void report(int index) {
        Partition partition = partitions[index];
        partition.reportRequested = false;
        partition.reportInFlight = true;
        partition.nextReportAtMillis = nowMillis + REQUEST_INTERVAL_MILLIS;
        onReport.run();
        reportSeq++;
        long sentAtMillis = nowMillis;
        List<ShareReport> reports = shares.report(index);
        RouterReport report = RouterReport.newBuilder()
                .setVm(identity.vm())
                .setIncarnation(identity.incarnation())
                .setReportSeq(reportSeq)
                .addAllShares(reports)
                .addAllMarks(gateway.marks(index))
                .build();
        log.belief("ledger_reported")
                .with("partition", index)
                .with("era", reportedEra)
                .with("shares", reports.size())
                .write();
        gateway.submit(index, LedgerOps.report(report), result -> onReportDone(index, reports, result, sentAtMillis));
    }

    private void onReportDone(int index, List<ShareReport> reports, LedgerResult result, long sentAtMillis) {
        partitions[index].reportInFlight = false;
        if (LedgerOps.failure(result).isPresent()) {
            onReportRequested(index);
            return;
        }
        shares.onReportConfirmed(reports, result, sentAtMillis);
    }

    private void continueRestoration(int index) {
        Partition partition = partitions[index];
        SharedObject<LedgerBook> ledger = gateway.ledgers().get(index);
        LedgerBook book = ledger.state();
        if (book == null || !book.isBeingRestored() || !gateway.isCombiner(index) || partition.finishing) {
            return;
        }
        if (partition.round != book.restoration().getRound()) {
            partition.round = book.restoration().getRound();
            partition.roundSeenAtMillis = nowMillis;
            partition.nextRequestAtMillis = nowMillis;
        }
        Set<String> missing = missingReporters(book);
        long elapsedMillis = nowMillis - partition.roundSeenAtMillis;
        boolean complete = missing.isEmpty() && elapsedMillis >= MIN_RESTORATION_MILLIS;
        if (complete || elapsedMillis >= maxSilentMillis) {
            finish(index, book, missing, elapsedMillis);
            return;
        }
        if (nowMillis >= partition.nextRequestAtMillis) {
            partition.nextRequestAtMillis = nowMillis + REQUEST_INTERVAL_MILLIS;
            missing.forEach(incarnation -> routers.requestReport(incarnation, index));
            // Other routers may have committed reports themselves.
            ledger.refresh();
        }
    }

    private Set<String> missingReporters(LedgerBook book) {
        Set<String> missing = new HashSet<>(routers.receivedWithin(maxSilentMillis));
        missing.add(identity.incarnation());
        for (AccountState account : book.accounts()) {
            for (ShareState share : account.getSharesList()) {
                if (!share.getClosed()
                        && routers.mayBeRunning(share.getVm(), share.getIncarnation(), maxSilentMillis)) {
                    missing.add(share.getIncarnation());
                }
            }
        }
        LedgerRestoration.reporters(book).forEach(missing::remove);
        return missing;
    }

    private void finish(int index, LedgerBook book, Set<String> missing, long elapsedMillis) {
        Partition partition = partitions[index];
        partition.finishing = true;
        int reports = book.restoration().getReportsCount();
        gateway.ledgers().get(index).submit(LedgerRestoration.finish(partition.round), result -> {
            partition.finishing = false;
            log.belief("ledger_restored")
                    .with("partition", index)
                    .with("era", storeEra.current())
                    .with("round", partition.round)
                    .with("reports", reports)
                    .with("silent", String.join(",", missing))
                    .with("waited_ms", elapsedMillis)
                    .with(
                            "forfeited",
                            result.map(RestorationSystem::forfeitedTokens).getOrElse(0L))
                    .write();
        });
    }

    private static long forfeitedTokens(LedgerBook book) {
        long tokens = 0;
        for (AccountState account : book.accounts()) {
            tokens += Accounts.forfeitedTokens(account);
        }
        return tokens;
    }
}
