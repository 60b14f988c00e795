package org.radishspan.platform;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishspan.deployment.CrashReport;
import org.radishspan.http.Json;

/** Encodes and decodes the reports of crashed targets that routers write to the platform's object API. */
public final class CrashCodec {
    /** The kind of the objects that routers write, each under the name of its VM. It is defined by radishspan. */
    public static final String KIND = "crashes";

    private CrashCodec() {}

    /** Returns the content of a router's object. */
    public static JsonNode encode(CrashReport report) {
        ObjectNode content = Json.object();
        ArrayNode crashes = content.putArray("crashes");
        report.crashedAtUnixMillis()
                .forEach((fingerprint, targets) -> targets.forEach((target, atUnixMillis) -> crashes.addObject()
                        .put("fingerprint", fingerprint)
                        .put("target", target)
                        .put("at_unix_ms", atUnixMillis)));
        return content;
    }

    /** Returns a report; empty if the content is not valid. */
    public static Optional<CrashReport> decode(JsonNode content) {
        JsonFields fields = JsonFields.of(content);
        Map<String, Map<String, Long>> crashes = new TreeMap<>();
        for (JsonFields crash : fields.objects("crashes")) {
            crashes.computeIfAbsent(crash.text("fingerprint"), ignored -> new TreeMap<>())
                    .put(crash.text("target"), crash.wholeNumber("at_unix_ms", 0, Long.MAX_VALUE));
        }
        return fields.valid() ? Optional.of(new CrashReport(crashes)) : Optional.empty();
    }
}
