package org.radishspan.store;

import org.radishspan.log.EventLog;

/**
 * The era of the platform's store, as far as this router knows it.
 *
 * <p>The store names its era in every answer. The era rises when the store comes back from an older copy of its objects. What
 * it acknowledged after the copy was made is then gone, and its revisions are given out again, so that revisions of different
 * eras cannot be compared.
 */
public final class StoreEra {
    /** The era of a store that names none. */
    public static final long UNKNOWN = -1;

    private final EventLog log;
    private long current = UNKNOWN;

    /** Creates an unknown era; every later one that becomes known is logged. */
    public StoreEra(EventLog log) {
        this.log = log;
    }

    /** Creates an unknown era for a store that names none, without a log. */
    public StoreEra() {
        this(EventLog.silent());
    }

    /** Returns the latest era that is known; {@link #UNKNOWN} until an answer has named one. */
    public long current() {
        return current;
    }

    /**
     * Records the era of an answer of the store.
     *
     * @param era the era that the answer names; {@link #UNKNOWN} if it names none
     * @return whether the answer is valid; an answer of an earlier era describes objects that no longer exist
     */
    public boolean onAnswer(long era) {
        raise(era, "store");
        return era == UNKNOWN || era == current;
    }

    /** Records the era that another router has learned from the store. */
    public void onReported(long era) {
        raise(era, "peer");
    }

    private void raise(long era, String source) {
        if (era <= current) {
            return;
        }
        log.belief("store_era")
                .with("era", era)
                .with("era_before", current)
                .with("source", source)
                .write();
        current = era;
    }
}
