package org.radishspan.store;

import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.Failure;

/** The platform's object API with watches of single objects. */
public interface PlatformStore extends VersionedObjects {

    /** Waits until an object's version is above the given one, or the implementation's waiting time is over. */
    void watch(String key, long aboveVersion, Consumer<Either<Failure, StoredObject>> reply);
}
