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
 * Holds running totals that other routers handed over while the ledger did not respond, and posts them to the ledger once
 * it does.
 *
 * <p>When a share is closed, this router posts the totals of it that it holds, and then releases the share: it records in
 * the ledger that it accepts no more totals of it. The unspent tokens of a closed share are returned only after every
 * holder has released it.
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
    private final Map<String, HeldBill> heldBills = new LinkedHashMap<>();
    private final Set<String> releasedShares = new LinkedHashSet<>();
    /** The ledger version of each partition whose closed shares this router has all released or requested to release. */
    private final Map<Integer, Long> releasedVersions = new LinkedHashMap<>();

    private boolean closing;

    /** Creates the system for a router process. */
    public HeldBillSystem(String incarnation, LedgerPartitions ledgers) {
        this.incarnation = incarnation;
        this.ledgers = ledgers;
    }

    /** Returns the number of shares whose totals are held here. */
    public int heldShares() {
        return heldBills.size();
    }

    /**
     * Accepts the running totals of a share.
     *
     * @return whether the totals are held; false if this router has released the share, is closing, or holds the maximum
     *     number of shares
     */
    public boolean accept(String budget, Ledger.Settlement settlement) {
        String shareId = settlement.shareId();
        if (closing || releasedShares.contains(shareId) || heldBills.size() >= MAX_HELD_SHARES) {
            return false;
        }
        HeldBill held = heldBills.get(shareId);
        if (held == null) {
            heldBills.put(shareId, new HeldBill(budget, settlement));
            return true;
        }
        if (settlement.settleSeq() > held.settlement.settleSeq()) {
            held.settlement = settlement;
        }
        return true;
    }

    /** Accepts no more totals from now on; {@link #heldShares} returns 0 once all are posted. */
    public void close() {
        closing = true;
    }

    /** Posts the totals held here, and releases closed shares. */
    public void tick() {
        for (HeldBill held : new ArrayList<>(heldBills.values())) {
            if (!held.inFlight) {
                post(held);
            }
        }
        for (int partition = 0; partition < ledgers.all().size(); partition++) {
            releaseClosedShares(partition);
        }
    }

    private void post(HeldBill held) {
        held.inFlight = true;
        Ledger.Settlement posted = held.settlement;
        ledgers.of(held.budget).submit(Ledger.settleHeld(held.budget, incarnation, posted), result -> {
            held.inFlight = false;
            // A refusal means that the share was removed or settled without this router: nothing remains to be posted.
            if (result.isLeft() || held.settlement.settleSeq() <= posted.settleSeq()) {
                heldBills.remove(posted.shareId());
            }
        });
    }

    private void releaseClosedShares(int partition) {
        SharedObject<LedgerBook> ledger = ledgers.get(partition);
        LedgerBook book = ledger.state();
        Long releasedVersion = releasedVersions.get(partition);
        if (book == null || (releasedVersion != null && releasedVersion == ledger.version())) {
            return;
        }
        List<String> releasable = new ArrayList<>();
        boolean billsPending = false;
        for (AccountState account : book.accounts()) {
            for (ShareState share : account.getSharesList()) {
                if (!awaitsRelease(share)) {
                    continue;
                }
                if (heldBills.containsKey(share.getShareId())) {
                    billsPending = true;
                    continue;
                }
                releasable.add(share.getShareId());
            }
        }
        if (!billsPending) {
            releasedVersions.put(partition, ledger.version());
        }
        release(ledger, releasable);
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
        List<String> newlyReleased = new ArrayList<>(shareIds);
        newlyReleased.removeIf(releasedShares::contains);
        if (newlyReleased.isEmpty()) {
            return;
        }
        releasedShares.addAll(newlyReleased);
        dropOldestReleases();
        ledger.submit(Ledger.release(incarnation, newlyReleased), result -> {});
    }

    private void dropOldestReleases() {
        while (releasedShares.size() > MAX_RELEASED_SHARES) {
            releasedShares.remove(releasedShares.iterator().next());
        }
    }
}
