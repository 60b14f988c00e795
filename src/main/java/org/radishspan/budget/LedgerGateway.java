package org.radishspan.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.radishspan.error.Failure;
import org.radishspan.proto.CommittedMark;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.LedgerOp;
import org.radishspan.proto.LedgerResult;
import org.radishspan.store.StoreEra;

/**
 * Sends changes of ledgers to the router that commits them.
 *
 * <p>For each ledger one router is the combiner: the first by rendezvous hashing among the live routers. It commits the
 * changes of all others, many of them in one write. The choice is an optimization only. A router that receives no response
 * sends its changes to the next combiner, and finally commits them itself. Several routers may act as the combiner of one
 * ledger at the same time, because every change is idempotent.
 */
public final class LedgerGateway {

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
    }

    /** The default time within which another router must respond. */
    public static final long DEFAULT_RESPONSE_TIMEOUT_MILLIS = 1_000;

    /**
     * How often a change is sent to another combiner before it is committed here. Several sends are needed because those of
     * a fleet that is starting fail immediately.
     */
    private static final int MAX_SENDS = 8;

    private record QueuedChange(LedgerOp op, Consumer<LedgerResult> done, int sends) {}

    private record SentCall(String vm, int partition, List<QueuedChange> ops, long timeoutAtMillis) {}

    private final LedgerPartitions ledgers;
    private final CombinerClient combinerClient;
    private final StoreEra storeEra;
    private final long responseTimeoutMillis;
    private final Map<String, CommittedMark> marks = new HashMap<>();
    private final Map<Integer, List<QueuedChange>> outbox = new LinkedHashMap<>();
    private final Map<Long, SentCall> sentCalls = new LinkedHashMap<>();
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
        queue(partition, new QueuedChange(op, done, 0));
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
        retryMatching(call -> nowMillis >= call.timeoutAtMillis());
        outbox.forEach((partition, ops) -> {
            String vm = combinerClient.combinerOf(partition);
            if (vm.isEmpty()) {
                commitLocally(partition, ops);
                return;
            }
            send(vm, partition, ops, nowMillis);
        });
        outbox.clear();
    }

    private void commitLocally(int partition, List<QueuedChange> ops) {
        for (QueuedChange change : ops) {
            ledgers.get(partition)
                    .submit(
                            LedgerOps.mutation(change.op()),
                            outcome -> finish(change, LedgerOps.result(change.op(), outcome, storeEra.current())));
        }
    }

    private void send(String vm, int partition, List<QueuedChange> ops, long nowMillis) {
        lastCallId++;
        List<QueuedChange> sent = ops.stream()
                .map(change -> new QueuedChange(change.op(), change.done(), change.sends() + 1))
                .toList();
        sentCalls.put(lastCallId, new SentCall(vm, partition, sent, nowMillis + responseTimeoutMillis));
        LedgerCall.Builder call = LedgerCall.newBuilder().setCallId(lastCallId).setPartition(partition);
        ops.forEach(change -> call.addOps(change.op()));
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
        List<SentCall> unanswered = new ArrayList<>();
        sentCalls.values().removeIf(call -> {
            boolean due = filter.test(call);
            if (due) {
                unanswered.add(call);
            }
            return due;
        });
        for (SentCall call : unanswered) {
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
            if (sameCombiner || change.sends() >= MAX_SENDS) {
                commitLocally(call.partition(), List.of(change));
            } else {
                queue(call.partition(), change);
            }
        }
    }

    /** Commits the changes that another router sent, and returns their results to it. */
    public void onCall(String vm, LedgerCall call) {
        if (call.getPartition() < 0 || call.getPartition() >= ledgers.all().size()) {
            return;
        }
        LedgerResult[] results = new LedgerResult[call.getOpsCount()];
        int[] remaining = {results.length};
        for (int i = 0; i < results.length; i++) {
            int index = i;
            LedgerOp op = call.getOps(i);
            ledgers.get(call.getPartition()).submit(LedgerOps.mutation(op), outcome -> {
                results[index] = LedgerOps.result(op, outcome, storeEra.current());
                remaining[0]--;
                if (remaining[0] == 0) {
                    combinerClient.reply(
                            vm,
                            LedgerAnswer.newBuilder()
                                    .setCallId(call.getCallId())
                                    .addAllResults(List.of(results))
                                    .build());
                }
            });
        }
    }

    /**
     * Processes the results of a call. Results of a call that is being retried are ignored, because the retry returns
     * results of its own.
     */
    public void onAnswer(LedgerAnswer answer) {
        SentCall call = sentCalls.remove(answer.getCallId());
        if (call == null || call.ops().size() != answer.getResultsCount()) {
            return;
        }
        for (int i = 0; i < call.ops().size(); i++) {
            finish(call.ops().get(i), answer.getResults(i));
        }
    }

    private void finish(QueuedChange change, LedgerResult result) {
        if (result.hasEra()) {
            storeEra.onReported(result.getEra());
        }
        if (result.hasCommittedTokens()) {
            recordMark(change.op().getBudget(), result);
        }
        change.done().accept(result);
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
