package org.radishspan.store;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;

/** The platform's object API over HTTP. */
public final class HttpPlatformStore implements PlatformStore {
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final long WATCH_SLACK_MILLIS = 2_000;

    private final HttpTransport transport;
    private final String host;
    private final int port;
    private final long timeoutMillis;
    private final long watchMillis;

    /** Creates an adapter for a platform at an address. */
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
                watchMillis + WATCH_SLACK_MILLIS,
                answer -> reply.accept(answer.flatMap(response -> toWatched(response, aboveVersion))));
    }

    private static String path(String key) {
        return "/objects/" + key;
    }

    private static Either<Failure, StoredObject> toStored(Answer answer) {
        if (answer.status == NOT_FOUND) {
            return Either.right(StoredObject.ABSENT);
        }
        if (answer.status != OK) {
            return Either.left(unavailable("status " + answer.status));
        }
        return Either.right(new StoredObject(answer.version, answer.body.toByteArray()));
    }

    private static Either<Failure, StoredObject> toWatched(Answer answer, long aboveVersion) {
        if (answer.status == NOT_MODIFIED) {
            return Either.right(new StoredObject(aboveVersion, new byte[0]));
        }
        return toStored(answer);
    }

    private static Either<Failure, Long> toVersion(Answer answer) {
        if (answer.status == PRECONDITION_FAILED) {
            return Either.left(Failure.notRun(ErrorKind.CONFLICT, "the object has another version"));
        }
        if (answer.status != OK) {
            return Either.left(unavailable("status " + answer.status));
        }
        return Either.right(answer.version);
    }

    private static Failure unavailable(String message) {
        return Failure.notRun(ErrorKind.PLATFORM_UNAVAILABLE, "the platform did not answer: " + message);
    }

    private void send(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long limitMillis,
            Consumer<Either<Failure, Answer>> done) {
        transport.send(
                new HttpTransport.Request(host, port, method, path, headers, body, limitMillis), new Answer(done));
    }

    /** Collects one answer. */
    private static final class Answer implements HttpTransport.Listener {
        private final Consumer<Either<Failure, Answer>> done;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private long version;

        Answer(Consumer<Either<Failure, Answer>> done) {
            this.done = done;
        }

        @Override
        public void onHead(int statusCode, HttpTransport.Headers headers) {
            status = statusCode;
            version = parseVersion(headers.get("etag"));
        }

        private static long parseVersion(@Nullable String etag) {
            if (etag == null || etag.isEmpty() || !etag.chars().allMatch(Character::isDigit)) {
                return StoredObject.ABSENT_VERSION;
            }
            return Long.parseLong(etag);
        }

        @Override
        public void onBody(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void onEnd() {
            done.accept(Either.right(this));
        }

        @Override
        public void onFailure(String message, boolean sent) {
            done.accept(Either.left(unavailable(message)));
        }
    }
}
