package org.radishspan.virtual;

import org.radishspan.router.Router;

/** A VM of a {@link VirtualFleet} with its router process; simulates crashes, pauses and network partitions. */
public final class VirtualNode {
    private final VirtualTime time;
    private final String vm;
    private final String failureDomain;
    private Router router;
    private long generation;
    private boolean alive = true;
    private long pausedUntilMillis;
    private int side;
    private boolean platformDisconnected;

    VirtualNode(VirtualTime time, String vm, String failureDomain, Router router) {
        this.time = time;
        this.vm = vm;
        this.failureDomain = failureDomain;
        this.router = router;
    }

    /** Returns the name of the VM. */
    public String vm() {
        return vm;
    }

    /** Returns the failure domain of the VM. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns the router process that was started last, also after it has crashed. */
    public Router router() {
        return router;
    }

    /** Returns whether the router process is running; a paused process counts as running. */
    public boolean alive() {
        return alive;
    }

    /** Returns the side of the network partition that the VM is on; 0 if there is no partition. */
    public int side() {
        return side;
    }

    /** Moves the VM to a side of a network partition; messages between VMs on different sides are dropped. */
    public void setPartitionSide(int newSide) {
        side = newSide;
    }

    /** Interrupts the connection of the VM to the platform, or restores it. */
    public void setPlatformDisconnected(boolean disconnected) {
        platformDisconnected = disconnected;
    }

    /** Returns whether the process is running and its connection to the platform works; ignores platform outages. */
    public boolean reachesPlatform() {
        return alive && !platformDisconnected;
    }

    /** Pauses the process; actions that become due in the meantime run at the end of the pause. */
    public void pause(long millis) {
        pausedUntilMillis = time.nowMillis() + millis;
    }

    /** Ends the process immediately; actions that are scheduled on it are dropped. */
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

    /** Returns a number that identifies the present process; it changes at each crash and restart. */
    long generation() {
        return generation;
    }

    /** Schedules an action on the present process; see {@link #deliverTo}. */
    void deliver(long delayMillis, Runnable action) {
        deliverTo(generation, delayMillis, action);
    }

    /**
     * Schedules an action on the process of a generation.
     *
     * <p>The action is dropped if that process has ended when it is due, and is postponed to the end of a pause.
     */
    void deliverTo(long expectedGeneration, long delayMillis, Runnable action) {
        time.schedule(delayMillis, () -> runOrPostpone(expectedGeneration, action));
    }

    private void runOrPostpone(long expectedGeneration, Runnable action) {
        if (expectedGeneration != generation || !alive) {
            return;
        }
        if (time.nowMillis() < pausedUntilMillis) {
            time.schedule(pausedUntilMillis - time.nowMillis(), () -> runOrPostpone(expectedGeneration, action));
            return;
        }
        action.run();
    }
}
