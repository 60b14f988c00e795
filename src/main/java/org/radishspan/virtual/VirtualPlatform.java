package org.radishspan.virtual;

import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.standin.ObjectTable;
import org.radishspan.store.PlatformStore;
import org.radishspan.store.StoredObject;

/** The platform's object API on virtual time, with outages and lost answers. */
public final class VirtualPlatform {
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long WATCH_MILLIS = 10_000;

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final ObjectTable objects = new ObjectTable();
    private final long latencyMillis;
    private boolean outage;
    private double loseAnswers;
    private double delayWrites;

    VirtualPlatform(VirtualTime time, UniformRandomProvider random, long latencyMillis) {
        this.time = time;
        this.random = random;
        this.latencyMillis = latencyMillis;
    }

    /** Returns the objects. */
    public ObjectTable objects() {
        return objects;
    }

    /** Starts or ends an outage. */
    public void setOutage(boolean down) {
        outage = down;
    }

    /** Loses a part of the answers to writes that took effect. */
    public void loseAnswers(double fraction) {
        loseAnswers = fraction;
    }

    /** Lets a part of the writes take effect long after their caller has given up. */
    public void delayWrites(double fraction) {
        delayWrites = fraction;
    }

    /** Returns the store as one VM sees it. */
    PlatformStore storeOf(Supplier<VirtualNode> node) {
        return new View(node);
    }

    private final class View implements PlatformStore {
        private final Supplier<VirtualNode> node;

        View(Supplier<VirtualNode> node) {
            this.node = node;
        }

        private boolean reachable() {
            return !outage && node.get().reachesPlatform();
        }

        @Override
        public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
            call(reply, () -> Either.right(objects.get(key)));
        }

        @Override
        public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {
            if (reachable() && random.nextDouble() < delayWrites) {
                time.schedule(TIMEOUT_MILLIS * 2, () -> objects.put(key, expectedVersion, value));
                fail(reply, node.get().generation());
                return;
            }
            boolean lost = random.nextDouble() < loseAnswers;
            call(reply, () -> {
                Either<Failure, Long> result = objects.put(key, expectedVersion, value);
                return lost ? Either.left(noAnswer()) : result;
            });
        }

        private <T> void call(Consumer<Either<Failure, T>> reply, Supplier<Either<Failure, T>> action) {
            VirtualNode caller = node.get();
            long process = caller.generation();
            if (!reachable()) {
                fail(reply, process);
                return;
            }
            Consumer<Either<Failure, T>> deliver = result -> {
                boolean answered =
                        reachable() && (result.isRight() || result.getLeft().kind() == ErrorKind.CONFLICT);
                if (!answered) {
                    fail(reply, process);
                    return;
                }
                caller.deliverTo(process, latencyMillis, () -> reply.accept(result));
            };
            time.schedule(latencyMillis, () -> deliver.accept(reachable() ? action.get() : Either.left(noAnswer())));
        }

        private <T> void fail(Consumer<Either<Failure, T>> reply, long process) {
            node.get().deliverTo(process, TIMEOUT_MILLIS, () -> reply.accept(Either.left(noAnswer())));
        }

        @Override
        public void watch(String key, long aboveVersion, Consumer<Either<Failure, StoredObject>> reply) {
            VirtualNode caller = node.get();
            long process = caller.generation();
            if (!reachable()) {
                fail(reply, process);
                return;
            }
            boolean[] answered = new boolean[1];
            objects.await(
                    key,
                    aboveVersion,
                    stored -> caller.deliverTo(process, latencyMillis, () -> {
                        if (!answered[0] && reachable()) {
                            answered[0] = true;
                            reply.accept(Either.right(stored));
                        }
                    }));
            caller.deliverTo(process, WATCH_MILLIS, () -> {
                if (!answered[0]) {
                    answered[0] = true;
                    reply.accept(Either.left(noAnswer()));
                }
            });
        }
    }

    private static Failure noAnswer() {
        return Failure.notRun(ErrorKind.PLATFORM_UNAVAILABLE, "no answer");
    }
}
