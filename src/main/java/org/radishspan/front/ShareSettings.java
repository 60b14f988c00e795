package org.radishspan.front;

import org.radishspan.budget.SharePolicy;

/** Settings for how much of a budget routers on the users' platform hold as shares, and when they request more. */
public final class ShareSettings {
    /** A share covers the demand during a typical outage of the store, which lasts 7 to 8 s. */
    private static final long HORIZON_MILLIS = 8_000;

    /** Fraction of a budget that all routers together hold before demand is measured: what 8 s of a usual day use. */
    private static final double START_FRACTION = 0.25;

    /**
     * Fraction of the unspent tokens that all shares together aim for. The rest stays in the ledger, because a power loss of
     * all VMs at once forfeits the tokens that their routers hold.
     */
    private static final double HELD_FRACTION = 0.35;

    /**
     * Tokens left in the ledger cover the fleet's demand for this time: recovery from a power loss takes 12 s at the users'
     * sites.
     */
    private static final long RESERVE_MILLIS = 12_000;

    /**
     * Minimum time between two settlements of a share. It is short because each settlement states a bound on the tokens that
     * the share can spend. The bound of the last settlement must still be valid when a restarted router closes the share of its
     * killed process.
     */
    private static final long SETTLE_GAP_MILLIS = 400;

    /**
     * How long the spending bound stated in a settlement is valid: the 1.6 s within which a killed router runs again at the
     * users' sites, plus up to {@link #SETTLE_GAP_MILLIS} since its last settlement, plus the time of a write.
     */
    private static final long BOUND_MILLIS = 2_300;

    /**
     * Fraction of a budget that is reserved for urgent calls. Urgent calls use few tokens at the users' sites: 4% of a budget
     * serves them for about as long as 15% would serve the rest of the day's traffic.
     */
    private static final double URGENT_FRACTION = 0.04;

    /**
     * Weight of the last second in the measured demand. Measured demand follows the last ten seconds, because the users'
     * traffic changes within that time.
     */
    private static final double DEMAND_SMOOTHING = 0.1;

    /**
     * Number of recent calls of a budget at which a router gives its own measured demand and the mean demand of all routers
     * equal weight. With fewer calls, the mean has more weight.
     */
    private static final double PRIOR_CALLS = 4;

    /** A share is given back after ten minutes without calls of its workspace. */
    private static final long IDLE_MILLIS = 600_000;

    /**
     * A share is refilled when it falls below this fraction of its aim. The tenth that is then used is about a second of
     * demand, and routers settle with the ledger more often than that.
     */
    private static final double LOW_WATER_FRACTION = 0.9;

    /**
     * Number of calls of average size that a share holds at least. With a quarter of a call at each of the three or four
     * keepers of a budget, they together hold about enough for the next call of any workspace.
     */
    private static final double CALLS_HELD = 0.25;

    /**
     * Standard deviations that a share holds beyond the mean demand of the horizon. This is little, because the keepers of a
     * budget compensate each other's shortages.
     */
    private static final double SAFETY_FACTOR = 0.2;

    /** Minimum time between two notices that a share is short, because each notice makes all other routers answer. */
    private static final long NOTICE_GAP_MILLIS = 200;

    /**
     * How long a share may be spent after the ledger last confirmed a change of it. A restored ledger waits that long for a
     * router that is silent. Longer than any cut or outage at the users' sites, in which shares have to last.
     */
    static final long MAX_UNCONFIRMED_MILLIS = 20_000;

    /** Maximum fraction of the free tokens in one grant: a grant leaves as much as it takes. */
    private static final double FREE_FRACTION = 0.5;

    /** Minimum size of a request for tokens beyond the current need: the size of a short call. */
    private static final long MINIMUM_GRANT_TOKENS = 256;

    /** Maximum time that a call waits for tokens: the longest latency objective for a first event. */
    private static final long WAIT_MILLIS = 800;

    /** Time between two requests to the ledger for one share. Equals the minimum time between two writes of a ledger. */
    private static final long RETRY_MILLIS = 100;

    /** A bill that the ledger has not accepted for this long would be handed over, if there were holders. */
    private static final long HANDOVER_AFTER_MILLIS = 500;

    /** Number of routers that keep bills for another one. Answers do not wait for their bills here, so none is needed. */
    private static final int HOLDER_COUNT = 0;

    /** The detailed tuning of shares on the users' platform. */
    public static final SharePolicy.Tuning TUNING = new SharePolicy.Tuning(
            DEMAND_SMOOTHING,
            PRIOR_CALLS,
            START_FRACTION,
            IDLE_MILLIS,
            LOW_WATER_FRACTION,
            CALLS_HELD,
            SAFETY_FACTOR,
            1 - HELD_FRACTION,
            RESERVE_MILLIS,
            SETTLE_GAP_MILLIS,
            NOTICE_GAP_MILLIS,
            BOUND_MILLIS,
            URGENT_FRACTION,
            MAX_UNCONFIRMED_MILLIS);

    /** The policy for shares on the users' platform. */
    public static final SharePolicy POLICY = new SharePolicy(
            HORIZON_MILLIS,
            FREE_FRACTION,
            HELD_FRACTION,
            MINIMUM_GRANT_TOKENS,
            WAIT_MILLIS,
            RETRY_MILLIS,
            HANDOVER_AFTER_MILLIS,
            HOLDER_COUNT);

    private ShareSettings() {}
}
