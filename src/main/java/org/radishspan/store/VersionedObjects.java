package org.radishspan.store;

import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.Failure;

/**
 * The platform's object API as objects with versions and conditional updates.
 *
 * <p>Every call is answered once, on the caller's thread of control, with a time limit that the implementation sets.
 * An answer of kind {@code CONFLICT} says that a write did not take effect; any other failure of a write leaves open
 * whether it did.
 */
public interface VersionedObjects {

    /** Reads an object; an absent one is answered as {@link StoredObject#ABSENT}. */
    void get(String key, Consumer<Either<Failure, StoredObject>> reply);

    /**
     * Writes an object if its version is still the expected one.
     *
     * @param expectedVersion the version last read; {@link StoredObject#ABSENT_VERSION} to create the object
     * @param reply receives the new version
     */
    void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply);
}
