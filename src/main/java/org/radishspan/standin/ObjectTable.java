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

/** Versioned objects in memory, as the platform's object API holds them. */
public final class ObjectTable {
    private record Waiter(long aboveVersion, Consumer<StoredObject> consumer) {}

    private final Map<String, StoredObject> objects = new HashMap<>();
    private final Map<String, List<Waiter>> waiters = new HashMap<>();
    private long lastVersion;
    private long reads;
    private long writes;
    private long conflicts;

    /** Returns an object; {@link StoredObject#ABSENT} if there is none. */
    public StoredObject get(String key) {
        reads++;
        return objects.getOrDefault(key, StoredObject.ABSENT);
    }

    /** Writes an object if its version is the expected one, and returns the new version. */
    public Either<Failure, Long> put(String key, long expectedVersion, byte[] value) {
        writes++;
        StoredObject current = objects.getOrDefault(key, StoredObject.ABSENT);
        if (current.version() != expectedVersion) {
            conflicts++;
            return Either.left(Failure.notRun(ErrorKind.CONFLICT, "the object has version " + current.version()));
        }
        lastVersion++;
        StoredObject stored = new StoredObject(lastVersion, value.clone());
        objects.put(key, stored);
        wake(key, stored);
        return Either.right(lastVersion);
    }

    private void wake(String key, StoredObject stored) {
        List<Waiter> waiting = waiters.remove(key);
        if (waiting == null) {
            return;
        }
        for (Waiter waiter : waiting) {
            waiter.consumer().accept(stored);
        }
    }

    /** Calls the consumer with the first version above the given one; at once if it is there. */
    public void await(String key, long aboveVersion, Consumer<StoredObject> consumer) {
        StoredObject current = get(key);
        if (current.version() > aboveVersion) {
            consumer.accept(current);
            return;
        }
        waiters.computeIfAbsent(key, ignored -> new ArrayList<>()).add(new Waiter(aboveVersion, consumer));
    }

    /** Returns the reads so far. */
    public long reads() {
        return reads;
    }

    /** Returns the writes so far, those that met a conflict included. */
    public long writes() {
        return writes;
    }

    /** Returns the writes that met a conflict. */
    public long conflicts() {
        return conflicts;
    }
}
