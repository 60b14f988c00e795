package org.radishspan.platform;

import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.Failure;

/**
 * The platform's object API: versions, conditional updates and watches.
 *
 * <p>Every call is answered once, on the caller's thread of control, with a time limit that the implementation sets.
 * An answer of kind {@code CONFLICT} says that a write did not take effect; any other failure of a write leaves open
 * whether it did.
 */
public interface PlatformStore {

    /** Reads an object; an absent one is answered as {@link StoredObject#ABSENT}. */
    void get(String key, Consumer<Either<Failure, StoredObject>> reply);

    /**
     * Writes an object if its version is still the expected one.
     *
     * @param expectedVersion the version last read; {@link StoredObject#ABSENT_VERSION} to create the object
     * @param reply receives the new version
     */
    void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply);

    /** Waits until an object's version is above the given one, or the implementation's waiting time is over. */
    void watch(String key, long aboveVersion, Consumer<Either<Failure, StoredObject>> reply);
}
