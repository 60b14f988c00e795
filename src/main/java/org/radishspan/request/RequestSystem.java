package org.radishspan.request;

import java.util.Optional;
import java.util.function.Supplier;

import org.radishspan.budget.Reservation;
import org.radishspan.budget.ShareSystem;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.ErrorResponse;
import org.radishspan.http.HttpTransport;
import org.radishspan.journal.Journal;
import org.radishspan.journal.JournalPartitions;
import org.radishspan.routing.TargetChooser;
import org.radishspan.routing.TargetTable;

/** Processes requests from acceptance to the response by running the systems that own the phases of a request. */
public final class RequestSystem {

    /**
     * The collaborators of the system.
     *
     * @param shares this router's shares of the budgets
     * @param journals the journals in which requests with an idempotency key are recorded
     * @param targets the known targets
     * @param chooser selects a target among the candidates
     * @param transport sends requests to targets
     * @param requestIds returns a new request id with each call
     * @param strikeNotifier notifies the other routers of requests that crashed a target
     */
    public record Ports(
            ShareSystem shares,
            JournalPartitions journals,
            TargetTable targets,
            TargetChooser chooser,
            HttpTransport transport,
            Supplier<String> requestIds,
            QuarantineTable.Notifier strikeNotifier) {}

    /**
     * The identity of the router and the limits of its requests.
     *
     * @param incarnation the incarnation of this router process
     * @param failureDomain the failure domain in which the router runs
     * @param deadlineMillis the maximum duration of a request
     * @param progressTimeoutMillis an attempt fails if its target sends nothing for this long
     * @param awaitMillis how long a repeated call waits for the attempt already in progress
     * @param retention how long and how many outcomes are kept in a journal
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
    private final QuarantineTable quarantineTable;
    private final Finisher finisher;
    private final ClaimSystem claims;
    private final DispatchSystem dispatch;
    private final SettlementSystem settlement;
    private boolean draining;
    private long nowMillis;
    private long lastSweepMillis;

    /** Creates the system without any request. */
    public RequestSystem(Ports ports, Limits limits) {
        this.ports = ports;
        this.quarantineTable =
                new QuarantineTable(ports.strikeNotifier(), QuarantineTable.DEFAULT_TARGETS_BEFORE_QUARANTINE);
        this.limits = limits;
        this.finisher = new RequestFinisher();
        this.claims = new ClaimSystem(
                limits.incarnation(),
                ports.journals(),
                limits.retention(),
                limits.awaitMillis(),
                table,
                counters,
                finisher);
        this.dispatch = new DispatchSystem(table, counters, ports, limits, quarantineTable, finisher);
        this.settlement = new SettlementSystem(
                table, counters, ports.shares(), ports.journals(), claims, finisher, limits.retention());
    }

    /** Returns the counters of request outcomes. */
    public RequestCounters counters() {
        return counters;
    }

    /** Returns the table of requests that crashed targets. */
    public QuarantineTable quarantineTable() {
        return quarantineTable;
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return table.size();
    }

    /** Refuses new calls from now on; requests in progress continue. */
    public void drain() {
        draining = true;
    }

    /**
     * Accepts a validated call; the response is sent through {@code callerResponse} in later ticks.
     *
     * <p>The call is refused at once if the router is draining, if no target serves the model or service, or if the
     * request is quarantined.
     */
    public void accept(CallSpec spec, CallerResponse callerResponse) {
        if (draining) {
            refuse(
                    callerResponse,
                    Failure.notRun(ErrorKind.DRAINING, "the router is draining and accepts no new requests")
                            .retryAfter(DRAINING_RETRY_MILLIS));
            return;
        }
        if (!ports.targets().hasTargetFor(spec.modelOrService())) {
            ErrorKind kind = spec.kind() == CallSpec.Kind.CHAT ? ErrorKind.UNKNOWN_MODEL : ErrorKind.NO_TARGET;
            refuse(callerResponse, Failure.notRun(kind, "no target serves " + spec.modelOrService()));
            return;
        }
        Optional<Failure> refusal = quarantineTable.refusal(spec.fingerprint(), Failure.Ran.NO, nowMillis);
        if (refusal.isPresent()) {
            refuse(callerResponse, refusal.get());
            return;
        }
        counters.accepted++;
        Request request =
                new Request(ports.requestIds().get(), spec, callerResponse, nowMillis + limits.deadlineMillis());
        callerResponse.onClosed(() -> onCallerDisconnected(request));
        table.add(request);
    }

    private void refuse(CallerResponse callerResponse, Failure failure) {
        counters.failed(failure.kind());
        callerResponse.fail(failure);
    }

    /**
     * Processes the requests that are ready for the next step. Every {@value #SWEEP_MILLIS} ms it also checks all
     * requests for expired deadlines and due polls.
     */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (tickMillis - lastSweepMillis >= SWEEP_MILLIS) {
            lastSweepMillis = tickMillis;
            sweep();
        }
        Request request = table.pollReady();
        while (request != null) {
            run(request);
            request = table.pollReady();
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
            if (request.phase == Request.Phase.AWAIT_OTHER_ATTEMPT) {
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
        finisher.fail(request, new Failure(ErrorKind.DEADLINE_EXCEEDED, "the request exceeded its deadline", ran, 0));
    }

    private static Failure.Ran ranSoFar(Request request) {
        if (request.phase == Request.Phase.AWAIT_OTHER_ATTEMPT || request.phase == Request.Phase.RUNNING) {
            return Failure.Ran.UNKNOWN;
        }
        return request.dispatched ? Failure.Ran.UNKNOWN : Failure.Ran.NO;
    }

    private void onCallerDisconnected(Request request) {
        counters.callersDisconnected++;
        request.callerDisconnected = true;
        boolean committed = request.phase == Request.Phase.BILL || request.phase == Request.Phase.BILLING;
        if (request.keyed() || committed || request.phase == Request.Phase.FINISHED) {
            return;
        }
        dispatch.cancel(request);
        finisher.finish(request);
    }

    /** Ends requests: closes the claim, sends the failure, frees the reservation and removes the request. */
    private final class RequestFinisher implements Finisher {

        @Override
        public void fail(Request request, Failure failure) {
            counters.failed(failure.kind());
            closeClaim(request, failure);
            boolean streamed = request.spec.stream() && request.relayedEvents > 0;
            if (!request.callerDisconnected && streamed) {
                request.callerResponse.write(
                        ServerSentEvents.encode(ErrorResponse.json(failure).toString()));
                request.callerResponse.abort();
            } else if (!request.callerDisconnected) {
                request.callerResponse.fail(failure);
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
            claims.recordUnknownOutcome(claim);
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
