package org.radishspan.explain;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishspan.http.Json;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * One line of a router's log.
 *
 * @param source the log that it stands in
 * @param number its place there, from 1; lines of one log are in the order in which they were written
 * @param fields what it says
 */
record LogLine(String source, int number, ObjectNode fields) {
    private static final String START = "{\"";

    /** Reads a line; what stands before the JSON object, such as a log shipper's time, is left out. */
    static Optional<LogLine> read(String source, int number, String text) {
        int start = text.indexOf(START);
        if (start < 0) {
            return Optional.empty();
        }
        return Json.parseObject(text.substring(start).strip().getBytes(UTF_8))
                .filter(object -> object.path("event").isTextual())
                .map(object -> new LogLine(source, number, object));
    }

    String event() {
        return text("event");
    }

    long timeMillis() {
        return fields.path("time_ms").asLong();
    }

    String text(String key) {
        JsonNode value = fields.path(key);
        return value.isMissingNode() ? "" : value.asText();
    }

    long number(String key) {
        return fields.path(key).asLong();
    }

    boolean isAbout(String requestId) {
        return requestId.equals(text("request"));
    }
}
