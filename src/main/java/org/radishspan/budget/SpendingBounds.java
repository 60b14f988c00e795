package org.radishspan.budget;

import java.util.ArrayDeque;
import java.util.Deque;

import org.radishspan.proto.SpendingBound;

/**
 * The spending bounds that a router has stated for one share, and the spending limit that results from them.
 *
 * <p>With each change that it sends to the ledger, a router states the running total up to which it will spend, and for how
 * long this bound is valid on the steady clock of its VM. If the router process ends while the bound is valid, the next
 * process on the same boot of the VM can rely on it: nothing beyond the bound was spent. If the router receives no response
 * from the ledger until the bound has expired, it may spend the whole grant.
 *
 * <p>A stated bound may be in force even though the router never received the response, and a change may be executed late.
 * The limit is therefore the smallest bound that any change sent so far may have put in force.
 */
final class SpendingBounds {
    private final Deque<SpendingBound> unconfirmed = new ArrayDeque<>();
    private SpendingBound committed = SpendingBound.getDefaultInstance();
    private long statedAtMillis;

    /** Records a bound that is sent with a change as not yet confirmed, and returns it. */
    SpendingBound recordStated(SpendingBound bound) {
        long nowMillis = bound.getAtMillis();
        unconfirmed.removeIf(earlier -> !isValid(earlier, nowMillis));
        unconfirmed.add(bound);
        statedAtMillis = nowMillis;
        return bound;
    }

    /**
     * Records the bound that the ledger has in force after it committed a change.
     *
     * @param sent the bound that was sent with the change
     * @param inForce the bound that is in force after it; older ones than the last recorded are ignored
     */
    void onCommitted(SpendingBound sent, SpendingBound inForce) {
        unconfirmed.remove(sent);
        if (inForce.getAtMillis() >= committed.getAtMillis()) {
            committed = inForce;
        }
    }

    /** Returns the running total of bills and reservations that the share may reach now; the grant if no bound is valid. */
    long limitTokens(long grantedTokens, long nowMillis) {
        long limit = grantedTokens;
        if (isValid(committed, nowMillis)) {
            limit = Math.min(limit, committed.getUsableTokens());
        }
        for (SpendingBound bound : unconfirmed) {
            if (isValid(bound, nowMillis)) {
                limit = Math.min(limit, bound.getUsableTokens());
            }
        }
        return limit;
    }

    /** Returns the milliseconds until the last bound expires, unless another one is stated; 0 if none is valid. */
    long remainingMillis(long nowMillis) {
        long remainingMillis = committed.getAtMillis() + committed.getValidMillis() - nowMillis;
        for (SpendingBound bound : unconfirmed) {
            remainingMillis = Math.max(remainingMillis, bound.getAtMillis() + bound.getValidMillis() - nowMillis);
        }
        return Math.max(0, remainingMillis);
    }

    /** Returns the steady-clock time at which the last bound was stated; 0 if none was. */
    long statedAtMillis() {
        return statedAtMillis;
    }

    /** Removes all bounds, for a share that is restarted under a new id. */
    void clear() {
        unconfirmed.clear();
        committed = SpendingBound.getDefaultInstance();
        statedAtMillis = 0;
    }

    /**
     * Returns whether a bound is still valid, that is whether its router may not spend more yet.
     *
     * @param nowMillis the steady clock of the boot on which the bound was stated; a time before the statement means that
     *     the clock belongs to another boot, and the bound is not valid
     */
    static boolean isValid(SpendingBound bound, long nowMillis) {
        long ageMillis = nowMillis - bound.getAtMillis();
        return ageMillis >= 0 && ageMillis < bound.getValidMillis();
    }
}
