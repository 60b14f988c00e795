package org.radishspan.virtual;

import org.radishspan.router.Router;

/** One VM of a {@link VirtualFleet} and the router process that runs on it. */
public final class VirtualNode {
    private final VirtualTime time;
    private final String vm;
    private final String failureDomain;
    private Router router;
    private long generation;
    private boolean alive = true;
    private long pausedUntilMillis;
    private int side;
    private boolean platformCut;

    VirtualNode(VirtualTime time, String vm, String failureDomain, Router router) {
        this.time = time;
        this.vm = vm;
        this.failureDomain = failureDomain;
        this.router = router;
    }

    /** Returns the VM's name. */
    public String vm() {
        return vm;
    }

    /** Returns the failure domain. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns the router process. */
    public Router router() {
        return router;
    }

    /** Returns whether a router process runs. */
    public boolean alive() {
        return alive;
    }

    /** Returns the side of a partition that the VM is on; 0 without one. */
    public int side() {
        return side;
    }

    /** Puts the VM on a side of a partition; VMs on different sides do not reach each other. */
    public void moveToSide(int newSide) {
        side = newSide;
    }

    /** Cuts the VM off from the platform, or joins it again. */
    public void cutPlatform(boolean cut) {
        platformCut = cut;
    }

    /** Returns whether the platform can be reached. */
    public boolean reachesPlatform() {
        return alive && !platformCut;
    }

    /** Stops the process from running for a while; what arrives waits. */
    public void pause(long millis) {
        pausedUntilMillis = time.nowMillis() + millis;
    }

    /** Ends the process at once. */
    public void crash() {
        alive = false;
        generation++;
    }

    void restart(Router newRouter) {
        router = newRouter;
        alive = true;
        generation++;
        pausedUntilMillis = 0;
    }

    /** Returns the number of the process that runs now. */
    long generation() {
        return generation;
    }

    /** Runs something on the present process after a delay. */
    void deliver(long delayMillis, Runnable run) {
        deliverTo(generation, delayMillis, run);
    }

    /** Runs something on a process after a delay; dropped if the process has ended by then, late if it is paused. */
    void deliverTo(long expected, long delayMillis, Runnable run) {
        time.schedule(delayMillis, () -> arrive(expected, run));
    }

    private void arrive(long expected, Runnable run) {
        if (expected != generation || !alive) {
            return;
        }
        if (time.nowMillis() < pausedUntilMillis) {
            time.schedule(pausedUntilMillis - time.nowMillis(), () -> arrive(expected, run));
            return;
        }
        run.run();
    }
}
