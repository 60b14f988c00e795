package org.radishspan.store;

import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.radishspan.error.Failure;

/**
 * The platform's object API as lists and watches of kinds of objects.
 *
 * <p>Every call is answered once, on the caller's thread of control.
 */
public interface ObjectKinds {

    /**
     * An object of a kind.
     *
     * @param name its name within the kind
     * @param content what its writer stored; missing where nothing can be read
     */
    record Entry(String name, JsonNode content) {}

    /**
     * A part of a list.
     *
     * @param entries the objects
     * @param complete whether no further part follows
     * @param revision the store's revision, from which a watch goes on
     */
    record Page(List<Entry> entries, boolean complete, long revision) {}

    /**
     * A change of an object.
     *
     * @param entry the object
     * @param deleted whether it is gone
     */
    record Change(Entry entry, boolean deleted) {}

    /**
     * What changed in a kind; no changes if the waiting time was over.
     *
     * @param changes the changes in their order
     * @param revision the store's revision, from which the watch goes on
     */
    record Changes(List<Change> changes, long revision) {}

    /** Lists a kind from behind a name; an empty name starts the list. */
    void list(String kind, String afterName, Consumer<Either<Failure, Page>> reply);

    /**
     * Waits for changes above a revision; fails with {@code CONFLICT} if that part of the history is gone.
     *
     * @param waitMillis after what time the call is answered although there are none
     */
    void watch(String kind, long aboveRevision, long waitMillis, Consumer<Either<Failure, Changes>> reply);

    /** Writes the content of an object without a condition, and creates it where it is absent. */
    void write(String kind, String name, JsonNode content, Consumer<Either<Failure, Long>> reply);

    /** Removes an object. */
    void remove(String kind, String name, Consumer<Either<Failure, Long>> reply);
}
