package org.radishspan.explain;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishspan.http.Json;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * One structured line of a router's log. Lines of one log are numbered in the order in which they were written.
 *
 * @param source the name of the log that contains the line
 * @param number the line number in that log, from 1
 * @param fields the keys and values of the line's JSON object
 */
record LogLine(String source, int number, ObjectNode fields) {
    private static final String OBJECT_START = "{\"";

    /**
     * Parses a line. Text before the JSON object, such as a time stamp added by a log shipper, is ignored. Returns empty if the
     * line contains no complete JSON object or the object has no event name.
     */
    static Optional<LogLine> read(String source, int number, String text) {
        int objectStart = text.indexOf(OBJECT_START);
        if (objectStart < 0) {
            return Optional.empty();
        }
        return Json.parseObject(text.substring(objectStart).strip().getBytes(UTF_8))
                .filter(object -> object.path("event").isTextual())
                .map(object -> new LogLine(source, number, object));
    }

    String event() {
        return text("event");
    }

    long timeMillis() {
        return fields.path("time_ms").asLong();
    }

    /** Returns the value of a key as text, or an empty text if the line does not have the key. */
    String text(String key) {
        JsonNode value = fields.path(key);
        return value.isMissingNode() ? "" : value.asText();
    }

    /** Returns the value of a key as a number, or 0 if the line does not have the key or its value is not a number. */
    long number(String key) {
        return fields.path(key).asLong();
    }

    boolean isAbout(String requestId) {
        return requestId.equals(text("request"));
    }
}
