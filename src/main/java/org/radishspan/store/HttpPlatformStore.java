package org.radishspan.store;

import java.util.Map;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.http.WholeAnswer;

/** Calls the platform's object API over HTTP. */
public final class HttpPlatformStore implements PlatformStore {
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final long WATCH_TIMEOUT_MARGIN_MILLIS = 2_000;

    private final HttpTransport transport;
    private final String host;
    private final int port;
    private final long timeoutMillis;
    private final long watchMillis;

    /**
     * Creates an adapter for the platform at an address.
     *
     * @param timeoutMillis the time limit of a read or write, in milliseconds
     * @param watchMillis how long the platform waits for a change before it answers a watch, in milliseconds
     */
    public HttpPlatformStore(HttpTransport transport, String host, int port, long timeoutMillis, long watchMillis) {
        this.transport = transport;
        this.host = host;
        this.port = port;
        this.timeoutMillis = timeoutMillis;
        this.watchMillis = watchMillis;
    }

    @Override
    public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
        send(
                "GET",
                path(key),
                Map.of(),
                new byte[0],
                timeoutMillis,
                answer -> reply.accept(answer.flatMap(HttpPlatformStore::toStored)));
    }

    @Override
    public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {
        Map<String, String> headers = Map.of("if-match", Long.toString(expectedVersion));
        send(
                "PUT",
                path(key),
                headers,
                value,
                timeoutMillis,
                answer -> reply.accept(answer.flatMap(HttpPlatformStore::toVersion)));
    }

    @Override
    public void watch(String key, long aboveVersion, Consumer<Either<Failure, StoredObject>> reply) {
        String path = path(key) + "?above=" + aboveVersion + "&wait_ms=" + watchMillis;
        send(
                "GET",
                path,
                Map.of(),
                new byte[0],
                watchMillis + WATCH_TIMEOUT_MARGIN_MILLIS,
                answer -> reply.accept(answer.flatMap(response -> toWatched(response, aboveVersion))));
    }

    private static String path(String key) {
        return "/objects/" + key;
    }

    private static Either<Failure, StoredObject> toStored(WholeAnswer answer) {
        if (answer.status() == NOT_FOUND) {
            return Either.right(StoredObject.ABSENT);
        }
        if (answer.status() != OK) {
            return Either.left(unavailable("HTTP status " + answer.status()));
        }
        return Either.right(new StoredObject(version(answer), answer.body()));
    }

    private static Either<Failure, StoredObject> toWatched(WholeAnswer answer, long aboveVersion) {
        if (answer.status() == NOT_MODIFIED) {
            return Either.right(new StoredObject(aboveVersion, new byte[0]));
        }
        return toStored(answer);
    }

    private static Either<Failure, Long> toVersion(WholeAnswer answer) {
        if (answer.status() == PRECONDITION_FAILED) {
            return Either.left(Failure.notRun(ErrorKind.CONFLICT, "the object has another version"));
        }
        if (answer.status() != OK) {
            return Either.left(unavailable("HTTP status " + answer.status()));
        }
        return Either.right(version(answer));
    }

    private static Failure unavailable(String message) {
        return Failure.notRun(ErrorKind.PLATFORM_UNAVAILABLE, "the platform's store is unavailable: " + message);
    }

    private void send(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long callTimeoutMillis,
            Consumer<Either<Failure, WholeAnswer>> done) {
        transport.send(
                new HttpTransport.Request(host, port, method, path, headers, body, callTimeoutMillis),
                WholeAnswer.collecting(answer -> done.accept(answer.mapLeft(HttpPlatformStore::unavailable))));
    }

    private static long version(WholeAnswer answer) {
        String etag = answer.headers().get("etag");
        if (etag == null || etag.isEmpty() || !etag.chars().allMatch(Character::isDigit)) {
            return StoredObject.ABSENT_VERSION;
        }
        return Long.parseLong(etag);
    }
}
