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
     * Minimum time between two settlements of a share. The bound stated in the last one must still be valid when the router's
     * successor closes the share.
     */
    private static final long SETTLE_GAP_MILLIS = 400;

    /**
     * How long a stated spending bound is valid. A killed router runs again within 1.6 s at the users' sites. The time since
     * its last settlement and the time of a write are added.
     */
    private static final long BOUND_MILLIS = 2_300;

    /**
     * Last fraction of a budget, reserved for urgent calls. These are short at the users' sites: 4% serves them for about as
     * long as it would take the rest of the day's traffic to use 15%.
     */
    private static final double URGENT_FRACTION = 0.04;

    /**
     * Weight of the last second in the measured demand. Measured demand follows the last ten seconds, because the users'
     * traffic changes within that time.
     */
    private static final double DEMAND_SMOOTHING = 0.1;

    /** A router that received fewer calls of a budget gives the fleet's mean demand more weight than its own. */
    private static final double PRIOR_CALLS = 4;

    /** A share is given back after ten minutes without calls of its workspace. */
    private static final long IDLE_MILLIS = 600_000;

    /**
     * A share is refilled when it falls below this fraction of its aim. The tenth that is then used is about a second of
     * demand, and routers settle with the ledger more often than that.
     */
    private static final double LOW_WATER_FRACTION = 0.9;

    /**
     * Number of typical calls that a share holds at least. The three or four keepers of a budget together hold enough for the
     * next call of any workspace.
     */
    private static final double CALLS_HELD = 0.25;

    /**
     * Standard deviations that a share holds beyond the mean demand of the horizon. This is little, because the keepers of a
     * budget compensate each other's shortages.
     */
    private static final double SAFETY_FACTOR = 0.2;

    /** Minimum time between two notices that a share is short, because each notice makes all other routers answer. */
    private static final long NOTICE_GAP_MILLIS = 200;

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
            URGENT_FRACTION);

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
