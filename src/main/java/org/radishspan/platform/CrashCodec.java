package org.radishspan.platform;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
        report.targetsByFingerprint().forEach((fingerprint, targets) -> {
            ArrayNode names =
                    crashes.addObject().put("fingerprint", fingerprint).putArray("targets");
            targets.stream().sorted().forEach(names::add);
        });
        return content;
    }

    /** Returns a report; empty if the content is not valid. */
    public static Optional<CrashReport> decode(JsonNode content) {
        JsonFields fields = JsonFields.of(content);
        Map<String, Set<String>> targets = new TreeMap<>();
        for (JsonFields crash : fields.objects("crashes")) {
            targets.put(crash.text("fingerprint"), Set.copyOf(crash.texts("targets")));
        }
        return fields.valid() ? Optional.of(new CrashReport(targets)) : Optional.empty();
    }
}
