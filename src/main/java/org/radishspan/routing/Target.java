package org.radishspan.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import java.util.Set;

/** One row of the {@link TargetTable}: an engine or a plain service. */
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
    long reportedAtMillis;
    long nextProbeAtMillis;
    long closedUntilMillis;
    TargetSignals.Signals signals = new TargetSignals.Signals();
    int consecutiveFailures;
    int suspects;
    long suspectLostAtMillis = Long.MIN_VALUE / 2;
    int waitingThere;
    long startedAtUnixMillis;
    long pendingPromptTokens;
    double foreignPromptTokens;
    long foreignAtMillis;
    long closedMillis;
    int slots = 1;
    final int nameHash;
    final WorkSpeed speed;
    final PromptCacheView cachedParts = new PromptCacheView();
    private final Deque<Awaited> awaited = new ArrayDeque<>();

    Target(String name, String host, int port, String failureDomain, Set<String> serves, WorkSpeed serviceSpeed) {
        this.name = name;
        this.nameHash = RendezvousRank.hash(name);
        this.speed = WorkSpeed.ofTarget(serviceSpeed);
        this.host = host;
        this.port = port;
        this.failureDomain = failureDomain;
        this.serves = serves;
    }

    /** Returns the VM's name. */
    public String name() {
        return name;
    }

    /** Returns the address. */
    public String host() {
        return host;
    }

    /** Returns the port. */
    public int port() {
        return port;
    }

    /** Returns whether the target has asked for no pause, and its limit leaves room for a request of this router. */
    boolean takesWork(long nowMillis) {
        RateLimit limit = signals.rateLimit;
        return signals.pausedUntilMillis <= nowMillis && (limit == null || limit.allows(nowMillis));
    }

    /** Returns how long it takes until the target's pause is over and its limit leaves room for a request. */
    long waitMillis(long nowMillis) {
        RateLimit limit = signals.rateLimit;
        return Math.max(signals.pausedUntilMillis - nowMillis, limit == null ? 0 : limit.waitMillis(nowMillis));
    }

    /** Returns the failure domain. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns whether the target takes no new work. */
    public boolean leaving() {
        return leaving || signals.saidLeaving;
    }

    /** Returns whether another router has told that the target is leaving. */
    public boolean heardLeaving() {
        return signals.heardLeaving;
    }

    /** Returns the requests a second that the target takes from all routers together; empty if it named no limit. */
    public OptionalDouble requestsPerSecond() {
        RateLimit limit = signals.rateLimit;
        return limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit.requestsPerSecond());
    }

    /** Returns the requests of this router that the target works on. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns when this incarnation of the target started; 0 if it did not say. */
    public long startedAtUnixMillis() {
        return startedAtUnixMillis;
    }

    /** Returns the prompt tokens that this router sent and of which no first event has come. */
    public long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    /** Returns the parts of prompts that the target has probably cached. */
    public PromptCacheView cachedParts() {
        return cachedParts;
    }

    /** Notes an answer that should start after some time, as far as this router can tell. */
    Awaited await(double estimateMillis, long nowMillis) {
        Awaited answer = new Awaited(nowMillis + estimateMillis);
        awaited.addLast(answer);
        return answer;
    }

    /** Returns by how much the oldest answer that has not started is late; 0 if it is not. */
    double overdueMillis(long nowMillis) {
        while (!awaited.isEmpty() && awaited.getFirst().over()) {
            awaited.removeFirst();
        }
        return awaited.isEmpty() ? 0 : Math.max(0, nowMillis - awaited.getFirst().expectedAtMillis);
    }

    /** Returns the load last reported, and what this router has sent since. */
    public int expectedLoad() {
        return reportedLoad + dispatchedSinceReport;
    }
}
