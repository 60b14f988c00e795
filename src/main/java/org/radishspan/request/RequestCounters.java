package org.radishspan.request;

import java.util.EnumMap;
import java.util.Map;

import org.radishspan.error.ErrorKind;

/** Counters of the outcomes of requests since the router started. */
public final class RequestCounters {
    long accepted;
    long answered;
    long replayed;
    long retried;
    long resumed;
    long droppedFrames;
    long callersDisconnected;
    long billedTokens;
    long unbilledOutcomes;
    private final Map<ErrorKind, Long> failures = new EnumMap<>(ErrorKind.class);

    void failed(ErrorKind kind) {
        failures.merge(kind, 1L, Long::sum);
    }

    /** Returns the number of calls that passed validation and were accepted. */
    public long accepted() {
        return accepted;
    }

    /** Returns the number of requests that a target executed and whose response is complete and billed. */
    public long answered() {
        return answered;
    }

    /** Returns the number of requests whose response was replayed from a journal. */
    public long replayed() {
        return replayed;
    }

    /** Returns the number of dispatches after the first one of each request. */
    public long retried() {
        return retried;
    }

    /** Returns how many times a broken stream was resumed. */
    public long resumed() {
        return resumed;
    }

    /** Returns the number of received frames that were late, duplicate or for another request, and thus not relayed. */
    public long droppedFrames() {
        return droppedFrames;
    }

    /** Returns the number of callers that disconnected before their request ended. */
    public long callersDisconnected() {
        return callersDisconnected;
    }

    /** Returns the number of billed tokens. */
    public long billedTokens() {
        return billedTokens;
    }

    /** Returns the number of complete responses that were not billed because the share was lost. */
    public long unbilledOutcomes() {
        return unbilledOutcomes;
    }

    /** Returns the number of failures by kind. */
    public Map<ErrorKind, Long> failures() {
        return failures;
    }
}
