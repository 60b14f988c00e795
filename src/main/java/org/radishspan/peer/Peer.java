package org.radishspan.peer;

import java.util.HashSet;
import java.util.Set;

import org.radishspan.routing.RendezvousRank;

/** One row of the {@link PeerTable}: another router, with its last report and the state of its connection. */
public final class Peer {
    final String vm;
    final int vmHash;
    String host;
    int port;
    String failureDomain;
    String incarnation = "";
    boolean listed = true;
    boolean draining;
    boolean storeUnreachable;
    boolean silent = true;
    long unansweredAtMillis = Long.MIN_VALUE / 2;
    int unansweredInRow;
    /** Until when the peer commits no ledger changes for this router, because it did not answer. */
    long combinerRetryAtMillis = Long.MIN_VALUE / 2;

    long combinerUnansweredAtMillis = Long.MIN_VALUE / 2;
    int combinerUnansweredInRow;
    /** Until when the peer counts as not reaching the store, because it answered so; its next report ends that earlier. */
    long storeRefusedUntilMillis = Long.MIN_VALUE / 2;

    long lastReceivedMillis;
    long lastResetMillis;
    long nextReportAtMillis;
    long unlistedAtMillis;
    long configRevision;
    int requestsInFlight;
    final Set<String> endedIncarnations = new HashSet<>();

    Peer(String vm, String host, int port, String failureDomain) {
        this.vm = vm;
        this.vmHash = RendezvousRank.hash(vm);
        this.host = host;
        this.port = port;
        this.failureDomain = failureDomain;
    }

    /** Returns the VM's name. */
    public String vm() {
        return vm;
    }

    /** Returns the address. */
    public String host() {
        return host;
    }

    /** Returns the port for peers. */
    public int port() {
        return port;
    }

    /** Returns the failure domain. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns the incarnation of the router process that sent the last message; empty before its first message. */
    public String incarnation() {
        return incarnation;
    }

    /** Returns when the last message of the peer was received; 0 before its first message. */
    public long lastReceivedMillis() {
        return lastReceivedMillis;
    }

    /** Returns the configuration revision that the peer reported. */
    public long configRevision() {
        return configRevision;
    }

    /** Returns the requests in progress that the peer reported. */
    public int requestsInFlight() {
        return requestsInFlight;
    }
}
