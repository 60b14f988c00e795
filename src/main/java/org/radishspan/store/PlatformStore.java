package org.radishspan.store;

import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.Failure;

/** The platform's object API: versioned objects, and watches of single objects. */
public interface PlatformStore extends VersionedObjects {

    /**
     * Waits until an object's version is above the given one and replies with the object. If the waiting time of the
     * implementation ends first, the reply has no newer version.
     */
    void watch(String key, long aboveVersion, Consumer<Either<Failure, StoredObject>> reply);
}
