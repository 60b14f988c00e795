package org.radishspan.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;

/**
 * An object of the platform that several VMs change by idempotent mutations, many in one conditional update.
 *
 * <p>A conflict re-reads the object and applies the mutations again. A write whose outcome is unknown is treated the
 * same way: as every mutation is idempotent, applying it to a state that already holds it changes nothing. A
 * mutation is refused, or found to have nothing left to do, only on the ground of a state read after it was submitted. While other VMs write the
 * same object, it is read just before each write, as reads are cheaper than writes that meet a conflict.
 *
 * <pre>{@code
 * SharedObject<LedgerState> ledger = new SharedObject<>("ledger/0", LedgerState::parse, LedgerState::toByteArray, ports);
 * ledger.submit(AccountChanges.topUp("crew", "op-1", 5_000), result -> result.peek(this::show));
 * ledger.tick(nowMillis);
 * }</pre>
 *
 * @param <S> the immutable state that the object holds
 */
public final class SharedObject<S> {

    /**
     * An idempotent change of the state.
     *
     * <p>It returns the very same state if nothing is left to do.
     *
     * @param <S> the state
     */
    @FunctionalInterface
    public interface Mutation<S> {
        /** Returns the changed state, the same state if nothing is left to do, or why the change is refused. */
        Either<Failure, S> apply(S state);
    }

    /**
     * How the state is read from and written as bytes.
     *
     * @param <S> the state
     * @param decode from bytes; an empty array stands for the initial state
     * @param encode to bytes
     */
    public record Codec<S>(Function<byte[], S> decode, Function<S, byte[]> encode) {}

    /**
     * What the object needs from its VM.
     *
     * @param store the platform
     * @param reads this VM's read rate
     * @param writes this VM's write rate
     * @param random for the jitter of retries
     * @param commitGapMillis the shortest time between two writes of this VM to the object
     * @param maxBackoffMillis how long a call that failed is not repeated at most; half of it on average
     */
    public record Ports(
            VersionedObjects store,
            CallBudget reads,
            CallBudget writes,
            UniformRandomProvider random,
            long commitGapMillis,
            LongSupplier maxBackoffMillis) {

        /** Creates the ports of an object that few VMs call. */
        public Ports(
                VersionedObjects store,
                CallBudget reads,
                CallBudget writes,
                UniformRandomProvider random,
                long commitGapMillis) {
            this(store, reads, writes, random, commitGapMillis, () -> USUAL_BACKOFF_MILLIS);
        }
    }

    /** Counts of what the object did. */
    public static final class Counters {
        private long reads;
        private long writes;
        private long conflicts;
        private long unknownOutcomes;
        private long mutationsCommitted;
        private long valueBytes;

        /** Returns the reads sent. */
        public long reads() {
            return reads;
        }

        /** Returns the writes sent. */
        public long writes() {
            return writes;
        }

        /** Returns the writes that another VM's write made void. */
        public long conflicts() {
            return conflicts;
        }

        /** Returns the writes of which no answer told whether they took effect. */
        public long unknownOutcomes() {
            return unknownOutcomes;
        }

        /** Returns the mutations that were committed. */
        public long mutationsCommitted() {
            return mutationsCommitted;
        }

        /** Returns the length of the value last read or written. */
        public long valueBytes() {
            return valueBytes;
        }
    }

    /** One submitted mutation. */
    public final class Ticket {
        private final Mutation<S> mutation;
        private final Consumer<Either<Failure, S>> done;
        private final long number;
        private boolean written;
        private boolean finished;

        private Ticket(Mutation<S> mutation, Consumer<Either<Failure, S>> done, long number) {
            this.mutation = mutation;
            this.done = done;
            this.number = number;
        }

        /**
         * Withdraws the mutation; its consumer is not called any more.
         *
         * @return true if the mutation was in no write, so that it certainly takes no effect
         */
        public boolean cancel() {
            finished = true;
            queue.remove(this);
            return !written;
        }

        private void finish(Either<Failure, S> result) {
            if (finished) {
                return;
            }
            finished = true;
            done.accept(result);
        }
    }

    private static final long FIRST_BACKOFF_MILLIS = 10;

    /** Short against outages, so that a ledger is back soon after the store. */
    private static final long USUAL_BACKOFF_MILLIS = 500;

    /** Spreads what the VMs of a fleet try when they hear that the store is back. */
    private static final long STORE_BACK_SPREAD_MILLIS = 100;

    private final String key;
    private final Codec<S> codec;
    private final Ports ports;
    private final Deque<Ticket> queue = new ArrayDeque<>();
    private final Counters counters = new Counters();
    private @Nullable S state;
    private long version;
    private boolean busy;
    private boolean stale = true;
    private boolean contended;
    private boolean readSinceWrite;
    private boolean readWanted;
    private long lastReadSubmitCount;
    private long submitCount;
    private long notBeforeMillis;
    private long backoffMillis;
    private boolean unanswered;
    private long nowMillis;

    /** Creates the object; nothing is read before the first mutation or {@link #refresh}. */
    public SharedObject(String key, Codec<S> codec, Ports ports) {
        this.key = key;
        this.codec = codec;
        this.ports = ports;
    }

    /** Returns the key under which the platform holds the object. */
    public String key() {
        return key;
    }

    /** Returns the counts of calls and outcomes. */
    public Counters counters() {
        return counters;
    }

    /** Returns the state last read or written; null before the first read. */
    public @Nullable S state() {
        return state;
    }

    /** Returns the version of {@link #state}. */
    public long version() {
        return version;
    }

    /** Returns whether the store left the last call without an answer. */
    public boolean unanswered() {
        return unanswered;
    }

    /** Returns whether nothing is queued or on its way. */
    public boolean idle() {
        return !busy && queue.isEmpty();
    }

    /** Returns how many mutations wait for the next write. */
    public int queued() {
        return queue.size();
    }

    /** Queues a mutation; the consumer is called once, with the committed state or the refusal. */
    public Ticket submit(Mutation<S> mutation, Consumer<Either<Failure, S>> done) {
        submitCount++;
        Ticket ticket = new Ticket(mutation, done, submitCount);
        queue.add(ticket);
        return ticket;
    }

    /** Asks for a fresh read at the next tick. */
    public void refresh() {
        readWanted = true;
    }

    /** Sends the next read or write if one is due. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (busy || tickMillis < notBeforeMillis) {
            return;
        }
        if (readWanted) {
            read();
            return;
        }
        if (queue.isEmpty()) {
            return;
        }
        S current = state;
        if (stale || current == null || (contended && !readSinceWrite)) {
            read();
            return;
        }
        commit(current);
    }

    private void read() {
        if (!ports.reads().tryTake(nowMillis)) {
            return;
        }
        busy = true;
        counters.reads++;
        long submittedBefore = submitCount;
        ports.store().get(key, reply -> onRead(reply, submittedBefore));
    }

    private void onRead(Either<Failure, StoredObject> reply, long submittedBefore) {
        busy = false;
        unanswered = reply.isLeft();
        if (reply.isLeft()) {
            backOff();
            return;
        }
        readWanted = false;
        stale = false;
        lastReadSubmitCount = submittedBefore;
        readSinceWrite = true;
        StoredObject stored = reply.get();
        contended = stored.version() != version;
        counters.valueBytes = stored.value().length;
        if (stored.version() >= version) {
            state = codec.decode().apply(stored.value());
            version = stored.version();
        }
    }

    @SuppressWarnings("ReferenceEquality")
    private void commit(S current) {
        List<Ticket> batch = new ArrayList<>();
        List<Either<Failure, S>> refusals = new ArrayList<>();
        S next = current;
        for (Ticket ticket : queue) {
            Either<Failure, S> result = ticket.mutation.apply(next);
            if (result.isLeft() && ticket.number > lastReadSubmitCount) {
                // The refusal rests on a state older than the mutation.
                read();
                return;
            }
            batch.add(ticket);
            refusals.add(result);
            next = result.getOrElse(next);
        }
        if (next == current && !readSinceSubmitted(batch)) {
            // That nothing is left to do must be true of a state younger than the mutations.
            read();
            return;
        }
        if (next == current) {
            queue.clear();
            finishAll(batch, refusals, current);
            return;
        }
        write(batch, refusals, next);
    }

    private boolean readSinceSubmitted(List<Ticket> batch) {
        for (Ticket ticket : batch) {
            if (ticket.number > lastReadSubmitCount) {
                return false;
            }
        }
        return true;
    }

    private void write(List<Ticket> batch, List<Either<Failure, S>> refusals, S next) {
        if (!ports.writes().tryTake(nowMillis)) {
            return;
        }
        queue.clear();
        busy = true;
        readSinceWrite = false;
        counters.writes++;
        for (Ticket ticket : batch) {
            ticket.written = true;
        }
        byte[] value = codec.encode().apply(next);
        counters.valueBytes = value.length;
        ports.store().put(key, version, value, reply -> onWritten(reply, batch, refusals, next));
    }

    private void onWritten(Either<Failure, Long> reply, List<Ticket> batch, List<Either<Failure, S>> refusals, S next) {
        busy = false;
        unanswered = reply.isLeft() && reply.getLeft().kind() != ErrorKind.CONFLICT;
        if (reply.isLeft()) {
            onWriteFailed(reply.getLeft(), batch);
            return;
        }
        backoffMillis = 0;
        notBeforeMillis = nowMillis + ports.commitGapMillis();
        if (reply.get() > version) {
            state = next;
            version = reply.get();
        }
        finishAll(batch, refusals, next);
    }

    private void onWriteFailed(Failure failure, List<Ticket> batch) {
        if (failure.kind() == ErrorKind.CONFLICT) {
            counters.conflicts++;
            contended = true;
        } else {
            counters.unknownOutcomes++;
        }
        for (int i = batch.size() - 1; i >= 0; i--) {
            if (!batch.get(i).finished) {
                queue.addFirst(batch.get(i));
            }
        }
        stale = true;
        backOff();
    }

    private void finishAll(List<Ticket> batch, List<Either<Failure, S>> results, S committed) {
        for (int i = 0; i < batch.size(); i++) {
            Either<Failure, S> result = results.get(i);
            if (result.isRight()) {
                counters.mutationsCommitted++;
            }
            batch.get(i).finish(result.map(ignored -> committed));
        }
    }

    /** Repeats a call that failed soon, as the store is heard to be back. */
    public void onStoreBack() {
        if (unanswered) {
            backoffMillis = 0;
            long soonMillis = nowMillis + 1 + ports.random().nextLong(STORE_BACK_SPREAD_MILLIS);
            notBeforeMillis = Math.min(notBeforeMillis, soonMillis);
        }
    }

    private void backOff() {
        long maxMillis = ports.maxBackoffMillis().getAsLong();
        backoffMillis = Math.min(maxMillis, Math.max(FIRST_BACKOFF_MILLIS, backoffMillis * 2));
        notBeforeMillis = nowMillis + 1 + ports.random().nextLong(backoffMillis);
    }
}
