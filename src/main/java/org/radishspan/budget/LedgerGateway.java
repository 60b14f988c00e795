package org.radishspan.budget;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.radishspan.error.Failure;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.LedgerOp;
import org.radishspan.proto.LedgerResult;

/**
 * Brings changes of ledgers to the router that commits them.
 *
 * <p>For each ledger one router, the first by rendezvous hashing among those alive, commits what all others send, many
 * changes in one write. Who that is, is a hint: a router that hears nothing back sends its changes to the next one and in the
 * end commits them itself; routers that all believe they are first are as safe as one, as every change is idempotent.
 */
public final class LedgerGateway {

    /** Finds the router that commits for a ledger, and sends to it. */
    public interface Combiners {
        /** Returns the VM that commits for a partition; empty text if it is this one. */
        String combinerOf(int partition);

        /** Sends changes to another router; they may be lost. */
        void send(String vm, LedgerCall call);

        /** Notes that another router did not answer in time. */
        void onUnanswered(String vm);

        /** Sends results back; they may be lost. */
        void reply(String vm, LedgerAnswer answer);
    }

    /** How long another router usually has for an answer. */
    public static final long USUAL_ANSWER_MILLIS = 1_000;

    /** A change is sent to another combiner so often before it is committed here; those of a fleet that starts fail at once. */
    private static final int MAX_SENDS = 8;

    private record Queued(LedgerOp op, Consumer<LedgerResult> done, int sends) {}

    private record SentCall(String vm, int partition, List<Queued> ops, long untilMillis) {}

    private final LedgerPartitions ledgers;
    private final Combiners combiners;
    private final long answerMillis;
    private final Map<Integer, List<Queued>> outbox = new LinkedHashMap<>();
    private final Map<Long, SentCall> sentCalls = new LinkedHashMap<>();
    private long callCount;

    /** Creates a gateway to ledgers. */
    public LedgerGateway(LedgerPartitions ledgers, Combiners combiners) {
        this(ledgers, combiners, USUAL_ANSWER_MILLIS);
    }

    /**
     * Creates a gateway to ledgers.
     *
     * @param answerMillis changes that another router has not answered for so long are committed here
     */
    public LedgerGateway(LedgerPartitions ledgers, Combiners combiners, long answerMillis) {
        this.ledgers = ledgers;
        this.combiners = combiners;
        this.answerMillis = answerMillis;
    }

    /** Returns the number of the ledger that holds a budget. */
    public int partitionOf(String budget) {
        return ledgers.partitionOf(budget);
    }

    /** Queues a change; the consumer is called once, when the change is committed or refused. */
    void submit(int partition, LedgerOp op, Consumer<LedgerResult> done) {
        queue(partition, new Queued(op, done, 0));
    }

    private void queue(int partition, Queued queued) {
        outbox.computeIfAbsent(partition, ignored -> new ArrayList<>()).add(queued);
    }

    /** Takes over the limit of a budget from a configuration; the consumer is told why it is refused, if it is. */
    public void adoptLimit(
            String budget, long limitTokens, long configurationVersion, Consumer<Optional<Failure>> done) {
        submit(
                partitionOf(budget),
                LedgerOps.adoptLimit(budget, limitTokens, configurationVersion),
                result -> done.accept(LedgerOps.failure(result)));
    }

    /** Closes the shares of every earlier process on the VM of a process; the consumer is called for each ledger. */
    public void closeEarlier(Ledger.ProcessStart start, Consumer<Optional<Failure>> done) {
        for (int partition = 0; partition < ledgers.all().size(); partition++) {
            submit(partition, LedgerOps.closeEarlier(start), result -> done.accept(LedgerOps.failure(result)));
        }
    }

    /** Sends what is queued, and takes back what was not answered in time. */
    public void tick(long nowMillis) {
        takeBack(call -> nowMillis >= call.untilMillis());
        outbox.forEach((partition, ops) -> {
            String vm = combiners.combinerOf(partition);
            if (vm.isEmpty()) {
                commitHere(partition, ops);
                return;
            }
            send(vm, partition, ops, nowMillis);
        });
        outbox.clear();
    }

    private void commitHere(int partition, List<Queued> ops) {
        for (Queued queued : ops) {
            ledgers.get(partition)
                    .submit(
                            LedgerOps.mutation(queued.op()),
                            outcome -> queued.done().accept(LedgerOps.result(queued.op(), outcome)));
        }
    }

    private void send(String vm, int partition, List<Queued> ops, long nowMillis) {
        callCount++;
        List<Queued> sent = ops.stream()
                .map(queued -> new Queued(queued.op(), queued.done(), queued.sends() + 1))
                .toList();
        sentCalls.put(callCount, new SentCall(vm, partition, sent, nowMillis + answerMillis));
        LedgerCall.Builder call = LedgerCall.newBuilder().setCallId(callCount).setPartition(partition);
        ops.forEach(queued -> call.addOps(queued.op()));
        combiners.send(vm, call.build());
    }

    /** Takes back what was sent to a router whose connection is lost; it may have committed it, which does no harm. */
    public void onConnectionLost(String vm) {
        takeBack(call -> call.vm().equals(vm));
    }

    private void takeBack(Predicate<SentCall> which) {
        List<SentCall> late = new ArrayList<>();
        sentCalls.values().removeIf(call -> {
            boolean due = which.test(call);
            if (due) {
                late.add(call);
            }
            return due;
        });
        for (SentCall call : late) {
            combiners.onUnanswered(call.vm());
            passOn(call);
        }
    }

    /** Many routers that all wrote a ledger themselves would keep each other from it, so the next combiner comes first. */
    private void passOn(SentCall call) {
        boolean sameAgain = combiners.combinerOf(call.partition()).equals(call.vm());
        for (Queued queued : call.ops()) {
            if (sameAgain || queued.sends() >= MAX_SENDS) {
                commitHere(call.partition(), List.of(queued));
            } else {
                queue(call.partition(), queued);
            }
        }
    }

    /** Commits what another router sent. */
    public void onCall(String vm, LedgerCall call) {
        if (call.getPartition() < 0 || call.getPartition() >= ledgers.all().size()) {
            return;
        }
        LedgerResult[] results = new LedgerResult[call.getOpsCount()];
        int[] open = {results.length};
        for (int i = 0; i < results.length; i++) {
            int index = i;
            LedgerOp op = call.getOps(i);
            ledgers.get(call.getPartition()).submit(LedgerOps.mutation(op), outcome -> {
                results[index] = LedgerOps.result(op, outcome);
                open[0]--;
                if (open[0] == 0) {
                    combiners.reply(
                            vm,
                            LedgerAnswer.newBuilder()
                                    .setCallId(call.getCallId())
                                    .addAllResults(List.of(results))
                                    .build());
                }
            });
        }
    }

    /** Takes the results of a call; those of a call that was taken back are left to the commit here. */
    public void onAnswer(LedgerAnswer answer) {
        SentCall call = sentCalls.remove(answer.getCallId());
        if (call == null || call.ops().size() != answer.getResultsCount()) {
            return;
        }
        for (int i = 0; i < call.ops().size(); i++) {
            call.ops().get(i).done().accept(answer.getResults(i));
        }
    }

    /** Returns whether nothing waits for an answer. */
    public boolean idle() {
        return outbox.isEmpty() && sentCalls.isEmpty();
    }
}
