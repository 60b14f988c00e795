package org.radishspan.store;

import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.Failure;

/**
 * Reads and conditional updates of versioned objects in the platform's object API.
 *
 * <p>Every call is answered once, on the caller's thread, within a time limit that the implementation sets. A failure
 * of kind {@code CONFLICT} means that a write did not take effect. After any other failure, the write may or may not
 * have taken effect.
 */
public interface VersionedObjects {

    /** Reads an object; the reply for an absent object is {@link StoredObject#ABSENT}. */
    void get(String key, Consumer<Either<Failure, StoredObject>> reply);

    /**
     * Writes an object if it still has the expected version; otherwise the reply is a failure of kind {@code CONFLICT}.
     *
     * @param expectedVersion the version last read; {@link StoredObject#ABSENT_VERSION} to create the object
     * @param reply receives the new version, or the failure
     */
    void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply);
}
