package org.radishspan.budget;

/** Counts of what the {@link ShareSystem} did. */
public final class ShareCounters {
    long grantRequests;
    long giveBacks;
    long shortages;
    long refused;
    long sharesLost;
    long handovers;

    /** Returns the grants asked for. */
    public long grantRequests() {
        return grantRequests;
    }

    /** Returns how often excess was given back. */
    public long giveBacks() {
        return giveBacks;
    }

    /** Returns how often the ledger had too few free tokens. */
    public long shortages() {
        return shortages;
    }

    /** Returns the requests refused for want of tokens. */
    public long refused() {
        return refused;
    }

    /** Returns how often the ledger had closed a share of this router. */
    public long sharesLost() {
        return sharesLost;
    }

    /** Returns the running totals handed to holders. */
    public long handovers() {
        return handovers;
    }
}
