package org.radishspan.routing;

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
    int consecutiveFailures;
    int suspects;
    long suspectLostAtMillis = Long.MIN_VALUE / 2;
    int waitingThere;
    long startedAtUnixMillis;
    long pendingPromptTokens;
    double foreignPromptTokens;
    long foreignAtMillis;
    long closedMillis;
    final PromptCacheView cachedParts = new PromptCacheView();

    Target(String name, String host, int port, String failureDomain, Set<String> serves) {
        this.name = name;
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

    /** Returns the failure domain. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns whether the target takes no new work. */
    public boolean leaving() {
        return leaving;
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

    /** Returns the load last reported, and what this router has sent since. */
    public int expectedLoad() {
        return reportedLoad + dispatchedSinceReport;
    }
}
