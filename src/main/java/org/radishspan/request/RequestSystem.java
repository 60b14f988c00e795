package org.radishspan.request;

import java.util.Optional;
import java.util.function.Supplier;

import org.radishspan.budget.Reservation;
import org.radishspan.budget.ShareSystem;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.ErrorAnswer;
import org.radishspan.http.HttpTransport;
import org.radishspan.journal.Journal;
import org.radishspan.journal.JournalPartitions;
import org.radishspan.routing.TargetChooser;
import org.radishspan.routing.TargetTable;

/** Carries requests from the door to their answers, through the systems that own the phases. */
public final class RequestSystem {

    /**
     * What the system works with.
     *
     * @param shares this router's shares
     * @param journals the journals
     * @param targets the targets
     * @param chooser how a target is chosen
     * @param transport the way to targets
     * @param requestIds yields a new id with each call
     * @param strikeNotice tells the other routers of requests that break targets
     */
    public record Ports(
            ShareSystem shares,
            JournalPartitions journals,
            TargetTable targets,
            TargetChooser chooser,
            HttpTransport transport,
            Supplier<String> requestIds,
            StrikeTable.Notice strikeNotice) {}

    /**
     * The limits of requests.
     *
     * @param incarnation this router process
     * @param failureDomain where it runs
     * @param deadlineMillis the longest that a request may take
     * @param progressTimeoutMillis a target that sends nothing for so long has failed
     * @param awaitMillis how long a repeated call waits for the one that runs
     * @param retention how long outcomes are kept
     */
    public record Limits(
            String incarnation,
            String failureDomain,
            long deadlineMillis,
            long progressTimeoutMillis,
            long awaitMillis,
            Journal.Retention retention) {}

    private static final long SWEEP_MILLIS = 50;
    private static final long DRAINING_RETRY_MILLIS = 1_000;

    private final Ports ports;
    private final Limits limits;
    private final RequestTable table = new RequestTable();
    private final RequestCounters counters = new RequestCounters();
    private final StrikeTable strikes;
    private final Finisher finisher;
    private final ClaimSystem claims;
    private final DispatchSystem dispatch;
    private final SettlementSystem settlement;
    private boolean draining;
    private long nowMillis;
    private long sweptAtMillis;

    /** Creates the system. */
    public RequestSystem(Ports ports, Limits limits) {
        this.ports = ports;
        this.strikes = new StrikeTable(ports.strikeNotice(), StrikeTable.USUAL_TARGETS);
        this.limits = limits;
        this.finisher = new RowFinisher();
        this.claims = new ClaimSystem(
                limits.incarnation(),
                ports.journals(),
                limits.retention(),
                limits.awaitMillis(),
                table,
                counters,
                finisher);
        this.dispatch = new DispatchSystem(table, counters, ports, limits, strikes, finisher);
        this.settlement = new SettlementSystem(
                table, counters, ports.shares(), ports.journals(), claims, finisher, limits.retention());
    }

    /** Returns the counts. */
    public RequestCounters counters() {
        return counters;
    }

    /** Returns the requests that broke targets. */
    public StrikeTable strikes() {
        return strikes;
    }

    /** Returns the requests in progress. */
    public int inProgress() {
        return table.size();
    }

    /** Refuses new calls from now on. */
    public void drain() {
        draining = true;
    }

    /** Takes a checked call. */
    public void accept(CallSpec spec, CallerReply reply) {
        if (draining) {
            refuse(
                    reply,
                    Failure.notRun(ErrorKind.DRAINING, "this router is stopping")
                            .retryAfter(DRAINING_RETRY_MILLIS));
            return;
        }
        if (!ports.targets().knows(spec.serves())) {
            ErrorKind kind = spec.kind() == CallSpec.Kind.CHAT ? ErrorKind.UNKNOWN_MODEL : ErrorKind.NO_TARGET;
            refuse(reply, Failure.notRun(kind, "no target serves " + spec.serves()));
            return;
        }
        Optional<Failure> refusal = strikes.refusal(spec.fingerprint(), Failure.Ran.NO, nowMillis);
        if (refusal.isPresent()) {
            refuse(reply, refusal.get());
            return;
        }
        counters.accepted++;
        Request request = new Request(ports.requestIds().get(), spec, reply, nowMillis + limits.deadlineMillis());
        reply.onClosed(() -> onCallerGone(request));
        table.add(request);
    }

    private void refuse(CallerReply reply, Failure failure) {
        counters.failed(failure.kind());
        reply.fail(failure);
    }

    /** Runs the systems over the requests that have work, and over all of them now and then for their deadlines. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (tickMillis - sweptAtMillis >= SWEEP_MILLIS) {
            sweptAtMillis = tickMillis;
            sweep();
        }
        Request request = table.takeReady();
        while (request != null) {
            run(request);
            request = table.takeReady();
        }
    }

    private void run(Request request) {
        switch (request.phase) {
            case CLAIM -> claims.claim(request, nowMillis);
            case ADMIT -> admit(request);
            case DISPATCH -> dispatch.dispatch(request, nowMillis);
            case BILL -> settlement.bill(request);
            default -> {}
        }
    }

    private void admit(Request request) {
        request.phase = Request.Phase.ADMITTING;
        ports.shares().reserve(request.spec.budget(), request.spec.worstCaseTokens(), result -> {
            if (request.phase != Request.Phase.ADMITTING) {
                result.peek(ports.shares()::cancel);
                return;
            }
            if (result.isLeft()) {
                finisher.fail(request, result.getLeft());
                return;
            }
            request.reservation = result.get();
            table.moveTo(request, Request.Phase.DISPATCH);
        });
    }

    private void sweep() {
        for (Request request : table.snapshot()) {
            if (request.phase == Request.Phase.AWAIT_OTHER) {
                claims.poll(request, nowMillis);
            }
            if (request.phase == Request.Phase.DISPATCH) {
                table.markReady(request);
            }
            if (nowMillis >= request.deadlineMillis && request.phase != Request.Phase.BILLING) {
                expire(request);
            }
        }
    }

    private void expire(Request request) {
        Failure.Ran ran = ranSoFar(request);
        dispatch.cancel(request);
        finisher.fail(
                request, new Failure(ErrorKind.DEADLINE_EXCEEDED, "the deadline of the request has passed", ran, 0));
    }

    private static Failure.Ran ranSoFar(Request request) {
        if (request.phase == Request.Phase.AWAIT_OTHER || request.phase == Request.Phase.RUNNING) {
            return Failure.Ran.UNKNOWN;
        }
        return request.dispatched ? Failure.Ran.UNKNOWN : Failure.Ran.NO;
    }

    private void onCallerGone(Request request) {
        counters.callersGone++;
        request.callerGone = true;
        boolean committed = request.phase == Request.Phase.BILL || request.phase == Request.Phase.BILLING;
        if (request.keyed() || committed || request.phase == Request.Phase.FINISHED) {
            return;
        }
        dispatch.cancel(request);
        finisher.finish(request);
    }

    private final class RowFinisher implements Finisher {

        @Override
        public void fail(Request request, Failure failure) {
            counters.failed(failure.kind());
            closeClaim(request, failure);
            boolean streamed = request.spec.stream() && request.relayedEvents > 0;
            if (!request.callerGone && streamed) {
                request.reply.write(
                        ServerSentEvents.encode(ErrorAnswer.json(failure).toString()));
                request.reply.abort();
            } else if (!request.callerGone) {
                request.reply.fail(failure);
            }
            finish(request);
        }

        private void closeClaim(Request request, Failure failure) {
            Journal.Attempt claim = request.claim;
            request.claim = null;
            if (claim == null || request.phase == Request.Phase.CLAIMING) {
                return;
            }
            if (failure.ran() == Failure.Ran.NO || request.spec.repeatable()) {
                claims.release(claim);
                return;
            }
            claims.giveUp(claim);
        }

        @Override
        public void finish(Request request) {
            request.phase = Request.Phase.FINISHED;
            Reservation reservation = request.reservation;
            request.reservation = null;
            if (reservation != null) {
                ports.shares().cancel(reservation);
            }
            table.remove(request);
        }
    }
}
