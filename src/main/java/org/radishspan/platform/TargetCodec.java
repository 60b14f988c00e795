package org.radishspan.platform;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.radishspan.deployment.Address;
import org.radishspan.deployment.TargetEntry;

/** Decodes the entries by which targets register themselves in the platform's object API. */
public final class TargetCodec {
    /** The kind of the objects that targets write. */
    public static final String KIND = "servers";

    private static final int MAX_COUNT = Integer.MAX_VALUE;

    /** Longer cold times are not plausible and are treated as this one. */
    private static final long MAX_COLD_MILLIS = 600_000;

    private TargetCodec() {}

    /**
     * Returns an entry; empty if the content is invalid or the state of the target is neither ready nor draining. The id is
     * left empty, because it is the name of the object and not part of its content.
     */
    public static Optional<TargetEntry> decode(JsonNode content) {
        JsonFields fields = JsonFields.of(content);
        String state = fields.text("state");
        String service = fields.text("service");
        Address address = fields.address("address");
        String failureDomain = fields.text("zone");
        int slots = (int) fields.wholeNumber("slots", 1, MAX_COUNT);
        // Milliseconds since 1970. Without this field the incarnations of a target cannot be distinguished.
        long startedAtUnixMillis = fields.wholeNumber("born", 0, Long.MAX_VALUE, 0);
        long coldMillis = (long) fields.lenientNumber("cold_left_ms", 0, MAX_COLD_MILLIS, 0);
        String softwareVersion = fields.optionalText("version").orElse("");
        boolean draining = state.equals("draining");
        if (!fields.valid() || (!draining && !state.equals("ready"))) {
            return Optional.empty();
        }
        return Optional.of(new TargetEntry(
                "",
                service,
                address,
                failureDomain,
                slots,
                draining,
                startedAtUnixMillis,
                coldMillis,
                softwareVersion));
    }
}
