package org.radishspan.store;

import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.radishspan.error.Failure;

/**
 * Lists, watches and unconditional writes of kinds of objects in the platform's object API.
 *
 * <p>Every call is answered once, on the caller's thread.
 */
public interface ObjectKinds {

    /**
     * An object of a kind.
     *
     * @param name the name of the object within its kind
     * @param content the stored content; a missing node if it cannot be read
     */
    record Entry(String name, JsonNode content) {}

    /**
     * A page of a list.
     *
     * @param entries the objects of the page
     * @param complete whether this is the last page
     * @param revision the revision of the store, from which a watch can continue
     */
    record Page(List<Entry> entries, boolean complete, long revision) {}

    /**
     * A change of an object.
     *
     * @param entry the object after the change
     * @param deleted whether the object was deleted
     */
    record Change(Entry entry, boolean deleted) {}

    /**
     * The changes of objects of a kind.
     *
     * @param changes the changes in order; empty if there were none within the waiting time
     * @param revision the revision of the store, from which the next watch continues
     */
    record Changes(List<Change> changes, long revision) {}

    /** Lists the next page of a kind, with the names after {@code afterName}; an empty name starts the list. */
    void list(String kind, String afterName, Consumer<Either<Failure, Page>> reply);

    /**
     * Waits for changes after a revision; fails with {@code CONFLICT} if the store no longer has all changes since.
     *
     * @param waitMillis the time after which the call is answered without changes, in milliseconds
     */
    void watch(String kind, long aboveRevision, long waitMillis, Consumer<Either<Failure, Changes>> reply);

    /** Writes the content of an object unconditionally, and creates the object if it is absent. */
    void write(String kind, String name, JsonNode content, Consumer<Either<Failure, Long>> reply);

    /** Removes an object. */
    void remove(String kind, String name, Consumer<Either<Failure, Long>> reply);
}
