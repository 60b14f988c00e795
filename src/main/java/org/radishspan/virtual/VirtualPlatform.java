package org.radishspan.virtual;

import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.standin.InMemoryObjectStore;
import org.radishspan.store.PlatformStore;
import org.radishspan.store.StoredObject;

/** Simulates the object API of the platform on virtual time, with outages, lost responses and delayed writes. */
public final class VirtualPlatform {
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long WATCH_TIMEOUT_MILLIS = 10_000;

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final InMemoryObjectStore objects = new InMemoryObjectStore();
    private final long latencyMillis;
    private boolean outage;
    private double responseLossFraction;
    private double delayedWriteFraction;

    VirtualPlatform(VirtualTime time, UniformRandomProvider random, long latencyMillis) {
        this.time = time;
        this.random = random;
        this.latencyMillis = latencyMillis;
    }

    /** Returns the stored objects; direct access has no latency and is not subject to faults. */
    public InMemoryObjectStore objects() {
        return objects;
    }

    /** Starts or ends an outage, in which all calls of all VMs time out. */
    public void setOutage(boolean active) {
        outage = active;
    }

    /** Sets the fraction of writes, from 0 to 1, that take effect but whose response is lost; the caller sees a failure. */
    public void setResponseLoss(double fraction) {
        responseLossFraction = fraction;
    }

    /** Sets the fraction of writes that are executed one timeout after their caller has seen a timeout, from 0 to 1. */
    public void setDelayedWrites(double fraction) {
        delayedWriteFraction = fraction;
    }

    /** Returns a client of the object API for the VM of a node, subject to the faults of the platform and of that VM. */
    PlatformStore storeFor(Supplier<VirtualNode> node) {
        return new NodeStore(node);
    }

    private final class NodeStore implements PlatformStore {
        private final Supplier<VirtualNode> node;

        NodeStore(Supplier<VirtualNode> node) {
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
            if (reachable() && random.nextDouble() < delayedWriteFraction) {
                time.schedule(TIMEOUT_MILLIS * 2, () -> objects.put(key, expectedVersion, value));
                fail(reply, node.get().generation());
                return;
            }
            boolean responseLost = random.nextDouble() < responseLossFraction;
            call(reply, () -> {
                Either<Failure, Long> result = objects.put(key, expectedVersion, value);
                return responseLost ? Either.left(noResponse()) : result;
            });
        }

        private <T> void call(Consumer<Either<Failure, T>> reply, Supplier<Either<Failure, T>> action) {
            VirtualNode caller = node.get();
            long generation = caller.generation();
            if (!reachable()) {
                fail(reply, generation);
                return;
            }
            Consumer<Either<Failure, T>> deliver = result -> {
                boolean delivered =
                        reachable() && (result.isRight() || result.getLeft().kind() == ErrorKind.CONFLICT);
                if (!delivered) {
                    fail(reply, generation);
                    return;
                }
                caller.deliverTo(generation, latencyMillis, () -> reply.accept(result));
            };
            time.schedule(latencyMillis, () -> deliver.accept(reachable() ? action.get() : Either.left(noResponse())));
        }

        private <T> void fail(Consumer<Either<Failure, T>> reply, long generation) {
            node.get().deliverTo(generation, TIMEOUT_MILLIS, () -> reply.accept(Either.left(noResponse())));
        }

        @Override
        public void watch(String key, long aboveVersion, Consumer<Either<Failure, StoredObject>> reply) {
            VirtualNode caller = node.get();
            long generation = caller.generation();
            if (!reachable()) {
                fail(reply, generation);
                return;
            }
            boolean[] completed = new boolean[1];
            objects.watch(
                    key,
                    aboveVersion,
                    stored -> caller.deliverTo(generation, latencyMillis, () -> {
                        if (!completed[0] && reachable()) {
                            completed[0] = true;
                            reply.accept(Either.right(stored));
                        }
                    }));
            caller.deliverTo(generation, WATCH_TIMEOUT_MILLIS, () -> {
                if (!completed[0]) {
                    completed[0] = true;
                    reply.accept(Either.left(noResponse()));
                }
            });
        }
    }

    private static Failure noResponse() {
        return Failure.notRun(ErrorKind.PLATFORM_UNAVAILABLE, "the platform did not respond within the timeout");
    }
}
