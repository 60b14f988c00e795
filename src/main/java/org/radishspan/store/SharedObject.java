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
 * An object in the platform's store that several VMs change by idempotent mutations, with group commit: all mutations
 * in the queue are written in one conditional update.
 *
 * <p>After a conflict the object is read again and the mutations are applied to the new state. A write with an unknown
 * outcome is handled in the same way: because every mutation is idempotent, applying it to a state that already
 * contains it changes nothing. A mutation is refused, or completed without a write because it changes nothing, only
 * on the basis of a state that was read after the mutation was submitted. While other VMs write the same object, it is
 * read immediately before each write, because a read is cheaper than a write that ends in a conflict.
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
     * <p>A mutation that has nothing to change must return the same state instance, which is compared by reference.
     *
     * @param <S> the type of the state
     */
    @FunctionalInterface
    public interface Mutation<S> {
        /** Returns the changed state, the same instance if there is nothing to change, or the reason for a refusal. */
        Either<Failure, S> apply(S state);
    }

    /**
     * Converts the state to the stored bytes and back.
     *
     * @param <S> the type of the state
     * @param decode converts bytes to a state; an empty array stands for the initial state
     * @param encode converts a state to bytes
     */
    public record Codec<S>(Function<byte[], S> decode, Function<S, byte[]> encode) {}

    /**
     * Compares the stored state with what the VM knows, after the store may have come back from an older copy.
     *
     * @param <S> the type of the state
     */
    @FunctionalInterface
    public interface Reconciler<S> {
        /**
         * Returns the state that replaces the stored one with the next write, or the stored instance to keep it.
         *
         * @param stored the state in the store
         * @param known the state that this VM last knew to be stored; null if it has none
         * @param era the era of the store
         */
        S reconcile(S stored, @Nullable S known, long era);
    }

    /**
     * The dependencies that the VM provides to the object.
     *
     * @param store the platform's store
     * @param storeEra the era of the store, which the store keeps up to date
     * @param reads the budget of this VM for reads
     * @param writes the budget of this VM for writes
     * @param random the source of the jitter of retries
     * @param commitGapMillis the minimum time between two writes of this VM to the object, in milliseconds
     * @param maxBackoffMillis the maximum back-off after a failed call, in milliseconds; the average is half of it
     */
    public record Ports(
            VersionedObjects store,
            StoreEra storeEra,
            CallBudget reads,
            CallBudget writes,
            UniformRandomProvider random,
            long commitGapMillis,
            LongSupplier maxBackoffMillis) {

        /** Creates the dependencies of an object in a store that names no era, with the default maximum back-off. */
        public Ports(
                VersionedObjects store,
                CallBudget reads,
                CallBudget writes,
                UniformRandomProvider random,
                long commitGapMillis) {
            this(store, new StoreEra(), reads, writes, random, commitGapMillis, () -> DEFAULT_MAX_BACKOFF_MILLIS);
        }
    }

    /** Counters of the calls to the store and of their outcomes, for metrics. */
    public static final class Counters {
        private long reads;
        private long writes;
        private long conflicts;
        private long unknownOutcomes;
        private long mutationsCommitted;
        private long valueBytes;

        /** Returns the number of reads sent. */
        public long reads() {
            return reads;
        }

        /** Returns the number of writes sent. */
        public long writes() {
            return writes;
        }

        /** Returns the number of writes rejected because another VM had written the object since it was read. */
        public long conflicts() {
            return conflicts;
        }

        /** Returns the number of failed writes that may or may not have taken effect. */
        public long unknownOutcomes() {
            return unknownOutcomes;
        }

        /** Returns the number of mutations committed. */
        public long mutationsCommitted() {
            return mutationsCommitted;
        }

        /** Returns the size of the value last read or written, in bytes. */
        public long valueBytes() {
            return valueBytes;
        }
    }

    /** A submitted mutation, which can be cancelled while its outcome is pending. */
    public final class Ticket {
        private final Mutation<S> mutation;
        private final Consumer<Either<Failure, S>> done;
        private final long sequence;
        private boolean sentInWrite;
        private boolean finished;

        private Ticket(Mutation<S> mutation, Consumer<Either<Failure, S>> done, long sequence) {
            this.mutation = mutation;
            this.done = done;
            this.sequence = sequence;
        }

        /**
         * Cancels the mutation. Its consumer is not called afterwards.
         *
         * @return true if no write has included the mutation, which then has no effect; false if it may take effect
         */
        public boolean cancel() {
            finished = true;
            queue.remove(this);
            return !sentInWrite;
        }

        private void finish(Either<Failure, S> result) {
            if (finished) {
                return;
            }
            finished = true;
            done.accept(result);
        }
    }

    /** A write that was based on a version of an earlier era may have replaced another state, or is lost. */
    private static final Failure OTHER_ERA = Failure.unknown(
            ErrorKind.PLATFORM_UNAVAILABLE, "the platform's store came back from an older copy during the write");

    private static final long INITIAL_BACKOFF_MILLIS = 10;

    /** Short compared with an outage, so that a ledger is available soon after the store has recovered. */
    private static final long DEFAULT_MAX_BACKOFF_MILLIS = 500;

    /**
     * A call without an answer after this time is overdue, so that changes can move on before the call's time-out. The store
     * usually answers within 10 ms, and within 150 ms when it is slow.
     */
    private static final long OVERDUE_MILLIS = 300;

    /** A call is overdue only after this multiple of the duration of the last call that was answered. */
    private static final long OVERDUE_FACTOR = 2;

    /** Other VMs that write the object have usually written it again after this time. */
    private static final long RECENT_READ_MILLIS = 500;

    /**
     * A failure begins a new series, with the shortest back-off, if calls were allowed for the maximum back-off and this time.
     * Longer than the time-out of a call.
     */
    private static final long SERIES_GAP_MILLIS = 1_000;

    /** Spreads the retries of the VMs of a fleet after they are notified that the store has recovered. */
    private static final long RECOVERY_JITTER_MILLIS = 100;

    private final String key;
    private final Codec<S> codec;
    private final Reconciler<S> reconciler;
    private final Ports ports;
    private final Deque<Ticket> queue = new ArrayDeque<>();
    private final Counters counters = new Counters();
    private @Nullable S state;

    /** The state that was last known to be stored. */
    private @Nullable S known;

    private long version;

    /** The era to which the version belongs. */
    private long era = StoreEra.UNKNOWN;

    private boolean callInFlight;
    private boolean stale = true;
    private boolean contended;
    private boolean readSinceWrite;
    private boolean readRequested;
    private long submitCountAtLastRead;
    private long submitCount;
    private long notBeforeMillis;
    private long backoffMillis;
    private boolean lastCallFailed;
    private long callSentAtMillis;
    private long lastAnswerMillis;
    private long lastReadAtMillis;

    /** The time of the first tick at which the call in flight was overdue; 0 if it is not. */
    private long overdueSinceMillis;

    private long nowMillis;

    /** Creates the object. Nothing is read before the first mutation or the first call of {@link #refresh}. */
    public SharedObject(String key, Codec<S> codec, Ports ports) {
        this(key, codec, (stored, ignored, storeEra) -> stored, ports);
    }

    /** Creates the object as above, with a reconciler that is called for each state that is read. */
    public SharedObject(String key, Codec<S> codec, Reconciler<S> reconciler, Ports ports) {
        this.key = key;
        this.codec = codec;
        this.reconciler = reconciler;
        this.ports = ports;
    }

    /** Returns the key of the object in the platform's store. */
    public String key() {
        return key;
    }

    /** Returns the counters of calls and outcomes. */
    public Counters counters() {
        return counters;
    }

    /** Returns the state last read, with what the next write restores, or written; null before the first read. */
    public @Nullable S state() {
        return state;
    }

    /** Returns the version of {@link #state}; 0 before the first read and for an absent object. */
    public long version() {
        return version;
    }

    /** Returns whether the last call to the store failed, other than by a conflict. */
    public boolean lastCallFailed() {
        return lastCallFailed;
    }

    /**
     * Returns whether the call in flight takes so much longer than the last one that the store may be silent. A call counts as
     * overdue from the second tick on, because its answer may wait in the socket while the event loop is delayed.
     */
    public boolean callOverdue() {
        return overdueSinceMillis > 0 && nowMillis > overdueSinceMillis;
    }

    /** Returns whether no mutation is queued and no call is in flight. */
    public boolean idle() {
        return !callInFlight && queue.isEmpty();
    }

    /** Returns the number of mutations that wait for the next write. */
    public int queued() {
        return queue.size();
    }

    /**
     * Queues a mutation.
     *
     * @param done called once, with the committed state or the refusal, unless the mutation is cancelled
     */
    public Ticket submit(Mutation<S> mutation, Consumer<Either<Failure, S>> done) {
        submitCount++;
        Ticket ticket = new Ticket(mutation, done, submitCount);
        queue.add(ticket);
        return ticket;
    }

    /** Requests a read of the object at the next tick that may send a call. */
    public void refresh() {
        readRequested = true;
    }

    /** Sends the next read or write if one is due and no call is in flight. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (callInFlight) {
            updateOverdue();
            return;
        }
        if (tickMillis < notBeforeMillis) {
            return;
        }
        if (readRequested) {
            read();
            return;
        }
        if (queue.isEmpty()) {
            return;
        }
        S current = state;
        // A version of an earlier era may name another state by now.
        stale = stale || era != ports.storeEra().current();
        if (stale || current == null || (contended && !readRecently())) {
            read();
            return;
        }
        commit(current);
    }

    /**
     * Returns whether the object was read since the last write, and either shortly before or after the oldest mutation in the
     * queue was submitted. A router that takes over the commits of
     * another one has an old state, and its first write would end in a conflict.
     */
    private boolean readRecently() {
        Ticket oldest = queue.peek();
        boolean sinceSubmitted = oldest != null && oldest.sequence <= submitCountAtLastRead;
        return readSinceWrite && (sinceSubmitted || nowMillis - lastReadAtMillis < RECENT_READ_MILLIS);
    }

    private void updateOverdue() {
        long limitMillis = Math.max(OVERDUE_MILLIS, OVERDUE_FACTOR * lastAnswerMillis);
        if (overdueSinceMillis == 0 && nowMillis - callSentAtMillis >= limitMillis) {
            overdueSinceMillis = nowMillis;
        }
    }

    private void onCallSent() {
        callInFlight = true;
        callSentAtMillis = nowMillis;
    }

    private void onCallEnded(boolean failed) {
        callInFlight = false;
        overdueSinceMillis = 0;
        if (lastCallFailed && !failed) {
            // The back-off of an outage must not delay the retry after a conflict.
            backoffMillis = 0;
        }
        lastCallFailed = failed;
        if (!failed) {
            lastAnswerMillis = nowMillis - callSentAtMillis;
        }
    }

    private void read() {
        if (!ports.reads().tryTake(nowMillis)) {
            return;
        }
        onCallSent();
        counters.reads++;
        long submitCountAtRead = submitCount;
        ports.store().get(key, reply -> onRead(reply, submitCountAtRead));
    }

    private void onRead(Either<Failure, StoredObject> reply, long submitCountAtRead) {
        onCallEnded(reply.isLeft());
        if (reply.isLeft()) {
            backOff();
            return;
        }
        readRequested = false;
        stale = false;
        lastReadAtMillis = nowMillis;
        submitCountAtLastRead = submitCountAtRead;
        readSinceWrite = true;
        StoredObject stored = reply.get();
        long currentEra = ports.storeEra().current();
        contended = stored.version() != version;
        counters.valueBytes = stored.value().length;
        if (stored.version() >= version || era != currentEra) {
            S read = codec.decode().apply(stored.value());
            S reconciled = reconciler.reconcile(read, known, currentEra);
            known = isSame(reconciled, read) ? read : known;
            state = reconciled;
            version = stored.version();
            era = currentEra;
        }
    }

    @SuppressWarnings("ReferenceEquality")
    private static <S> boolean isSame(@Nullable S one, @Nullable S other) {
        return one == other;
    }

    private void commit(S current) {
        List<Ticket> batch = new ArrayList<>();
        List<Either<Failure, S>> results = new ArrayList<>();
        S next = current;
        for (Ticket ticket : queue) {
            Either<Failure, S> result = ticket.mutation.apply(next);
            if (result.isLeft() && ticket.sequence > submitCountAtLastRead) {
                // The state was read before the mutation was submitted, so it does not justify a refusal.
                read();
                return;
            }
            batch.add(ticket);
            results.add(result);
            next = result.getOrElse(next);
        }
        boolean unchanged = isSame(next, current) && isSame(current, known);
        if (unchanged && !readSinceSubmitted(batch)) {
            // The state was read before some of the mutations were submitted. That they change nothing has to be
            // verified against a state read afterwards.
            read();
            return;
        }
        if (unchanged) {
            queue.clear();
            finishAll(batch, results, current);
            return;
        }
        write(batch, results, next);
    }

    private boolean readSinceSubmitted(List<Ticket> batch) {
        for (Ticket ticket : batch) {
            if (ticket.sequence > submitCountAtLastRead) {
                return false;
            }
        }
        return true;
    }

    private void write(List<Ticket> batch, List<Either<Failure, S>> results, S next) {
        if (!ports.writes().tryTake(nowMillis)) {
            return;
        }
        queue.clear();
        onCallSent();
        readSinceWrite = false;
        counters.writes++;
        for (Ticket ticket : batch) {
            ticket.sentInWrite = true;
        }
        byte[] value = codec.encode().apply(next);
        counters.valueBytes = value.length;
        long writeEra = era;
        ports.store().put(key, version, value, reply -> {
            boolean sameEra = writeEra == ports.storeEra().current();
            onWritten(reply.filterOrElse(ignored -> sameEra, ignored -> OTHER_ERA), batch, results, next);
        });
    }

    private void onWritten(Either<Failure, Long> reply, List<Ticket> batch, List<Either<Failure, S>> results, S next) {
        onCallEnded(reply.isLeft() && reply.getLeft().kind() != ErrorKind.CONFLICT);
        if (reply.isLeft()) {
            onWriteFailed(reply.getLeft(), batch);
            return;
        }
        backoffMillis = 0;
        notBeforeMillis = nowMillis + ports.commitGapMillis();
        if (reply.get() > version) {
            state = next;
            known = next;
            version = reply.get();
        }
        finishAll(batch, results, next);
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

    /** Shortens the back-off after a failed call, because another component has found that the store responds again. */
    public void onStoreRecovered() {
        if (lastCallFailed) {
            backoffMillis = 0;
            long retryAtMillis = nowMillis + 1 + ports.random().nextLong(RECOVERY_JITTER_MILLIS);
            notBeforeMillis = Math.min(notBeforeMillis, retryAtMillis);
        }
    }

    private void backOff() {
        long maxMillis = ports.maxBackoffMillis().getAsLong();
        if (nowMillis - notBeforeMillis > maxMillis + SERIES_GAP_MILLIS) {
            backoffMillis = 0;
        }
        backoffMillis = Math.min(maxMillis, Math.max(INITIAL_BACKOFF_MILLIS, backoffMillis * 2));
        notBeforeMillis = nowMillis + 1 + ports.random().nextLong(backoffMillis);
    }
}
