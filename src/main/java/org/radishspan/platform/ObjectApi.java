package org.radishspan.platform;

import java.net.URLEncoder;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.radishspan.deployment.Address;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.http.Json;
import org.radishspan.http.JsonSlice;
import org.radishspan.http.WholeAnswer;
import org.radishspan.store.ObjectKinds;
import org.radishspan.store.StoreEra;
import org.radishspan.store.StoredObject;
import org.radishspan.store.VersionedObjects;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Client of the platform's object API. Reads, writes, lists and watches objects over HTTP. */
public final class ObjectApi implements VersionedObjects, ObjectKinds {
    private static final String PATH = "/api/objects/";
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int NOT_FOUND_STATUS = 404;
    private static final int CONFLICT_STATUS = 409;
    private static final int GONE_STATUS = 410;

    /** A call without a response after this time has failed. In normal operation the store responds within 4 ms. */
    private static final long TIMEOUT_MILLIS = 500;

    /** A watch without a response this long after its waiting time has failed. */
    private static final long WATCH_SLACK_MILLIS = 600;

    private static final int MAX_NAME_LENGTH = 1_024;
    private static final char DELETE = 0x7f;

    private static final String ERA_HEADER = "Store-Era";

    /** Every number of so many digits fits into 64 bits. */
    private static final int MAX_ERA_DIGITS = 18;

    /** The field of an object's content that holds the bytes stored by radishspan, in Base64. */
    private static final String BYTES_FIELD = "bytes";

    private final HttpTransport transport;
    private final Address address;
    private final StoreEra storeEra;

    /**
     * Creates a client of the object API at an address.
     *
     * @param storeEra is informed of the era of each answer; answers of earlier eras are reported as failures
     */
    public ObjectApi(HttpTransport transport, Address address, StoreEra storeEra) {
        this.transport = transport;
        this.address = address;
        this.storeEra = storeEra;
    }

    @Override
    public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
        call(
                "GET",
                PATH + key,
                new byte[0],
                TIMEOUT_MILLIS,
                response -> reply.accept(response.flatMap(ObjectApi::stored)));
    }

    private static Either<Failure, StoredObject> stored(WholeAnswer response) {
        if (response.status() == NOT_FOUND_STATUS) {
            return Either.right(StoredObject.ABSENT);
        }
        return successBody(response).flatMap(object -> {
            Optional<byte[]> bytes = bytes(object.path("spec").path(BYTES_FIELD));
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
            // The calling method reports this as unreadable content.
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
        ObjectNode body = object(
                metadata, Json.object().put(BYTES_FIELD, Base64.getEncoder().encodeToString(value)));
        call(
                create ? "POST" : "PUT",
                create ? PATH + kind : PATH + key,
                body.toString().getBytes(UTF_8),
                TIMEOUT_MILLIS,
                response -> reply.accept(response.flatMap(ObjectApi::written)));
    }

    private static ObjectNode object(ObjectNode metadata, JsonNode content) {
        ObjectNode object = Json.object();
        object.set("metadata", metadata);
        object.set("spec", content);
        return object;
    }

    private static Either<Failure, Long> written(WholeAnswer response) {
        if (response.status() == CONFLICT_STATUS || response.status() == NOT_FOUND_STATUS) {
            return Either.left(Failure.notRun(ErrorKind.CONFLICT, "the object has another version"));
        }
        return successBody(response)
                .map(object -> object.path("metadata").path("revision").asLong());
    }

    @Override
    public void list(String kind, String afterName, Consumer<Either<Failure, Page>> reply) {
        // Despite its name, this parameter takes the name of the last object of the previous page, not a revision.
        String query = afterName.isEmpty() ? "" : "?after_rev=" + URLEncoder.encode(afterName, UTF_8);
        call(
                "GET",
                PATH + kind + query,
                new byte[0],
                TIMEOUT_MILLIS,
                response -> reply.accept(response.flatMap(ObjectApi::page)));
    }

    private static Either<Failure, Page> page(WholeAnswer response) {
        return successFields(response).flatMap(body -> {
            Optional<List<JsonSlice>> objects = slice(body, "entries").elements();
            return objects.isEmpty()
                    ? Either.left(unavailable("the list has no readable entries"))
                    : Either.right(new Page(
                            objects.get().stream().map(ObjectApi::entry).toList(),
                            !flag(body, "has_more"),
                            revision(body)));
        });
    }

    /**
     * Returns an object. Its name and its content are read separately, so that content that cannot be read still has a name
     * under which it is skipped. An object whose name cannot be sent in a header is skipped too.
     */
    private static Entry entry(JsonSlice object) {
        Map<String, JsonSlice> fields = object.fields().orElse(Map.of());
        String name = slice(fields, "metadata").parseObject().path("name").asText();
        return new Entry(name, isUsableName(name) ? slice(fields, "spec").parseObject() : MissingNode.getInstance());
    }

    private static boolean isUsableName(String name) {
        return !name.isEmpty()
                && name.length() <= MAX_NAME_LENGTH
                && name.chars().allMatch(c -> c > ' ' && c < DELETE);
    }

    private static JsonSlice slice(Map<String, JsonSlice> fields, String name) {
        return fields.getOrDefault(name, JsonSlice.EMPTY);
    }

    private static boolean flag(Map<String, JsonSlice> fields, String name) {
        return slice(fields, name).parse().map(JsonNode::asBoolean).orElse(false);
    }

    private static long revision(Map<String, JsonSlice> fields) {
        return slice(fields, "current_rev").parse().map(JsonNode::asLong).orElse(0L);
    }

    @Override
    public void watch(String kind, long aboveRevision, long waitMillis, Consumer<Either<Failure, Changes>> reply) {
        call(
                "GET",
                PATH + kind + "?watch=" + aboveRevision + "&wait_ms=" + waitMillis,
                new byte[0],
                waitMillis + WATCH_SLACK_MILLIS,
                response -> reply.accept(response.flatMap(ObjectApi::changes)));
    }

    private static Either<Failure, Changes> changes(WholeAnswer response) {
        if (response.status() == GONE_STATUS) {
            return Either.left(Failure.notRun(
                    ErrorKind.CONFLICT,
                    "the requested revisions are no longer in the history of the platform's store"));
        }
        return successFields(response).flatMap(body -> {
            Optional<List<JsonSlice>> events = slice(body, "events").elements();
            return events.isEmpty()
                    ? Either.left(unavailable("the answer to a watch has no readable events"))
                    : Either.right(new Changes(
                            events.get().stream().map(ObjectApi::change).toList(), revision(body)));
        });
    }

    private static Change change(JsonSlice event) {
        Map<String, JsonSlice> fields = event.fields().orElse(Map.of());
        return new Change(entry(slice(fields, "object")), flag(fields, "deleted"));
    }

    @Override
    public void write(String kind, String name, JsonNode content, Consumer<Either<Failure, Long>> reply) {
        byte[] body =
                object(Json.object().put("name", name), content).toString().getBytes(UTF_8);
        call("PUT", PATH + kind + "/" + name, body, TIMEOUT_MILLIS, response -> {
            if (response.isRight() && response.get().status() == NOT_FOUND_STATUS) {
                call(
                        "POST",
                        PATH + kind,
                        body,
                        TIMEOUT_MILLIS,
                        created -> reply.accept(created.flatMap(ObjectApi::written)));
                return;
            }
            reply.accept(response.flatMap(ObjectApi::written));
        });
    }

    @Override
    public void remove(String kind, String name, Consumer<Either<Failure, Long>> reply) {
        call(
                "DELETE",
                PATH + kind + "/" + name,
                new byte[0],
                TIMEOUT_MILLIS,
                response -> reply.accept(response.flatMap(ObjectApi::written)));
    }

    private static Failure unavailable(String message) {
        return Failure.notRun(ErrorKind.PLATFORM_UNAVAILABLE, "the request to the platform's store failed: " + message);
    }

    private void call(
            String method,
            String path,
            byte[] body,
            long timeoutMillis,
            Consumer<Either<Failure, WholeAnswer>> callback) {
        Map<String, String> headers = body.length == 0 ? Map.of() : Map.of("Content-Type", Json.CONTENT_TYPE);
        transport.send(
                new HttpTransport.Request(address.host(), address.port(), method, path, headers, body, timeoutMillis),
                WholeAnswer.collecting(response ->
                        callback.accept(response.mapLeft(ObjectApi::unavailable).flatMap(this::inCurrentEra))));
    }

    private Either<Failure, WholeAnswer> inCurrentEra(WholeAnswer response) {
        long era = era(response.headers().get(ERA_HEADER));
        return storeEra.onAnswer(era)
                ? Either.right(response)
                : Either.left(unavailable("the answer is of era " + era + ", before era " + storeEra.current()));
    }

    private static long era(@Nullable String value) {
        boolean readable = value != null
                && !value.isEmpty()
                && value.length() <= MAX_ERA_DIGITS
                && value.chars().allMatch(c -> c >= '0' && c <= '9');
        return readable ? Long.parseLong(value) : StoreEra.UNKNOWN;
    }

    private static Either<Failure, WholeAnswer> success(WholeAnswer response) {
        return response.status() < FIRST_SUCCESS || response.status() >= FIRST_REDIRECT
                ? Either.left(unavailable("status " + response.status()))
                : Either.right(response);
    }

    private static Either<Failure, ObjectNode> successBody(WholeAnswer response) {
        return success(response).flatMap(answer -> toEither(Json.parseObject(answer.body())));
    }

    /** Returns the fields of a body with many objects, each of which is parsed by itself. */
    private static Either<Failure, Map<String, JsonSlice>> successFields(WholeAnswer response) {
        return success(response)
                .flatMap(answer -> toEither(JsonSlice.of(answer.body()).fields()));
    }

    private static <T> Either<Failure, T> toEither(Optional<T> body) {
        return body.isPresent()
                ? Either.right(body.get())
                : Either.left(unavailable("the response is not one JSON object"));
    }
}
