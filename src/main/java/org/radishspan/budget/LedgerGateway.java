package org.radishspan.budget;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import org.radishspan.error.Failure;
import org.radishspan.proto.CommittedMark;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.LedgerOp;
import org.radishspan.proto.LedgerResult;
import org.radishspan.store.SharedObject;
import org.radishspan.store.StoreEra;

/**
 * Sends changes of ledgers to the router that commits them.
 *
 * <p>For each ledger one router is the combiner: the first by rendezvous hashing among the live routers. It commits the
 * changes of all others, many of them in one write. The choice is an optimization only. A router that receives no response
 * sends its changes to the next combiner, and finally commits them itself. Several routers may act as the combiner of one
 * ledger at the same time, because every change is idempotent.
 *
 * <p>A router that loses the store answers the calls that it holds at once, and passes its own changes on to a router that
 * reaches the store. Changes that it had sent in a write of unknown outcome may take effect as well, before or after.
 */
public final class LedgerGateway {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Determines the combiner of a ledger and exchanges messages with other routers. */
    public interface CombinerClient {
        /** Returns the VM of the combiner of a partition; an empty string if it is this router. */
        String combinerOf(int partition);

        /** Sends changes to another router; the message may be lost. */
        void send(String vm, LedgerCall call);

        /** Called when another router did not respond in time. */
        void onTimeout(String vm);

        /** Sends results to the router that sent the changes; the message may be lost. */
        void reply(String vm, LedgerAnswer answer);

        /** Called when another router answered that it does not reach the store. */
        default void onStoreUnreachable(String vm) {
            onTimeout(vm);
        }

        /** Returns whether this router does not reach the store. */
        default boolean storeUnreachable() {
            return false;
        }
    }

    /** The default time within which another router must respond. */
    public static final long DEFAULT_RESPONSE_TIMEOUT_MILLIS = 1_000;

    /**
     * How often a change is sent to another combiner before it is committed here. Several sends are needed because those of
     * a fleet that is starting fail immediately.
     */
    private static final int MAX_SENDS = 8;

    /** How long the answer to a call is still accepted after its changes were sent to another router. */
    private static final long LATE_ANSWER_MILLIS = 5_000;

    /** A change until its first result. Further results, from other routers that committed it too, are ignored. */
    private static final class QueuedChange {
        private final LedgerOp op;
        private final Consumer<LedgerResult> done;
        private int sends;
        private boolean finished;

        QueuedChange(LedgerOp op, Consumer<LedgerResult> done) {
            this.op = op;
            this.done = done;
        }
    }

    private record SentCall(String vm, int partition, List<QueuedChange> ops, long timeoutAtMillis) {}

    /**
     * A change that this router commits.
     *
     * @param lastResort whether other routers did not answer, so that it is not sent to them again
     */
    private record LocalChange(
            int partition, QueuedChange change, SharedObject<LedgerBook>.Ticket ticket, boolean lastResort) {}

    /** The changes of another router that this one commits. */
    private static final class HeldCall {
        private final String vm;
        private final LedgerCall call;
        private final LedgerResult[] results;
        private final List<SharedObject<LedgerBook>.Ticket> tickets = new ArrayList<>();
        private int remaining;

        HeldCall(String vm, LedgerCall call) {
            this.vm = vm;
            this.call = call;
            this.results = new LedgerResult[call.getOpsCount()];
            this.remaining = results.length;
        }
    }

    private final LedgerPartitions ledgers;
    private final CombinerClient combinerClient;
    private final StoreEra storeEra;
    private final long responseTimeoutMillis;
    private final Map<String, CommittedMark> marks = new HashMap<>();
    private final Map<Integer, List<QueuedChange>> outbox = new LinkedHashMap<>();
    private final Map<Long, SentCall> sentCalls = new LinkedHashMap<>();
    private final Map<Long, SentCall> retriedCalls = new LinkedHashMap<>();
    private final Map<QueuedChange, LocalChange> localChanges = new LinkedHashMap<>();
    private final Set<HeldCall> heldCalls = new LinkedHashSet<>();
    private long refusedCalls;
    private long changesPassedOn;
    private long lastCallId;

    /** Creates a gateway with the default response time-out for ledgers in a store that names no era. */
    public LedgerGateway(LedgerPartitions ledgers, CombinerClient combinerClient) {
        this(ledgers, combinerClient, new StoreEra(), DEFAULT_RESPONSE_TIMEOUT_MILLIS);
    }

    /**
     * Creates a gateway.
     *
     * @param storeEra the era of the store, of which routers also inform each other with the results of changes
     * @param responseTimeoutMillis the time after which changes without a response are sent to the next combiner or
     *     committed here
     */
    public LedgerGateway(
            LedgerPartitions ledgers, CombinerClient combinerClient, StoreEra storeEra, long responseTimeoutMillis) {
        this.ledgers = ledgers;
        this.combinerClient = combinerClient;
        this.storeEra = storeEra;
        this.responseTimeoutMillis = responseTimeoutMillis;
    }

    /** Returns the number of the partition whose ledger contains a budget. */
    public int partitionOf(String budget) {
        return ledgers.partitionOf(budget);
    }

    /** Queues a change. The consumer is called once, when the change is committed or refused. */
    void submit(int partition, LedgerOp op, Consumer<LedgerResult> done) {
        queue(partition, new QueuedChange(op, done));
    }

    private void queue(int partition, QueuedChange change) {
        outbox.computeIfAbsent(partition, ignored -> new ArrayList<>()).add(change);
    }

    /** Adopts the limit of a budget from a configuration. The consumer receives the failure if the change is refused. */
    public void adoptLimit(
            String budget, long limitTokens, long configurationVersion, Consumer<Optional<Failure>> done) {
        submit(
                partitionOf(budget),
                LedgerOps.adoptLimit(budget, limitTokens, configurationVersion),
                result -> done.accept(LedgerOps.failure(result)));
    }

    /** Closes the shares of every earlier process on the VM of a process. The consumer is called once for each ledger. */
    public void closeEarlierShares(Ledger.ProcessStart start, Consumer<Optional<Failure>> done) {
        for (int partition = 0; partition < ledgers.all().size(); partition++) {
            submit(partition, LedgerOps.closeEarlierShares(start), result -> done.accept(LedgerOps.failure(result)));
        }
    }

    /** Sends the queued changes, and retries those that were not answered in time. */
    public void tick(long nowMillis) {
        retriedCalls.values().removeIf(call -> nowMillis >= call.timeoutAtMillis() + LATE_ANSWER_MILLIS);
        retryMatching(call -> nowMillis >= call.timeoutAtMillis());
        if (combinerClient.storeUnreachable()) {
            refuseHeldCalls();
        }
        passOnLocalChanges();
        outbox.forEach((partition, queued) -> {
            List<QueuedChange> ops =
                    queued.stream().filter(change -> !change.finished).toList();
            if (ops.isEmpty()) {
                return;
            }
            String vm = combinerClient.combinerOf(partition);
            if (vm.isEmpty()) {
                commitLocally(partition, ops, false);
                return;
            }
            send(vm, partition, ops, nowMillis);
        });
        outbox.clear();
    }

    /** Answers the calls of other routers whose changes wait here for the store, so that their senders don't wait as well. */
    private void refuseHeldCalls() {
        for (HeldCall held : List.copyOf(heldCalls)) {
            heldCalls.remove(held);
            held.tickets.forEach(SharedObject.Ticket::cancel);
            // Reads the ledger until the store answers again, as nothing else may be left to do.
            ledgers.get(held.call.getPartition()).refresh();
            refuse(held.vm, held.call);
        }
    }

    private void refuse(String vm, LedgerCall call) {
        refusedCalls++;
        // Routers of an earlier version drop the changes of an answer that lacks results.
        combinerClient.reply(
                vm,
                LedgerAnswer.newBuilder()
                        .setCallId(call.getCallId())
                        .setStoreUnreachable(true)
                        .addAllResults(Collections.nCopies(call.getOpsCount(), LedgerOps.UNAVAILABLE))
                        .build());
    }

    /**
     * Queues the changes that wait here again if another router commits for the fleet. Otherwise all routers that had no other
     * combiner during an outage would write the ledger when it ends, and most of their writes would conflict.
     */
    private void passOnLocalChanges() {
        if (localChanges.isEmpty()) {
            return;
        }
        boolean withoutStore = combinerClient.storeUnreachable();
        for (LocalChange local : List.copyOf(localChanges.values())) {
            boolean passedOn = withoutStore || !local.lastResort();
            if (!passedOn || combinerClient.combinerOf(local.partition()).isEmpty()) {
                continue;
            }
            localChanges.remove(local.change());
            local.ticket().cancel();
            if (withoutStore) {
                ledgers.get(local.partition()).refresh();
            }
            changesPassedOn++;
            local.change().sends = 0;
            queue(local.partition(), local.change());
        }
    }

    private void commitLocally(int partition, List<QueuedChange> ops, boolean lastResort) {
        for (QueuedChange change : ops) {
            SharedObject<LedgerBook>.Ticket ticket = ledgers.get(partition)
                    .submit(
                            LedgerOps.mutation(change.op),
                            outcome -> finish(change, LedgerOps.result(change.op, outcome, storeEra.current())));
            localChanges.put(change, new LocalChange(partition, change, ticket, lastResort));
        }
    }

    private void send(String vm, int partition, List<QueuedChange> ops, long nowMillis) {
        lastCallId++;
        sentCalls.put(lastCallId, new SentCall(vm, partition, ops, nowMillis + responseTimeoutMillis));
        LedgerCall.Builder call = LedgerCall.newBuilder().setCallId(lastCallId).setPartition(partition);
        for (QueuedChange change : ops) {
            change.sends++;
            call.addOps(change.op);
        }
        combinerClient.send(vm, call.build());
    }

    /**
     * Retries the changes that were sent to a router whose connection is lost. The router may have committed them, which is
     * safe because changes are idempotent.
     */
    public void onConnectionLost(String vm) {
        retryMatching(call -> call.vm().equals(vm));
    }

    private void retryMatching(Predicate<SentCall> filter) {
        Map<Long, SentCall> unanswered = new LinkedHashMap<>();
        sentCalls.forEach((callId, call) -> {
            if (filter.test(call)) {
                unanswered.put(callId, call);
            }
        });
        sentCalls.keySet().removeAll(unanswered.keySet());
        retriedCalls.putAll(unanswered);
        for (SentCall call : unanswered.values()) {
            combinerClient.onTimeout(call.vm());
            retry(call);
        }
    }

    /**
     * Queues the changes of a call for the next combiner, or commits them here if there is no other one or they were sent
     * too often. If many routers wrote the ledger themselves, most of their writes would conflict.
     */
    private void retry(SentCall call) {
        boolean sameCombiner = combinerClient.combinerOf(call.partition()).equals(call.vm());
        for (QueuedChange change : call.ops()) {
            if (change.finished) {
                continue;
            }
            if (sameCombiner || change.sends >= MAX_SENDS) {
                commitLocally(call.partition(), List.of(change), true);
            } else {
                queue(call.partition(), change);
            }
        }
    }

    /** Commits the changes that another router sent, and returns their results to it; refuses them without the store. */
    public void onCall(String vm, LedgerCall call) {
        if (call.getPartition() < 0 || call.getPartition() >= ledgers.all().size() || call.getOpsCount() == 0) {
            return;
        }
        if (combinerClient.storeUnreachable()) {
            refuse(vm, call);
            return;
        }
        HeldCall held = new HeldCall(vm, call);
        heldCalls.add(held);
        for (int i = 0; i < held.results.length; i++) {
            int index = i;
            LedgerOp op = call.getOps(i);
            held.tickets.add(ledgers.get(call.getPartition())
                    .submit(
                            LedgerOps.mutation(op),
                            outcome ->
                                    onHeldChangeDone(held, index, LedgerOps.result(op, outcome, storeEra.current()))));
        }
    }

    private void onHeldChangeDone(HeldCall held, int index, LedgerResult result) {
        held.results[index] = result;
        held.remaining--;
        if (held.remaining > 0) {
            return;
        }
        heldCalls.remove(held);
        combinerClient.reply(
                held.vm,
                LedgerAnswer.newBuilder()
                        .setCallId(held.call.getCallId())
                        .addAllResults(List.of(held.results))
                        .build());
    }

    /**
     * Processes the results of a call. Those of a call that is being retried count as well, unless the retry was answered
     * first. If the other router does not reach the store, the changes are retried at once.
     */
    public void onAnswer(LedgerAnswer answer) {
        SentCall call = sentCalls.remove(answer.getCallId());
        boolean retried = call == null;
        if (call == null) {
            call = retriedCalls.remove(answer.getCallId());
        }
        if (call == null) {
            return;
        }
        if (answer.getStoreUnreachable()) {
            combinerClient.onStoreUnreachable(call.vm());
            // The next combiner is another router, so refusals need no limit, unlike calls without an answer.
            call.ops().forEach(change -> change.sends--);
            if (!retried) {
                retry(call);
            }
            return;
        }
        if (call.ops().size() != answer.getResultsCount()) {
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "VM %s answered %s ledger changes with %s results",
                    call.vm(), call.ops().size(), answer.getResultsCount());
            if (!retried) {
                retry(call);
            }
            return;
        }
        for (int i = 0; i < call.ops().size(); i++) {
            finish(call.ops().get(i), answer.getResults(i));
        }
    }

    private void finish(QueuedChange change, LedgerResult result) {
        if (change.finished) {
            return;
        }
        change.finished = true;
        LocalChange local = localChanges.remove(change);
        if (local != null) {
            local.ticket().cancel();
        }
        if (result.hasEra()) {
            storeEra.onReported(result.getEra());
        }
        if (result.hasCommittedTokens()) {
            recordMark(change.op.getBudget(), result);
        }
        change.done.accept(result);
    }

    /** Returns whether this router or, as far as it knows, another one can commit changes of a ledger. */
    boolean ledgerReachable(int partition) {
        boolean reachedFromHere =
                !combinerClient.storeUnreachable() && !ledgers.get(partition).lastCallFailed();
        return reachedFromHere || !combinerClient.combinerOf(partition).isEmpty();
    }

    /** Returns how many calls of other routers were refused because this router did not reach the store. */
    public long refusedCalls() {
        return refusedCalls;
    }

    /** Returns how many changes were passed on to another router because this one had lost the store. */
    public long changesPassedOn() {
        return changesPassedOn;
    }

    private void recordMark(String budget, LedgerResult result) {
        CommittedMark mark = CommittedMark.newBuilder()
                .setBudget(budget)
                .setEra(result.hasEra() ? result.getEra() : StoreEra.UNKNOWN)
                .setGeneration(result.getGeneration())
                .setCommittedTokens(result.getCommittedTokens())
                .build();
        CommittedMark last = marks.get(budget);
        if (last == null || LedgerBook.Version.of(mark).isLaterThan(LedgerBook.Version.of(last))) {
            marks.put(budget, mark);
        }
    }

    /** Returns the tokens that each budget of a ledger had committed when this router last heard of it. */
    List<CommittedMark> marks(int partition) {
        return marks.values().stream()
                .filter(mark -> partitionOf(mark.getBudget()) == partition)
                .toList();
    }

    /** Returns whether the store names its era, so that a loss of what it had acknowledged is noticed. */
    boolean storeNamesEra() {
        return storeEra.current() != StoreEra.UNKNOWN;
    }

    /** Returns the ledgers that this router reads and writes. */
    LedgerPartitions ledgers() {
        return ledgers;
    }

    /** Returns whether this router commits the changes of a ledger, for others too. */
    boolean isCombiner(int partition) {
        return combinerClient.combinerOf(partition).isEmpty();
    }

    /** Returns whether no change is queued or waiting for a response. */
    public boolean idle() {
        return outbox.isEmpty() && sentCalls.isEmpty();
    }
}
