package org.radishspan.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * One row of the {@link TargetTable}: an engine or a plain service, with the load and health that this router recorded.
 */
public final class Target {
    final String name;
    final String host;
    final int port;
    final String failureDomain;
    Set<String> serves;
    boolean leaving;
    int inFlight;
    int reportedLoad;
    int dispatchedSinceReport;
    int finishedSinceReport;
    long loadReportedAtMillis;
    long nextProbeAtMillis;
    long excludedUntilMillis;
    TargetSignals.Signals signals = new TargetSignals.Signals();
    int consecutiveFailures;
    int suspectRequests;
    long lostWithSuspectAtMillis = Long.MIN_VALUE / 2;
    int queuedRequests;
    long startedAtUnixMillis;
    long registeredAtMillis;
    long pendingPromptTokens;
    double peerPromptTokens;
    long peerPromptAtMillis;
    long backoffMillis;
    int slots = 1;
    String softwareVersion = "";
    long heldTokens;
    final int nameHash;
    final LoadView load;
    final WorkSpeed speed;
    final PromptCacheView cachedParts = new PromptCacheView();
    private final Deque<PendingFirstEvent> pendingFirstEvents = new ArrayDeque<>();

    Target(
            String name,
            String host,
            int port,
            String failureDomain,
            Set<String> serves,
            WorkSpeed serviceSpeed,
            ServiceLoads serviceLoads) {
        this.name = name;
        this.nameHash = RendezvousRank.hash(name);
        this.load = new LoadView(serviceLoads);
        this.speed = WorkSpeed.ofTarget(serviceSpeed, load);
        this.host = host;
        this.port = port;
        this.failureDomain = failureDomain;
        this.serves = serves;
    }

    /** Returns the name under which the target is listed or registered. */
    public String name() {
        return name;
    }

    /** Returns the host name or IP address. */
    public String host() {
        return host;
    }

    /** Returns the port. */
    public int port() {
        return port;
    }

    /**
     * Returns whether no requested pause is in force and the target's rate limit permits a request of this router now.
     */
    boolean acceptsWork(long nowMillis) {
        RateLimit limit = signals.rateLimit;
        return signals.pausedUntilMillis <= nowMillis && (limit == null || limit.allows(nowMillis));
    }

    /**
     * Returns the time until the target's pause ends and its rate limit permits a request; 0 or less if that is the
     * case now.
     */
    long waitMillis(long nowMillis) {
        RateLimit limit = signals.rateLimit;
        return Math.max(signals.pausedUntilMillis - nowMillis, limit == null ? 0 : limit.waitMillis(nowMillis));
    }

    /** Returns the failure domain. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns whether the target is leaving and therefore gets no new work. */
    public boolean leaving() {
        return leaving || signals.leavingReported;
    }

    /** Returns whether a peer reported that the target is leaving. */
    public boolean leavingReportedByPeer() {
        return signals.leavingReportedByPeer;
    }

    /**
     * Returns the requests a second that the target accepts from all routers together; empty if it has reported no
     * limit.
     */
    public OptionalDouble requestsPerSecond() {
        RateLimit limit = signals.rateLimit;
        return limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit.requestsPerSecond());
    }

    /** Returns the requests of this router that are in progress at the target. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns when this incarnation of the target started, in Unix milliseconds; 0 if it has not reported that. */
    public long startedAtUnixMillis() {
        return startedAtUnixMillis;
    }

    /** Returns when this router first received the entry of this incarnation; 0 if that is not known. */
    public long registeredAtMillis() {
        return registeredAtMillis;
    }

    /** Returns the version of the target's software; empty text if it names none. */
    public String softwareVersion() {
        return softwareVersion;
    }

    /** Returns the prompt tokens of this router's requests that have had no first event yet. */
    public long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    /** Returns the parts of prompts that the target has probably cached. */
    public PromptCacheView cachedParts() {
        return cachedParts;
    }

    /**
     * Registers an answer whose first event is due after the estimated time, and returns it so that the caller can end
     * it.
     */
    PendingFirstEvent expectFirstEvent(double estimateMillis, long nowMillis) {
        PendingFirstEvent pending = new PendingFirstEvent(nowMillis + estimateMillis);
        pendingFirstEvents.addLast(pending);
        return pending;
    }

    /** Returns how overdue the oldest pending first event is; 0 if it is not overdue or none is pending. */
    double overdueMillis(long nowMillis) {
        while (!pendingFirstEvents.isEmpty() && pendingFirstEvents.getFirst().ended()) {
            pendingFirstEvents.removeFirst();
        }
        return pendingFirstEvents.isEmpty()
                ? 0
                : Math.max(0, nowMillis - pendingFirstEvents.getFirst().expectedAtMillis);
    }

    /** Returns the load last reported plus the requests that this router has sent since. */
    public int expectedLoad() {
        return reportedLoad + dispatchedSinceReport;
    }

    /**
     * Returns whether all slots were in use or requests waited at the last report, as far as that still holds. After the
     * usual time of an answer the reported requests have ended, and a report that is older says nothing any more: without
     * this bound, a target that was full once would get no request, and so could not report that it has room.
     */
    boolean reportedFull(long nowMillis) {
        boolean stale = nowMillis - loadReportedAtMillis > speed.answerMillis(nowMillis);
        return !stale && (queuedRequests > 0 || expectedLoad() - finishedSinceReport >= slots);
    }

    /** Returns the requests that are expected to run or wait at the target now. */
    double expectedRequests(long nowMillis) {
        return load.active()
                ? inFlight + load.expectedOthersLoad(nowMillis)
                : Math.max(inFlight, expectedLoad()) + queuedRequests;
    }

    /** Returns the time in milliseconds that a request is expected to wait for a slot and for others to be read. */
    double queueMillis(long nowMillis) {
        if (!load.active()) {
            return queuedRequests * speed.answerMillis(nowMillis) / slots;
        }
        double answerMillis = speed.answerMillis(nowMillis);
        double firstEventMillis = speed.firstEventMillis(nowMillis);
        double slotMillis = Math.max(0, expectedRequests(nowMillis) - slots + 1) * answerMillis / slots;
        double waitingMillis = load.expectedWaiting(nowMillis) * firstEventMillis;
        return Math.max(slotMillis, waitingMillis) + unusualReadingMillis(answerMillis, firstEventMillis, nowMillis);
    }

    /**
     * Returns how much longer than usual it takes the target to read the prompts of other routers; negative if they have
     * fewer requests there than at other targets. The usual time is part of the measured start time. The fraction of
     * requests in progress that have had no first event is that of the first event in the time of an answer, and half of
     * their reading is left.
     */
    private double unusualReadingMillis(double answerMillis, double firstEventMillis, long nowMillis) {
        double unusualRequests = Math.min(slots, load.expectedOthersLoad(nowMillis))
                - Math.min(slots, load.service().othersLoad.mean());
        double unreadFraction = Math.min(1, firstEventMillis / Math.max(1, answerMillis));
        return unusualRequests * unreadFraction * firstEventMillis / 2;
    }
}
