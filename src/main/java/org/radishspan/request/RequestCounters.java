package org.radishspan.request;

import java.util.EnumMap;
import java.util.Map;

import org.radishspan.error.ErrorKind;

/** Counts of what became of requests. */
public final class RequestCounters {
    long accepted;
    long answered;
    long replayed;
    long retried;
    long resumed;
    long droppedFrames;
    long callersGone;
    long billedTokens;
    long unbilledOutcomes;
    private final Map<ErrorKind, Long> failures = new EnumMap<>(ErrorKind.class);

    void failed(ErrorKind kind) {
        failures.merge(kind, 1L, Long::sum);
    }

    /** Returns the calls that passed the checks at the door. */
    public long accepted() {
        return accepted;
    }

    /** Returns the requests answered whole after a run. */
    public long answered() {
        return answered;
    }

    /** Returns the requests answered from a journal. */
    public long replayed() {
        return replayed;
    }

    /** Returns the dispatches beyond the first of a request. */
    public long retried() {
        return retried;
    }

    /** Returns the streams taken up again where they broke. */
    public long resumed() {
        return resumed;
    }

    /** Returns the frames that were late, crossed or doubled, and not relayed. */
    public long droppedFrames() {
        return droppedFrames;
    }

    /** Returns the callers that left before their answer. */
    public long callersGone() {
        return callersGone;
    }

    /** Returns the tokens billed. */
    public long billedTokens() {
        return billedTokens;
    }

    /** Returns the outcomes recorded without a bill because the share was lost. */
    public long unbilledOutcomes() {
        return unbilledOutcomes;
    }

    /** Returns the failures by kind. */
    public Map<ErrorKind, Long> failures() {
        return failures;
    }
}
