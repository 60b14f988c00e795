package org.radishspan.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishspan.error.Failure;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Converts failures to the JSON body of an error response and sends them to callers. */
public final class ErrorResponse {
    private ErrorResponse() {}

    /** Returns {@code {"error": {kind, message, ran, retry_after_ms?}}}; without a retry hint the last field is absent. */
    public static ObjectNode json(Failure failure) {
        ObjectNode error = Json.object();
        error.put("kind", failure.kind().wireName());
        error.put("message", failure.message());
        error.put("ran", failure.ran().wireName());
        if (failure.retryAfterMillis() > 0) {
            error.put("retry_after_ms", failure.retryAfterMillis());
        }
        ObjectNode body = Json.object();
        body.set("error", error);
        return body;
    }

    /** Responds to a call with the HTTP status, JSON body and retry header of a failure. */
    public static void send(HttpCall call, Failure failure) {
        call.respond(
                failure.kind().httpStatus(),
                Json.CONTENT_TYPE,
                json(failure).toString().getBytes(UTF_8),
                HttpServer.retryAfter(failure.retryAfterMillis()));
    }
}
