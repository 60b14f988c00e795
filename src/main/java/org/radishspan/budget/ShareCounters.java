package org.radishspan.budget;

/** Counters of the events in the {@link ShareSystem} since the router started. */
public final class ShareCounters {
    long grantRequests;
    long giveBacks;
    long shortages;
    long refused;
    long sharesLost;
    long handovers;

    /** Returns the number of grants requested from the ledger. */
    public long grantRequests() {
        return grantRequests;
    }

    /** Returns how often tokens were given back to the ledger. */
    public long giveBacks() {
        return giveBacks;
    }

    /** Returns how often the ledger had too few free tokens for a request. */
    public long shortages() {
        return shortages;
    }

    /**
     * Returns the number of calls refused by {@link ShareSystem#reserve}, after waiting or because the tokens are reserved
     * for urgent calls.
     */
    public long refused() {
        return refused;
    }

    /**
     * Returns how often a share of this router was lost, because it was closed or missing in the ledger or its settlement
     * was refused.
     */
    public long sharesLost() {
        return sharesLost;
    }

    /** Returns how often running totals were sent to a holder. */
    public long handovers() {
        return handovers;
    }
}
