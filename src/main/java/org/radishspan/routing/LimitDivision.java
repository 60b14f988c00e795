package org.radishspan.routing;

import java.util.Collection;
import java.util.function.BooleanSupplier;

/**
 * Divides the rate and connection limits of a target among the routers that are registered in the store.
 *
 * <p>This protects an overloaded target to which all routers send. The routers need not exchange messages: each
 * computes the same shares from the same list, so that the shares add up to the limit even when the routers cannot
 * reach each other. A limit below one request a second for each router is given to the first routers by rendezvous
 * hashing. If it were divided among all of them, each idle router would have a full token bucket, and all of them could
 * send a request at the same time.
 */
public final class LimitDivision {
    /**
     * Minimum share of a sending router. At this share the token bucket of a router holds one request, so the buckets of
     * all sending routers together hold at most the requests of one second.
     */
    private static final double MIN_SHARE_PER_SECOND = 1;

    /** Up to this many routers have a share of the limit of a cold target, if it is at least one request a second for each. */
    private static final double MAX_COLD_SINGLE_SENDERS = 10;

    /** Minimum share of the limit of a cold target if more routers than {@link #MAX_COLD_SINGLE_SENDERS} have one. */
    private static final double MIN_COLD_SHARE_PER_SECOND = 2;

    /**
     * Minimum time without a report of a limit after which the limit expires and the router sends a probe request to
     * the target.
     */
    private static final long MIN_EXPIRY_MILLIS = 30_000;

    /** Fraction of a limit that the probe requests of all routers together may use. */
    private static final double PROBE_FRACTION = 0.25;

    /**
     * Probe requests a second to a target whose limit is low or 0; without them its recovery would never be detected.
     */
    private static final double MIN_PROBES_PER_SECOND = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String selfVm;
    private final int selfHash;
    private final BooleanSupplier listReceived;
    private int[] otherHashes = {};

    /**
     * Creates the division as seen by one router.
     *
     * @param selfVm the VM of this router
     * @param listReceived whether the list of routers has been read from the store; until then this router has no share
     * of a rate limit and one connection to each target
     */
    public LimitDivision(String selfVm, BooleanSupplier listReceived) {
        this.selfVm = selfVm;
        this.selfHash = RendezvousRank.hash(selfVm);
        this.listReceived = listReceived;
    }

    /** Returns the division for the only router in the deployment. */
    static LimitDivision onlyRouter() {
        return new LimitDivision("", () -> true);
    }

    /** Replaces the VMs whose routers are registered in the store. */
    public void replace(Collection<String> vms) {
        otherHashes = vms.stream()
                .filter(vm -> !vm.equals(selfVm))
                .mapToInt(RendezvousRank::hash)
                .toArray();
    }

    /** Returns the requests a second that this router may send to a target; 0 if only other routers may send to it. */
    double sharePerSecond(int targetHash, double limitPerSecond) {
        return sharePerSecond(targetHash, limitPerSecond, limitPerSecond / MIN_SHARE_PER_SECOND);
    }

    /**
     * Returns the requests a second that this router may send to a cold target; 0 if only other routers may send to it.
     *
     * <p>The limit of a cold target is checked in each second, and not in longer windows. A router with one request a second
     * can send two within a second, if the first one is delayed on its way. That doubles the limit, which the users tolerate
     * up to 1.5 times the limit and five requests: up to ten routers may do so. With two requests a second, a router can send
     * three, which is 1.5 times its share.
     */
    double coldSharePerSecond(int targetHash, double limitPerSecond) {
        double singleSenders = Math.min(limitPerSecond / MIN_SHARE_PER_SECOND, MAX_COLD_SINGLE_SENDERS);
        return sharePerSecond(
                targetHash, limitPerSecond, Math.max(singleSenders, limitPerSecond / MIN_COLD_SHARE_PER_SECOND));
    }

    private double sharePerSecond(int targetHash, double limitPerSecond, double maxSendingRouters) {
        if (!listReceived.getAsBoolean()) {
            return 0;
        }
        int routers = 1 + otherHashes.length;
        int sendingRouters = (int) Math.max(1, Math.min(routers, maxSendingRouters));
        return ranksAmongFirst(targetHash, sendingRouters) ? limitPerSecond / sendingRouters : 0;
    }

    /**
     * Returns how many connections this router may have to a target that accepts {@code maxConnections} from all
     * routers together.
     */
    int connectionShare(int targetHash, int maxConnections) {
        if (!listReceived.getAsBoolean()) {
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
        int ranksBefore = 0;
        for (int otherHash : otherHashes) {
            ranksBefore += Integer.compareUnsigned(RendezvousRank.of(targetHash, otherHash), ownRank) > 0 ? 1 : 0;
            if (ranksBefore >= count) {
                return false;
            }
        }
        return true;
    }

    /** Returns the time without a report after which a limit expires, so that this router tries the target again. */
    long expiryMillis(double limitPerSecond) {
        double probesPerSecond = Math.max(MIN_PROBES_PER_SECOND, PROBE_FRACTION * limitPerSecond);
        return Math.max(MIN_EXPIRY_MILLIS, Math.round((1 + otherHashes.length) * MILLIS_PER_SECOND / probesPerSecond));
    }
}
