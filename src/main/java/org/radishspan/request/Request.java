package org.radishspan.request;

import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.radishspan.budget.Reservation;
import org.radishspan.http.HttpTransport;
import org.radishspan.journal.Journal;
import org.radishspan.routing.Target;

/** The state of one request in progress; an entry of the {@link RequestTable}. */
final class Request {

    /** The progress of a request. Each phase is processed by one system. */
    enum Phase {
        /** The intent must be claimed in a journal. */
        CLAIM,
        /** The claim was submitted to a journal. */
        CLAIMING,
        /** Another attempt at the same request is in progress; its outcome is polled for. */
        AWAIT_OTHER_ATTEMPT,
        /** The tokens must be reserved. */
        ADMIT,
        /** The reservation was requested. */
        ADMITTING,
        /** A target must be chosen. */
        DISPATCH,
        /** The request was sent to a target. */
        RUNNING,
        /** The response is complete; the bill must be committed. */
        BILL,
        /** The commit of the bill was submitted. */
        BILLING,
        /** The request has ended and has been removed from the table. */
        FINISHED
    }

    final String requestId;
    final CallSpec spec;
    final CallerResponse callerResponse;
    final long deadlineMillis;
    final Set<String> excludedTargets = new HashSet<>();
    Phase phase;
    Journal.@Nullable Attempt claim;

    @Nullable
    Reservation reservation;

    @Nullable
    Target target;

    HttpTransport.@Nullable Call call;

    @Nullable
    TargetResponse response;

    long nextPollAtMillis;
    long pollUntilMillis;
    int attempts;
    int resumes;
    int relayedEvents;
    boolean dispatched;
    boolean callerDisconnected;
    boolean suspect;
    boolean queued;

    Request(String requestId, CallSpec spec, CallerResponse callerResponse, long deadlineMillis) {
        this.requestId = requestId;
        this.spec = spec;
        this.callerResponse = callerResponse;
        this.deadlineMillis = deadlineMillis;
        this.phase = spec.idempotencyKey() == null ? Phase.ADMIT : Phase.CLAIM;
    }

    /** Returns whether the request carries an idempotency key. */
    boolean keyed() {
        return spec.idempotencyKey() != null;
    }
}
