package org.radishspan.platform;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishspan.deployment.VersionReport;
import org.radishspan.http.Json;

/** Encodes and decodes the reports about software versions that routers write to the platform's object API. */
public final class VersionCodec {
    /** The kind of the objects that routers write, each under the name of a service. It is defined by radishspan. */
    public static final String KIND = "software-versions";

    private VersionCodec() {}

    /** Returns the content of a service's object. */
    public static JsonNode encode(VersionReport report) {
        ObjectNode content = Json.object();
        ArrayNode versions = content.putArray("versions");
        new TreeSet<>(report.inService())
                .forEach(version -> versions.addObject().put("version", version).put("in_service", true));
        new TreeMap<>(report.inServiceUntilUnixMillis())
                .forEach((version, untilUnixMillis) -> versions.addObject()
                        .put("version", version)
                        .put("in_service", false)
                        .put("until_unix_ms", untilUnixMillis));
        return content;
    }

    /** Returns a report; empty if the content is not valid. */
    public static Optional<VersionReport> decode(JsonNode content) {
        JsonFields fields = JsonFields.of(content);
        Set<String> inService = new TreeSet<>();
        Map<String, Long> untilUnixMillis = new TreeMap<>();
        for (JsonFields version : fields.objects("versions")) {
            String name = version.optionalText("version").orElse("");
            if (version.flag("in_service")) {
                inService.add(name);
            } else {
                untilUnixMillis.put(name, version.wholeNumber("until_unix_ms", 0, Long.MAX_VALUE));
            }
        }
        return fields.valid() ? Optional.of(new VersionReport(inService, untilUnixMillis)) : Optional.empty();
    }
}
