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
import org.radishspan.standin.ObjectTable;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Group commit by conditional update. */
public class SharedObjectTest {
    private static final SharedObject.Codec<String> TEXT =
            new SharedObject.Codec<>(bytes -> new String(bytes, UTF_8), text -> text.getBytes(UTF_8));
    private static final long LONG_AFTER_MILLIS = 10_000;

    /** Appends a letter that is not there yet. */
    private static SharedObject.Mutation<String> append(String letter) {
        return state -> Either.right(state.contains(letter) ? state : state + letter);
    }

    /** An object over a store whose answers the test releases one by one. */
    private static final class Harness {
        private final ObjectTable objects = new ObjectTable();
        private final Deque<Runnable> answers = new ArrayDeque<>();
        private boolean loseAnswer;
        private boolean applyNothing;
        private long nowMillis;

        private final SharedObject<String> object = new SharedObject<>(
                "key",
                TEXT,
                new SharedObject.Ports(
                        new QueueingStore(),
                        new CallBudget(1_000, 1_000),
                        new CallBudget(1_000, 1_000),
                        RandomSource.XO_SHI_RO_256_PP.create(1),
                        0));

        /** Answers when the test says so. */
        private final class QueueingStore implements PlatformStore {
            @Override
            public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
                answers.add(() -> reply.accept(Either.right(objects.get(key))));
            }

            @Override
            public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {
                answers.add(() -> {
                    Failure noAnswer = Failure.notRun(ErrorKind.PLATFORM_UNAVAILABLE, "no answer");
                    if (applyNothing) {
                        reply.accept(Either.left(noAnswer));
                        return;
                    }
                    Either<Failure, Long> result = objects.put(key, expectedVersion, value);
                    reply.accept(loseAnswer ? Either.left(noAnswer) : result);
                });
            }

            @Override
            public void watch(String key, long aboveVersion, Consumer<Either<Failure, StoredObject>> reply) {
                throw new UnsupportedOperationException("not used");
            }
        }

        private void step() {
            nowMillis += LONG_AFTER_MILLIS;
            object.tick(nowMillis);
            Runnable answer = answers.poll();
            if (answer != null) {
                answer.run();
            }
        }

        private String stored() {
            return new String(objects.get("key").value(), UTF_8);
        }
    }

    /** Commits. */
    public static class Commit {
        @Test
        public void carriesAllQueuedMutationsInOneWrite() {
            Harness test = new Harness();
            List<String> seen = new ArrayList<>();
            test.object.submit(append("a"), result -> seen.add(result.get()));
            test.object.submit(append("b"), result -> seen.add(result.get()));
            test.step();
            test.step();
            assertEquals(test.stored(), "ab");
            assertEquals(seen, List.of("ab", "ab"));
            assertEquals(test.object.counters().writes(), 1);
        }

        @Test
        public void appliesAgainAfterAConflict() {
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
        public void doesNotRepeatAWriteWhoseAnswerWasLost() {
            Harness test = new Harness();
            List<String> seen = new ArrayList<>();
            test.object.submit(append("a"), result -> seen.add(result.get()));
            test.step();
            test.loseAnswer = true;
            test.step();
            assertTrue(seen.isEmpty(), "nothing is known yet");
            test.loseAnswer = false;
            test.step();
            test.step();
            assertEquals(seen, List.of("a"));
            assertEquals(test.stored(), "a");
            assertEquals(test.objects.writes(), 1, "the mutation was found in effect");
        }

        /** A recovery found nothing to close in a state that was read before the share was made. */
        @Test
        public void findsThatNothingIsLeftToDoOnAFreshReadOnly() {
            Harness test = new Harness();
            test.object.submit(append("a"), result -> {});
            test.step();
            test.step();
            test.objects.put("key", test.objects.get("key").version(), "z".getBytes(UTF_8));
            List<String> seen = new ArrayList<>();
            test.object.submit(append("a"), result -> seen.add(result.get()));
            for (int i = 0; i < 3; i++) {
                test.step();
            }
            assertEquals(seen, List.of("za"), "the letter had gone meanwhile");
        }

        @Test
        public void repeatsAWriteThatDidNotTakeEffect() {
            Harness test = new Harness();
            List<String> seen = new ArrayList<>();
            test.object.submit(append("a"), result -> seen.add(result.get()));
            test.step();
            test.applyNothing = true;
            test.step();
            test.applyNothing = false;
            test.step();
            test.step();
            assertEquals(seen, List.of("a"));
        }
    }

    /** Refusals. */
    public static class Refusal {
        private static SharedObject.Mutation<String> unlessZ() {
            return state -> state.contains("z")
                    ? Either.left(Failure.notRun(ErrorKind.CONFLICT, "z is there"))
                    : Either.right(state + "!");
        }

        @Test
        public void restsOnAFreshReadOnly() {
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
            assertEquals(accepted, List.of(true), "the cached state had a z, the stored one has none");
        }

        @Test
        public void leavesTheOtherMutationsOfTheBatch() {
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

    /** Withdrawals. */
    public static class Cancel {
        @Test
        public void isCertainBeforeTheWrite() {
            Harness test = new Harness();
            SharedObject<String>.Ticket ticket = test.object.submit(append("a"), result -> {});
            assertTrue(ticket.cancel());
            test.step();
            assertEquals(test.objects.writes(), 0);
        }

        @Test
        public void isNotCertainAfterIt() {
            Harness test = new Harness();
            SharedObject<String>.Ticket ticket = test.object.submit(append("a"), result -> {});
            test.step();
            test.nowMillis += LONG_AFTER_MILLIS;
            test.object.tick(test.nowMillis);
            assertFalse(ticket.cancel());
        }
    }
}
