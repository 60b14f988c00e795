package org.radishspan.platform;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.radishspan.deployment.Address;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.http.Json;
import org.radishspan.http.WholeAnswer;
import org.radishspan.store.ObjectKinds;
import org.radishspan.store.StoredObject;
import org.radishspan.store.VersionedObjects;

import static java.nio.charset.StandardCharsets.UTF_8;

/** The client of the platform's object API. */
public final class ObjectApi implements VersionedObjects, ObjectKinds {
    private static final String PATH = "/api/objects/";
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;

    /** A call that has no answer after this time has failed; the store answers in 4 ms when it is well. */
    private static final long TIMEOUT_MILLIS = 500;

    /** A waiting watch without an answer this long after its time has failed. */
    private static final long WATCH_SLACK_MILLIS = 600;

    /** Where the object holds bytes of the project's own. */
    private static final String BYTES = "bytes";

    private final HttpTransport transport;
    private final Address address;

    /** Creates a client. */
    public ObjectApi(HttpTransport transport, Address address) {
        this.transport = transport;
        this.address = address;
    }

    @Override
    public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
        call("GET", PATH + key, new byte[0], TIMEOUT_MILLIS, answer -> reply.accept(answer.flatMap(ObjectApi::stored)));
    }

    private static Either<Failure, StoredObject> stored(WholeAnswer answer) {
        if (answer.status() == NOT_FOUND) {
            return Either.right(StoredObject.ABSENT);
        }
        return success(answer).flatMap(object -> {
            Optional<byte[]> bytes = bytes(object.path("spec").path(BYTES));
            long version = object.path("metadata").path("revision").asLong();
            return bytes.isEmpty() || version <= 0
                    ? Either.left(unavailable("the object has no readable content"))
                    : Either.right(new StoredObject(version, bytes.get()));
        });
    }

    private static Optional<byte[]> bytes(JsonNode text) {
        try {
            return text.isTextual() ? Optional.of(Base64.getDecoder().decode(text.textValue())) : Optional.empty();
        } catch (IllegalArgumentException e) {
            // Reported by the caller as content that cannot be read.
            return Optional.empty();
        }
    }

    @Override
    public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {
        String kind = key.substring(0, key.indexOf('/'));
        String name = key.substring(key.indexOf('/') + 1);
        ObjectNode metadata = Json.object().put("name", name);
        boolean create = expectedVersion == StoredObject.ABSENT_VERSION;
        if (!create) {
            metadata.put("revision", expectedVersion);
        }
        ObjectNode body =
                object(metadata, Json.object().put(BYTES, Base64.getEncoder().encodeToString(value)));
        call(
                create ? "POST" : "PUT",
                create ? PATH + kind : PATH + key,
                body.toString().getBytes(UTF_8),
                TIMEOUT_MILLIS,
                answer -> reply.accept(answer.flatMap(ObjectApi::written)));
    }

    private static ObjectNode object(ObjectNode metadata, JsonNode content) {
        ObjectNode object = Json.object();
        object.set("metadata", metadata);
        object.set("spec", content);
        return object;
    }

    private static Either<Failure, Long> written(WholeAnswer answer) {
        if (answer.status() == CONFLICT || answer.status() == NOT_FOUND) {
            return Either.left(Failure.notRun(ErrorKind.CONFLICT, "the object has another version"));
        }
        return success(answer)
                .map(object -> object.path("metadata").path("revision").asLong());
    }

    @Override
    public void list(String kind, String afterName, Consumer<Either<Failure, Page>> reply) {
        // The parameter is named after revisions, but takes the name of the last object of the page before.
        String query = afterName.isEmpty() ? "" : "?after_rev=" + afterName;
        call(
                "GET",
                PATH + kind + query,
                new byte[0],
                TIMEOUT_MILLIS,
                answer -> reply.accept(answer.flatMap(ObjectApi::page)));
    }

    private static Either<Failure, Page> page(WholeAnswer answer) {
        return success(answer).map(body -> {
            List<Entry> entries = new ArrayList<>();
            body.path("entries").forEach(object -> entries.add(entry(object)));
            return new Page(
                    entries,
                    !body.path("has_more").asBoolean(),
                    body.path("current_rev").asLong());
        });
    }

    private static Entry entry(JsonNode object) {
        JsonNode content = object.path("spec");
        return new Entry(
                object.path("metadata").path("name").asText(),
                content.isObject() ? content : MissingNode.getInstance());
    }

    @Override
    public void watch(String kind, long aboveRevision, long waitMillis, Consumer<Either<Failure, Changes>> reply) {
        call(
                "GET",
                PATH + kind + "?watch=" + aboveRevision + "&wait_ms=" + waitMillis,
                new byte[0],
                waitMillis + WATCH_SLACK_MILLIS,
                answer -> reply.accept(answer.flatMap(ObjectApi::changes)));
    }

    private static Either<Failure, Changes> changes(WholeAnswer answer) {
        if (answer.status() == GONE) {
            return Either.left(Failure.notRun(ErrorKind.CONFLICT, "this part of the history is gone"));
        }
        return success(answer).map(body -> {
            List<Change> changes = new ArrayList<>();
            for (JsonNode event : body.path("events")) {
                changes.add(new Change(
                        entry(event.path("object")), event.path("deleted").asBoolean()));
            }
            return new Changes(changes, body.path("current_rev").asLong());
        });
    }

    @Override
    public void write(String kind, String name, JsonNode content, Consumer<Either<Failure, Long>> reply) {
        byte[] body =
                object(Json.object().put("name", name), content).toString().getBytes(UTF_8);
        call("PUT", PATH + kind + "/" + name, body, TIMEOUT_MILLIS, answer -> {
            if (answer.isRight() && answer.get().status() == NOT_FOUND) {
                call(
                        "POST",
                        PATH + kind,
                        body,
                        TIMEOUT_MILLIS,
                        created -> reply.accept(created.flatMap(ObjectApi::written)));
                return;
            }
            reply.accept(answer.flatMap(ObjectApi::written));
        });
    }

    @Override
    public void remove(String kind, String name, Consumer<Either<Failure, Long>> reply) {
        call(
                "DELETE",
                PATH + kind + "/" + name,
                new byte[0],
                TIMEOUT_MILLIS,
                answer -> reply.accept(answer.flatMap(ObjectApi::written)));
    }

    private static Failure unavailable(String message) {
        return Failure.notRun(ErrorKind.PLATFORM_UNAVAILABLE, "the platform's store did not answer: " + message);
    }

    private void call(
            String method, String path, byte[] body, long limitMillis, Consumer<Either<Failure, WholeAnswer>> done) {
        Map<String, String> headers = body.length == 0 ? Map.of() : Map.of("Content-Type", Json.CONTENT_TYPE);
        transport.send(
                new HttpTransport.Request(address.host(), address.port(), method, path, headers, body, limitMillis),
                WholeAnswer.collecting(answer -> done.accept(answer.mapLeft(ObjectApi::unavailable))));
    }

    private static Either<Failure, ObjectNode> success(WholeAnswer answer) {
        if (answer.status() < FIRST_SUCCESS || answer.status() >= FIRST_REDIRECT) {
            return Either.left(unavailable("status " + answer.status()));
        }
        Optional<ObjectNode> object = Json.parseObject(answer.body());
        return object.isPresent()
                ? Either.right(object.get())
                : Either.left(unavailable("the answer is not one JSON object"));
    }
}
