package org.radishspan.front;

import org.radishspan.budget.SharePolicy;

/** How much of a budget routers on the users' platform hold, and when they ask for more. */
public final class ShareSettings {
    /** A share covers the usual cut from the store, 7 to 8 s. */
    private static final long HORIZON_MILLIS = 8_000;

    /** Before demand is measured all routers together hold this part of a budget: what 8 s of a usual day use. */
    private static final double START_FRACTION = 0.25;

    /** The rest stays in the ledger, as a loss of power of all VMs at once takes with it what their routers hold. */
    private static final double HELD_FRACTION = 0.35;

    /** What stays in the ledger serves the fleet until it has recovered from such a loss, 12 s at the users' sites. */
    private static final long RESERVE_MILLIS = 12_000;

    /** The shortest time between two reports of a share; a successor must find the last one still valid. */
    private static final long SETTLE_MILLIS = 400;

    /**
     * A router that was killed runs again within 1.6 s at the users' sites; the time since its last report and that of a write
     * come on top.
     */
    private static final long BOUND_MILLIS = 2_300;

    /**
     * The last tokens of a budget serve urgent calls, which are short at the users' sites: 4% serve them about as long as the
     * rest of the day's traffic would take 15%.
     */
    private static final double URGENT_FRACTION = 0.04;

    /** Measured demand follows the last ten seconds: the users' traffic changes within that. */
    private static final double DEMAND_SMOOTHING = 0.1;

    /** A router that saw fewer calls of a budget believes the fleet's mean more than its own. */
    private static final double PRIOR_CALLS = 4;

    /** A workspace without calls for ten minutes is asleep. */
    private static final long IDLE_MILLIS = 600_000;

    /** A share is filled up when a tenth is gone, about a second of demand; routers report to the ledger more often than that. */
    private static final double LOW_WATER_FRACTION = 0.9;

    /** The keepers of a budget, three or four, together hold the next call of any workspace. */
    private static final double CALLS_HELD = 0.25;

    /** A share covers little more than the mean of cuts of the horizon's length, as the keepers of a budget help each other out. */
    private static final double SAFETY_DEVIATIONS = 0.2;

    /** Notices that a share is short: each sets off answers of all other routers. */
    private static final long NOTICE_MILLIS = 200;

    /** One grant leaves as much free as it takes. */
    private static final double FREE_FRACTION = 0.5;

    /** The size of a short call. */
    private static final long MINIMUM_GRANT_TOKENS = 256;

    /** Calls wait for tokens no longer than the longest objective for a first event. */
    private static final long WAIT_MILLIS = 800;

    /** As the shortest time between two writes of a ledger. */
    private static final long RETRY_MILLIS = 100;

    private static final long HANDOVER_AFTER_MILLIS = 500;

    /** Answers do not wait for their bills, so nobody keeps any for others. */
    private static final int HOLDERS = 0;

    /** The finer knobs. */
    public static final SharePolicy.Tuning TUNING = new SharePolicy.Tuning(
            DEMAND_SMOOTHING,
            PRIOR_CALLS,
            START_FRACTION,
            IDLE_MILLIS,
            LOW_WATER_FRACTION,
            CALLS_HELD,
            SAFETY_DEVIATIONS,
            1 - HELD_FRACTION,
            RESERVE_MILLIS,
            SETTLE_MILLIS,
            NOTICE_MILLIS,
            BOUND_MILLIS,
            URGENT_FRACTION);

    /** The knobs. */
    public static final SharePolicy POLICY = new SharePolicy(
            HORIZON_MILLIS,
            FREE_FRACTION,
            HELD_FRACTION,
            MINIMUM_GRANT_TOKENS,
            WAIT_MILLIS,
            RETRY_MILLIS,
            HANDOVER_AFTER_MILLIS,
            HOLDERS);

    private ShareSettings() {}
}
