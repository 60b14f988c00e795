package org.radishspan.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.standin.InMemoryObjectStore;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests group commits by conditional updates: conflicts, lost replies, refusals and cancellation. */
public class SharedObjectTest {
    private static final SharedObject.Codec<String> TEXT =
            new SharedObject.Codec<>(bytes -> new String(bytes, UTF_8), text -> text.getBytes(UTF_8));
    private static final long STEP_MILLIS = 10_000;

    /** A text only grows, so that a longer one is later. */
    private static final SharedObject.Reconciler<String> LONGER_IN_ERAS = (stored, known, era) ->
            era != StoreEra.UNKNOWN && known != null && known.length() > stored.length() ? known : stored;

    /** Returns a mutation that appends a letter if the state does not contain it yet. */
    private static SharedObject.Mutation<String> append(String letter) {
        return state -> Either.right(state.contains(letter) ? state : state + letter);
    }

    /** An object with a store whose replies the test sends one by one. */
    private static final class Harness {
        private final InMemoryObjectStore objects = new InMemoryObjectStore();
        private final Deque<Runnable> replies = new ArrayDeque<>();
        private boolean loseReply;
        private boolean rejectWrites;
        private boolean rejectReads;
        private final StoreEra storeEra = new StoreEra();
        private long nowMillis;

        private final SharedObject<String> object = new SharedObject<>(
                "key",
                TEXT,
                LONGER_IN_ERAS,
                new SharedObject.Ports(
                        new QueueingStore(),
                        storeEra,
                        new CallBudget(1_000, 1_000),
                        new CallBudget(1_000, 1_000),
                        RandomSource.XO_SHI_RO_256_PP.create(1),
                        0,
                        () -> 500));

        /** Queues each reply until the test sends it. */
        private final class QueueingStore implements PlatformStore {
            @Override
            public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
                Failure noReply = Failure.unknown(ErrorKind.PLATFORM_UNAVAILABLE, "no reply");
                replies.add(() -> reply.accept(rejectReads ? Either.left(noReply) : Either.right(objects.get(key))));
            }

            @Override
            public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {
                replies.add(() -> {
                    Failure noReply = Failure.notRun(ErrorKind.PLATFORM_UNAVAILABLE, "no reply");
                    if (rejectWrites) {
                        reply.accept(Either.left(noReply));
                        return;
                    }
                    Either<Failure, Long> result = objects.put(key, expectedVersion, value);
                    reply.accept(loseReply ? Either.left(noReply) : result);
                });
            }

            @Override
            public void watch(String key, long aboveVersion, Consumer<Either<Failure, StoredObject>> reply) {
                throw new UnsupportedOperationException("not used");
            }
        }

        private void step() {
            nowMillis += STEP_MILLIS;
            object.tick(nowMillis);
            Runnable reply = replies.poll();
            if (reply != null) {
                reply.run();
            }
        }

        /** Returns the time until the next call is sent. */
        private long millisUntilCall() {
            long sinceMillis = nowMillis;
            while (replies.isEmpty()) {
                nowMillis += 10;
                object.tick(nowMillis);
            }
            return nowMillis - sinceMillis;
        }

        private void reply() {
            replies.remove().run();
        }

        private String stored() {
            return new String(objects.get("key").value(), UTF_8);
        }
    }

    /** Tests how long the object waits after a failed call. */
    public static class BackOff {
        private static final long CONFLICT_BACKOFF_MILLIS = 30;

        /** Guards against a router that commits for all others and pauses after the first conflict when an outage ends. */
        @Test
        public void ofAnOutageEndsWithItsFirstAnswer() {
            Harness test = new Harness();
            test.rejectReads = true;
            test.object.submit(append("a"), result -> {});
            for (int i = 0; i < 20; i++) {
                test.millisUntilCall();
                test.reply();
            }
            test.rejectReads = false;
            test.millisUntilCall();
            test.reply();
            test.millisUntilCall();
            test.objects.put("key", test.objects.get("key").version(), "other".getBytes(UTF_8));
            test.reply();
            assertEquals(test.object.counters().conflicts(), 1, "the write conflicted with that of another VM");
            long waitedMillis = test.millisUntilCall();
            assertTrue(waitedMillis <= CONFLICT_BACKOFF_MILLIS, "waited " + waitedMillis + " ms");
        }
    }

    /** Tests the writes of queued mutations. */
    public static class Commit {
        @Test
        public void writesAllQueuedMutationsAtOnce() {
            Harness test = new Harness();
            List<String> results = new ArrayList<>();
            test.object.submit(append("a"), result -> results.add(result.get()));
            test.object.submit(append("b"), result -> results.add(result.get()));
            test.step();
            test.step();
            assertEquals(test.stored(), "ab");
            assertEquals(results, List.of("ab", "ab"));
            assertEquals(test.object.counters().writes(), 1);
        }

        @Test
        public void appliesMutationsAgainAfterAConflict() {
            Harness test = new Harness();
            test.object.submit(append("a"), result -> {});
            test.step();
            test.objects.put("key", 0, "z".getBytes(UTF_8));
            test.step();
            test.step();
            test.step();
            assertEquals(test.stored(), "za");
            assertEquals(test.object.counters().conflicts(), 1);
        }

        @Test
        public void doesNotRepeatAWriteWhoseReplyWasLost() {
            Harness test = new Harness();
            List<String> results = new ArrayList<>();
            test.object.submit(append("a"), result -> results.add(result.get()));
            test.step();
            test.loseReply = true;
            test.step();
            assertTrue(results.isEmpty(), "the outcome of the write is unknown");
            test.loseReply = false;
            test.step();
            test.step();
            assertEquals(results, List.of("a"));
            assertEquals(test.stored(), "a");
            assertEquals(test.objects.writes(), 1, "the stored state already contains the mutation");
        }

        /** A recovery once closed no share, because it used a state that was read before the share was created. */
        @Test
        public void skipsAWriteOnlyAfterAFreshRead() {
            Harness test = new Harness();
            test.object.submit(append("a"), result -> {});
            test.step();
            test.step();
            test.objects.put("key", test.objects.get("key").version(), "z".getBytes(UTF_8));
            List<String> results = new ArrayList<>();
            test.object.submit(append("a"), result -> results.add(result.get()));
            for (int i = 0; i < 3; i++) {
                test.step();
            }
            assertEquals(results, List.of("za"), "another VM had removed the letter in the meantime");
        }

        @Test
        public void repeatsAWriteThatDidNotTakeEffect() {
            Harness test = new Harness();
            List<String> results = new ArrayList<>();
            test.object.submit(append("a"), result -> results.add(result.get()));
            test.step();
            test.rejectWrites = true;
            test.step();
            test.rejectWrites = false;
            test.step();
            test.step();
            assertEquals(results, List.of("a"));
        }
    }

    /** Tests mutations that are refused. */
    public static class Refusal {
        private static SharedObject.Mutation<String> unlessZ() {
            return state -> state.contains("z")
                    ? Either.left(Failure.notRun(ErrorKind.CONFLICT, "the state contains z"))
                    : Either.right(state + "!");
        }

        @Test
        public void requiresAFreshRead() {
            Harness test = new Harness();
            test.objects.put("key", 0, "z".getBytes(UTF_8));
            test.object.submit(append("a"), result -> {});
            test.step();
            test.step();
            test.objects.put("key", test.objects.get("key").version(), "a".getBytes(UTF_8));
            List<Boolean> accepted = new ArrayList<>();
            test.object.submit(unlessZ(), result -> accepted.add(result.isRight()));
            test.step();
            test.step();
            test.step();
            assertEquals(accepted, List.of(true), "the cached state contains z, the stored state does not");
        }

        @Test
        public void doesNotAffectOtherMutationsOfTheBatch() {
            Harness test = new Harness();
            test.objects.put("key", 0, "z".getBytes(UTF_8));
            List<Boolean> accepted = new ArrayList<>();
            test.object.submit(unlessZ(), result -> accepted.add(result.isRight()));
            test.object.submit(append("b"), result -> accepted.add(result.isRight()));
            test.step();
            test.step();
            assertEquals(accepted, List.of(false, true));
            assertEquals(test.stored(), "zb");
        }
    }

    /** Tests what cancelling a mutation returns. */
    public static class Cancel {
        @Test
        public void returnsTrueBeforeTheWrite() {
            Harness test = new Harness();
            SharedObject<String>.Ticket ticket = test.object.submit(append("a"), result -> {});
            assertTrue(ticket.cancel());
            test.step();
            assertEquals(test.objects.writes(), 0);
        }

        @Test
        public void returnsFalseAfterTheWriteWasSent() {
            Harness test = new Harness();
            SharedObject<String>.Ticket ticket = test.object.submit(append("a"), result -> {});
            test.step();
            test.nowMillis += STEP_MILLIS;
            test.object.tick(test.nowMillis);
            assertFalse(ticket.cancel());
        }
    }

    /** Tests objects in a store that comes back from an older copy. */
    public static class Eras {
        private static Harness withLostChange() {
            Harness test = new Harness();
            test.storeEra.onAnswer(1);
            test.object.submit(append("a"), result -> {});
            test.step();
            test.step();
            InMemoryObjectStore.Copy copy = test.objects.copy();
            test.object.submit(append("b"), result -> {});
            test.step();
            assertEquals(test.stored(), "ab");
            test.objects.restore(copy);
            return test;
        }

        @Test
        public void restoreWhatTheStoreHasLostWithTheNextWrite() {
            Harness test = withLostChange();
            test.storeEra.onAnswer(2);
            test.object.submit(append("c"), result -> {});
            test.step();
            test.step();
            assertEquals(test.stored(), "abc");
        }

        /** A write succeeded on the ground of a version that the store had given out again for another state. */
        @Test
        public void sendNoWriteOnAVersionOfAnEarlierEra() {
            Harness test = withLostChange();
            long lostVersion = test.object.version();
            test.objects.put("key", test.objects.get("key").version(), "ax".getBytes(UTF_8));
            assertEquals(test.objects.get("key").version(), lostVersion, "the version is given out again");
            test.storeEra.onAnswer(2);
            test.object.submit(append("c"), result -> {});
            test.step();
            assertEquals(test.stored(), "ax", "the object is read first");
            test.step();
            assertEquals(test.stored(), "axc");
        }

        @Test
        public void doNotTakeAWriteForCommittedThatWasAnsweredInALaterEra() {
            Harness test = withLostChange();
            List<String> results = new ArrayList<>();
            test.object.submit(append("c"), result -> results.add(result.get()));
            test.nowMillis += STEP_MILLIS;
            test.object.tick(test.nowMillis);
            test.storeEra.onAnswer(2);
            test.replies.remove().run();
            assertEquals(results, List.of(), "the write is lost, or has replaced another state");
            test.step();
            test.step();
            assertEquals(test.stored(), "abc");
            assertEquals(results, List.of("abc"));
        }
    }
}
