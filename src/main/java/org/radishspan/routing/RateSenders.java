package org.radishspan.routing;

import java.util.Collection;
import java.util.function.BooleanSupplier;

/**
 * Divides what a target takes from all routers together among the routers that are entered in the store.
 *
 * <p>Answers the load of a target in need that all routers send to. No router needs to hear another: each computes the same parts
 * from the same list, so that they add up to the limit also where nobody hears anybody. A limit below one request a second for
 * each router goes to the first routers by rendezvous hashing; were it divided among all, those that had been idle could send their
 * requests at one moment.
 */
public final class RateSenders {
    /** The least part of a router; a router holds one request back at most, so that all of them hold one second's. */
    private static final double LEAST_SHARE_PER_SECOND = 1;

    /** A router that hears nothing of a target tries it again after this time at the earliest. */
    private static final long LEAST_TRIAL_MILLIS = 30_000;

    /** The part of a limit that such tries of all routers together may take. */
    private static final double TRIAL_FRACTION = 0.25;

    /** What such tries may take of a target that takes nothing, as its recovery would never be seen without. */
    private static final double LEAST_TRIALS_PER_SECOND = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String selfVm;
    private final int selfHash;
    private final BooleanSupplier listed;
    private int[] otherHashes = {};

    /**
     * Creates the division for a router.
     *
     * @param listed whether the list of routers has been read from the store; the router has no part before
     */
    public RateSenders(String selfVm, BooleanSupplier listed) {
        this.selfVm = selfVm;
        this.selfHash = RendezvousRank.hash(selfVm);
        this.listed = listed;
    }

    /** Returns the division among one router that has nobody beside it. */
    static RateSenders alone() {
        return new RateSenders("", () -> true);
    }

    /** Takes over the VMs whose routers are entered in the store. */
    public void replace(Collection<String> vms) {
        otherHashes = vms.stream()
                .filter(vm -> !vm.equals(selfVm))
                .mapToInt(RendezvousRank::hash)
                .toArray();
    }

    /** Returns the requests a second that this router may send to a target; 0 if only others send there. */
    double sharePerSecond(int targetHash, double limitPerSecond) {
        if (!listed.getAsBoolean()) {
            return 0;
        }
        int routers = 1 + otherHashes.length;
        int senders = (int) Math.max(1, Math.min(routers, limitPerSecond / LEAST_SHARE_PER_SECOND));
        return ranksAmongFirst(targetHash, senders) ? limitPerSecond / senders : 0;
    }

    /** Returns how many connections this router may have to a target that takes so many from all routers together. */
    int connectionShare(int targetHash, int maxConnections) {
        if (!listed.getAsBoolean()) {
            return 1;
        }
        int routers = 1 + otherHashes.length;
        if (maxConnections >= routers) {
            return maxConnections / routers;
        }
        return ranksAmongFirst(targetHash, maxConnections) ? 1 : 0;
    }

    private boolean ranksAmongFirst(int targetHash, int count) {
        if (count > otherHashes.length) {
            return true;
        }
        int ownRank = RendezvousRank.of(targetHash, selfHash);
        int before = 0;
        for (int otherHash : otherHashes) {
            before += Integer.compareUnsigned(RendezvousRank.of(targetHash, otherHash), ownRank) > 0 ? 1 : 0;
            if (before >= count) {
                return false;
            }
        }
        return true;
    }

    /** Returns after how long without any word of a limit this router takes it to be over, and tries the target again. */
    long trialMillis(double limitPerSecond) {
        double trialsPerSecond = Math.max(LEAST_TRIALS_PER_SECOND, TRIAL_FRACTION * limitPerSecond);
        return Math.max(LEAST_TRIAL_MILLIS, Math.round((1 + otherHashes.length) * MILLIS_PER_SECOND / trialsPerSecond));
    }
}
