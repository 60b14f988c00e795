package org.radishspan.platform;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.radishspan.deployment.RouterEntry;
import org.radishspan.http.Json;

/** Encodes and decodes the entries by which routers register themselves in the platform's object API. */
public final class RouterCodec {
    /** The kind of the objects that routers write. It is defined by radishspan, not by the platform. */
    public static final String KIND = "routers";

    private RouterCodec() {}

    /** Returns the content of a router's object. */
    public static JsonNode encode(RouterEntry entry) {
        return Json.object()
                .put("vm", entry.vm())
                .put("incarnation", entry.incarnation())
                .put("peer_address", entry.peerAddress().toString())
                .put("failure_domain", entry.failureDomain());
    }

    /** Returns an entry; empty if the content is not a valid router entry. */
    public static Optional<RouterEntry> decode(JsonNode content) {
        JsonFields fields = JsonFields.of(content);
        RouterEntry entry = new RouterEntry(
                fields.text("vm"),
                fields.text("incarnation"),
                fields.address("peer_address"),
                fields.text("failure_domain"));
        return fields.valid() ? Optional.of(entry) : Optional.empty();
    }
}
