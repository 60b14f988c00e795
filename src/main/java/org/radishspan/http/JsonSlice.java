package org.radishspan.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.jspecify.annotations.Nullable;

/**
 * A part of a JSON text, which is divided into its fields or elements before it is parsed.
 *
 * <p>The parser's limits, for example on nesting or on the length of numbers, then apply to each part by itself. One part that
 * exceeds them does not make the others unreadable. Dividing takes constant memory per part, however deep it is nested.
 *
 * @param bytes the whole text, in UTF-8
 * @param start the index of the first byte of the part
 * @param end the index after its last byte
 */
@SuppressWarnings("ArrayRecordComponent")
public record JsonSlice(byte[] bytes, int start, int end) {
    /** A slice without content, which has neither fields nor elements. */
    public static final JsonSlice EMPTY = new JsonSlice(new byte[0], 0, 0);

    /** Returns a slice of the whole text, without the white space around it. */
    public static JsonSlice of(byte[] text) {
        int start = skipSpace(text, 0, text.length);
        int end = text.length;
        while (end > start && isSpace(text[end - 1])) {
            end--;
        }
        return new JsonSlice(text, start, end);
    }

    /** Returns the fields of an object; empty if this is not an object. The last of several fields of one name counts. */
    public Optional<Map<String, JsonSlice>> fields() {
        Map<String, JsonSlice> fields = new HashMap<>();
        boolean divided = divide('{', '}', (name, value) -> {
            if (name != null) {
                name.parse().ifPresent(key -> fields.put(key.textValue(), value));
            }
            return name != null;
        });
        return divided ? Optional.of(fields) : Optional.empty();
    }

    /** Returns the elements of an array; empty if this is not an array. */
    public Optional<List<JsonSlice>> elements() {
        List<JsonSlice> elements = new ArrayList<>();
        boolean divided = divide('[', ']', (name, value) -> {
            elements.add(value);
            return name == null;
        });
        return divided ? Optional.of(elements) : Optional.empty();
    }

    /** Parses this slice; returns empty if it is not valid JSON or exceeds a limit of the parser. */
    public Optional<JsonNode> parse() {
        return Json.parse(bytes, start, end - start);
    }

    /** Parses this slice; returns a missing node if it is not an object, not valid JSON or exceeds a limit of the parser. */
    public JsonNode parseObject() {
        return parse().filter(JsonNode::isObject).orElse(MissingNode.getInstance());
    }

    /** Receives the parts of an object or array. */
    @FunctionalInterface
    private interface PartConsumer {
        /** Takes a part and its name, which an element of an array does not have; returns false if it does not fit. */
        boolean accept(@Nullable JsonSlice name, JsonSlice value);
    }

    private boolean divide(char open, char close, PartConsumer parts) {
        if (end - start < 2 || bytes[start] != open || bytes[end - 1] != close) {
            return false;
        }
        int last = end - 1;
        int position = skipSpace(bytes, start + 1, last);
        while (position < last) {
            int partEnd = valueEnd(position, last);
            JsonSlice name = null;
            int next = skipSpace(bytes, partEnd, last);
            if (next < last && bytes[next] == ':') {
                name = new JsonSlice(bytes, position, partEnd);
                position = skipSpace(bytes, next + 1, last);
                partEnd = valueEnd(position, last);
                next = skipSpace(bytes, partEnd, last);
            }
            boolean separated = next == last || bytes[next] == ',';
            if (partEnd <= position || !separated || !parts.accept(name, new JsonSlice(bytes, position, partEnd))) {
                return false;
            }
            position = skipSpace(bytes, next + 1, last);
        }
        return true;
    }

    /** Returns the end of the value that starts at a position; the position itself if there is no value. */
    private int valueEnd(int position, int limit) {
        int depth = 0;
        for (int i = position; i < limit; i++) {
            byte next = bytes[i];
            if (next == '"') {
                i = stringEnd(i, limit) - 1;
            } else if (next == '{' || next == '[') {
                depth++;
                continue;
            } else if (next == '}' || next == ']') {
                depth--;
            } else if (depth == 0 && (next == ',' || next == ':' || isSpace(next))) {
                return i;
            } else if (depth == 0) {
                continue;
            }
            if (depth == 0) {
                return Math.min(i + 1, limit);
            }
        }
        return depth == 0 ? limit : position;
    }

    private int stringEnd(int position, int limit) {
        for (int i = position + 1; i < limit; i++) {
            if (bytes[i] == '\\') {
                i++;
            } else if (bytes[i] == '"') {
                return i + 1;
            }
        }
        return limit;
    }

    private static int skipSpace(byte[] bytes, int from, int limit) {
        int position = from;
        while (position < limit && isSpace(bytes[position])) {
            position++;
        }
        return position;
    }

    private static boolean isSpace(byte next) {
        return next == ' ' || next == '\n' || next == '\r' || next == '\t';
    }
}
