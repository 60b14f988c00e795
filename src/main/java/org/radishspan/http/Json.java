package org.radishspan.http;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Parses and creates JSON with one shared mapper that limits nesting and rejects trailing tokens. */
public final class Json {
    /** The media type of JSON. */
    public static final String CONTENT_TYPE = "application/json";

    private static final int MAX_NESTING = 64;
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    static {
        MAPPER.getFactory()
                .setStreamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(MAX_NESTING)
                        .build());
    }

    private Json() {}

    /** Returns a new, empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Returns a new, empty array. */
    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /** Parses an object; returns empty if the bytes are not exactly one JSON object. */
    public static Optional<ObjectNode> parseObject(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node instanceof ObjectNode object ? Optional.of(object) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Parses a part of a text; returns empty if it is not exactly one JSON value. */
    static Optional<JsonNode> parse(byte[] bytes, int start, int length) {
        try {
            JsonNode node = MAPPER.readTree(bytes, start, length);
            return node.isMissingNode() ? Optional.empty() : Optional.of(node);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns the JSON text of a node with line breaks and indentation. */
    public static String pretty(JsonNode node) {
        return node.toPrettyString();
    }
}
