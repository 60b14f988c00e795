package org.radishspan.budget;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.radishspan.proto.AccountState;
import org.radishspan.proto.HolderState;
import org.radishspan.proto.ShareState;
import org.radishspan.store.SharedObject;

/**
 * Keeps running totals that other routers handed over while the ledger did not answer, and posts them when it does.
 *
 * <p>Once a share is closed, this router posts what it holds of it and then says that it takes nothing more; only after
 * every holder of a share has said so may the rest of the share be given back.
 */
public final class HeldBillSystem {
    private static final int MAX_RELEASED_SHARES = 10_000;
    private static final int MAX_HELD_SHARES = 50_000;

    private static final class HeldBill {
        private final String budget;
        private Ledger.Settlement settlement;
        private boolean inFlight;

        HeldBill(String budget, Ledger.Settlement settlement) {
            this.budget = budget;
            this.settlement = settlement;
        }
    }

    private final String incarnation;
    private final LedgerPartitions ledgers;
    private final Map<String, HeldBill> rows = new LinkedHashMap<>();
    private final Set<String> releasedShares = new LinkedHashSet<>();
    private final Map<Integer, Long> scannedVersions = new LinkedHashMap<>();
    private boolean closing;

    /** Creates the system of one router process. */
    public HeldBillSystem(String incarnation, LedgerPartitions ledgers) {
        this.incarnation = incarnation;
        this.ledgers = ledgers;
    }

    /** Returns the number of shares of which totals are held. */
    public int heldShares() {
        return rows.size();
    }

    /** Takes the totals of a share; refused if this router has said that it takes nothing more of it. */
    public boolean accept(String budget, Ledger.Settlement settlement) {
        String shareId = settlement.shareId();
        if (closing || releasedShares.contains(shareId) || rows.size() >= MAX_HELD_SHARES) {
            return false;
        }
        HeldBill held = rows.get(shareId);
        if (held == null) {
            rows.put(shareId, new HeldBill(budget, settlement));
            return true;
        }
        if (settlement.settleSeq() > held.settlement.settleSeq()) {
            held.settlement = settlement;
        }
        return true;
    }

    /** Takes nothing more from now on; {@link #heldShares} falls to 0 when all is posted. */
    public void close() {
        closing = true;
    }

    /** Posts what is held and releases closed shares. */
    public void tick() {
        for (HeldBill held : new ArrayList<>(rows.values())) {
            if (!held.inFlight) {
                post(held);
            }
        }
        for (int partition = 0; partition < ledgers.all().size(); partition++) {
            scan(partition);
        }
    }

    private void post(HeldBill held) {
        held.inFlight = true;
        Ledger.Settlement posted = held.settlement;
        ledgers.of(held.budget).submit(Ledger.settleHeld(held.budget, incarnation, posted), result -> {
            held.inFlight = false;
            // A refusal says that the share is gone or settled without this router: there is nothing left to post.
            if (result.isLeft() || held.settlement.settleSeq() <= posted.settleSeq()) {
                rows.remove(posted.shareId());
            }
        });
    }

    private void scan(int partition) {
        SharedObject<LedgerBook> ledger = ledgers.get(partition);
        LedgerBook state = ledger.state();
        Long scanned = scannedVersions.get(partition);
        if (state == null || (scanned != null && scanned == ledger.version())) {
            return;
        }
        List<String> ready = new ArrayList<>();
        boolean waiting = false;
        for (AccountState account : state.accounts()) {
            for (ShareState share : account.getSharesList()) {
                if (!awaitsRelease(share)) {
                    continue;
                }
                if (rows.containsKey(share.getShareId())) {
                    waiting = true;
                    continue;
                }
                ready.add(share.getShareId());
            }
        }
        if (!waiting) {
            scannedVersions.put(partition, ledger.version());
        }
        release(ledger, ready);
    }

    private boolean awaitsRelease(ShareState share) {
        if (!share.getClosed()) {
            return false;
        }
        for (HolderState holder : share.getHoldersList()) {
            if (holder.getIncarnation().equals(incarnation) && !holder.getReleased()) {
                return true;
            }
        }
        return false;
    }

    private void release(SharedObject<LedgerBook> ledger, List<String> shareIds) {
        List<String> fresh = new ArrayList<>(shareIds);
        fresh.removeIf(releasedShares::contains);
        if (fresh.isEmpty()) {
            return;
        }
        releasedShares.addAll(fresh);
        trim();
        ledger.submit(Ledger.release(incarnation, fresh), result -> {});
    }

    private void trim() {
        while (releasedShares.size() > MAX_RELEASED_SHARES) {
            releasedShares.remove(releasedShares.iterator().next());
        }
    }
}
