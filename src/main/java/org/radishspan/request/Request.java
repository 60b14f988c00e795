package org.radishspan.request;

import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.radishspan.budget.Reservation;
import org.radishspan.http.HttpTransport;
import org.radishspan.journal.Journal;
import org.radishspan.routing.Target;

/** One row of the {@link RequestTable}. */
final class Request {

    /** How far a request has come; each phase is worked on by one system. */
    enum Phase {
        /** Its intent is to be claimed in a journal. */
        CLAIM,
        /** A journal was asked. */
        CLAIMING,
        /** Another attempt at the same request is running. */
        AWAIT_OTHER,
        /** Tokens are to be reserved. */
        ADMIT,
        /** It waits for tokens. */
        ADMITTING,
        /** A target is to be chosen. */
        DISPATCH,
        /** A target works on it. */
        RUNNING,
        /** The answer is whole; the bill is to be committed. */
        BILL,
        /** The bill is on its way. */
        BILLING,
        /** Nothing is left to do. */
        FINISHED
    }

    final String requestId;
    final CallSpec spec;
    final CallerReply reply;
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
    TargetAnswer answer;

    long nextPollAtMillis;
    long pollUntilMillis;
    int attempts;
    int resumes;
    int relayedEvents;
    boolean dispatched;
    boolean callerGone;
    boolean suspect;
    boolean ready;

    Request(String requestId, CallSpec spec, CallerReply reply, long deadlineMillis) {
        this.requestId = requestId;
        this.spec = spec;
        this.reply = reply;
        this.deadlineMillis = deadlineMillis;
        this.phase = spec.idempotencyKey() == null ? Phase.ADMIT : Phase.CLAIM;
    }

    boolean keyed() {
        return spec.idempotencyKey() != null;
    }
}
