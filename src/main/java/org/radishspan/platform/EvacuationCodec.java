package org.radishspan.platform;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.radishspan.deployment.EvacuationEntry;
import org.radishspan.http.Json;

/** Encodes and decodes the entries by which operators evacuate failure domains in the platform's object API. */
public final class EvacuationCodec {
    /** The kind of the objects that operators write, each under the name of a failure domain. */
    public static final String KIND = "evacuations";

    private EvacuationCodec() {}

    /**
     * Returns an entry for any content. A failure domain is evacuated while its object exists, so an object whose content
     * cannot be read must not count as absent.
     */
    public static Optional<EvacuationEntry> decode(JsonNode content) {
        return Optional.of(new EvacuationEntry(content.isObject() && content.isEmpty()));
    }

    /** Returns the content of an entry. */
    public static JsonNode encode(EvacuationEntry entry) {
        return entry.empty() ? Json.object() : Json.object().put("unexpected", true);
    }
}
