package org.radishspan.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.store.StoredObject;

/**
 * Versioned objects in memory, with the semantics of the platform's object API.
 *
 * <p>All objects of a store share one version counter. A write succeeds only if it names the object's current version.
 */
public final class InMemoryObjectStore {
    /** The objects of a store at one moment, from which it can be restored. */
    public static final class Copy {
        private final Map<String, StoredObject> objects;
        private final long lastVersion;

        private Copy(Map<String, StoredObject> objects, long lastVersion) {
            this.objects = Map.copyOf(objects);
            this.lastVersion = lastVersion;
        }
    }

    private record Waiter(long aboveVersion, Consumer<StoredObject> consumer) {}

    private final Map<String, StoredObject> objects = new HashMap<>();
    private final Map<String, List<Waiter>> waiters = new HashMap<>();
    private long lastVersion;
    private long reads;
    private long writes;
    private long conflicts;

    /** Returns the object of a key, or {@link StoredObject#ABSENT} if there is none. */
    public StoredObject get(String key) {
        reads++;
        return objects.getOrDefault(key, StoredObject.ABSENT);
    }

    /**
     * Writes an object if its current version is the expected one, and notifies the callers that watch the object.
     *
     * @param expectedVersion the current version; that of {@link StoredObject#ABSENT} to create the object
     * @return the new version, or a failure of kind {@code CONFLICT} if the object has another version
     */
    public Either<Failure, Long> put(String key, long expectedVersion, byte[] value) {
        writes++;
        StoredObject current = objects.getOrDefault(key, StoredObject.ABSENT);
        if (current.version() != expectedVersion) {
            conflicts++;
            return Either.left(Failure.notRun(
                    ErrorKind.CONFLICT, "the expected version is not the current version " + current.version()));
        }
        lastVersion++;
        StoredObject stored = new StoredObject(lastVersion, value.clone());
        objects.put(key, stored);
        notifyWaiters(key, stored);
        return Either.right(lastVersion);
    }

    private void notifyWaiters(String key, StoredObject stored) {
        List<Waiter> keyWaiters = waiters.remove(key);
        if (keyWaiters == null) {
            return;
        }
        for (Waiter waiter : keyWaiters) {
            waiter.consumer().accept(stored);
        }
    }

    /**
     * Calls the consumer once, with the object as soon as its version is above the given one.
     *
     * <p>The call happens immediately if the current version already is, and otherwise at the next write.
     */
    public void watch(String key, long aboveVersion, Consumer<StoredObject> consumer) {
        StoredObject current = get(key);
        if (current.version() > aboveVersion) {
            consumer.accept(current);
            return;
        }
        waiters.computeIfAbsent(key, ignored -> new ArrayList<>()).add(new Waiter(aboveVersion, consumer));
    }

    /** Returns a copy of all objects. */
    public Copy copy() {
        return new Copy(objects, lastVersion);
    }

    /** Replaces all objects by those of a copy. Versions that were given out since the copy was made are given out again. */
    public void restore(Copy copy) {
        objects.clear();
        objects.putAll(copy.objects);
        lastVersion = copy.lastVersion;
    }

    /** Returns the number of reads so far, including those of {@link #watch}. */
    public long reads() {
        return reads;
    }

    /** Returns the number of attempted writes so far, including those refused for a version conflict. */
    public long writes() {
        return writes;
    }

    /** Returns the number of writes refused for a version conflict. */
    public long conflicts() {
        return conflicts;
    }
}
