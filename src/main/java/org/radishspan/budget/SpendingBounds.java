package org.radishspan.budget;

import java.util.ArrayDeque;
import java.util.Deque;

import org.radishspan.proto.SpendingBound;

/**
 * The bounds on spending that a router stated for one share, and the limit that follows from them.
 *
 * <p>With each change of the ledger a router states up to which running total it spends within a time of its VM's steady
 * clock. If it ends within that time, its successor on the same boot of the VM knows that nothing beyond was spent. A
 * router that hears nothing from the ledger for so long spends up to the whole grant.
 *
 * <p>A stated bound may be in force although its answer never came, and a change may be executed late. So the limit is the
 * least that any change sent so far may have put in force.
 */
final class SpendingBounds {
    private final Deque<SpendingBound> unanswered = new ArrayDeque<>();
    private SpendingBound committed = SpendingBound.getDefaultInstance();
    private long statedAtMillis;

    /** Returns a bound to send with a change. */
    SpendingBound state(SpendingBound bound) {
        long nowMillis = bound.getAtMillis();
        unanswered.removeIf(earlier -> !isValid(earlier, nowMillis));
        unanswered.add(bound);
        statedAtMillis = nowMillis;
        return bound;
    }

    /** Notes the bound that the ledger holds after a change that carried {@code sent}. */
    void onCommitted(SpendingBound sent, SpendingBound inForce) {
        unanswered.remove(sent);
        if (inForce.getAtMillis() >= committed.getAtMillis()) {
            committed = inForce;
        }
    }

    /** Returns the running total of bills and reservations that the share may reach now. */
    long limitTokens(long grantedTokens, long nowMillis) {
        long limit = grantedTokens;
        if (isValid(committed, nowMillis)) {
            limit = Math.min(limit, committed.getUsableTokens());
        }
        for (SpendingBound bound : unanswered) {
            if (isValid(bound, nowMillis)) {
                limit = Math.min(limit, bound.getUsableTokens());
            }
        }
        return limit;
    }

    /** Returns after what time no bound holds any more, unless another one is stated. */
    long millisLeft(long nowMillis) {
        long left = committed.getAtMillis() + committed.getValidMillis() - nowMillis;
        for (SpendingBound bound : unanswered) {
            left = Math.max(left, bound.getAtMillis() + bound.getValidMillis() - nowMillis);
        }
        return Math.max(0, left);
    }

    /** Returns when the last bound was stated. */
    long statedAtMillis() {
        return statedAtMillis;
    }

    /** Forgets everything, for a share that starts again under a new id. */
    void clear() {
        unanswered.clear();
        committed = SpendingBound.getDefaultInstance();
        statedAtMillis = 0;
    }

    /**
     * Returns whether a bound still keeps its router from spending more, by the clock of the boot it was stated on. A clock that
     * is behind the statement is another boot's.
     */
    static boolean isValid(SpendingBound bound, long nowMillis) {
        long ageMillis = nowMillis - bound.getAtMillis();
        return ageMillis >= 0 && ageMillis < bound.getValidMillis();
    }
}
