package org.radishspan.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.radishspan.deployment.VmSettings;
import org.radishspan.http.Json;
import org.radishspan.settings.SettingFault;

/** Reads the settings file that the platform provides to each process. */
public final class VmSettingsReader {
    /** The environment variable that contains the path of the settings file. */
    public static final String FILE_VARIABLE = "RADISHSPAN_NODE_FILE";

    /** The only form of the object API that this adapter supports. */
    private static final String OBJECTS_FORM = "objects";

    private static final int MAX_PORT = 65_535;
    private static final long MAX_SECONDS = 86_400;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MAX_MILLIS = MAX_SECONDS * MILLIS_PER_SECOND;
    private static final int MAX_COUNT = Integer.MAX_VALUE;

    private VmSettingsReader() {}

    /**
     * Returns the settings, or all faults of the text, each with its key and the allowed values. Only values that a router
     * needs in order to serve requests can cause a fault. Other invalid values are replaced, and the settings list them.
     */
    public static Either<List<SettingFault>, VmSettings> read(byte[] text) {
        Optional<ObjectNode> root = Json.parseObject(text);
        if (root.isEmpty()) {
            return Either.left(List.of(toFault("the file is not one JSON object")));
        }
        JsonFields fields = JsonFields.of(root.get());
        VmSettings settings = read(fields);
        if (!fields.valid()) {
            return Either.left(
                    fields.faults().stream().map(VmSettingsReader::toFault).toList());
        }
        return Either.right(settings);
    }

    private static SettingFault toFault(String message) {
        return new SettingFault("vm", "", 0, message);
    }

    private static VmSettings read(JsonFields fields) {
        JsonFields listen = fields.object("bind");
        return new VmSettings(
                fields.text("node_name"),
                fields.text("ip"),
                fields.text("zone"),
                new LinkedHashSet<>(fields.fieldNames("zones")),
                regions(fields.optionalObject("zones")),
                listen.address("front"),
                listen.address("ready"),
                peerPorts(fields),
                bounds(fields),
                store(fields.object("platform")),
                resources(fields.optionalObject("limits")),
                features(fields),
                fields.replacedValues());
    }

    private static Map<String, String> regions(JsonFields zones) {
        Map<String, String> result = new LinkedHashMap<>();
        for (String zone : zones.fieldNames()) {
            zones.optionalText(zone).ifPresent(region -> result.put(zone, region));
        }
        return result;
    }

    private static VmSettings.Features features(JsonFields fields) {
        // The names of the parts of the platform's rules that are in force.
        Set<String> policies = Set.copyOf(fields.optionalTexts("policies"));
        return new VmSettings.Features(policies.contains("places"), policies.contains("pressure"));
    }

    private static List<Integer> peerPorts(JsonFields fields) {
        List<Integer> ports = new ArrayList<>();
        JsonNode range = fields.array("port_range");
        if (range.size() == 2) {
            int first = Math.max(range.get(0).asInt(), 1);
            int last = Math.min(range.get(1).asInt(), MAX_PORT);
            for (int port = first; port <= last; port++) {
                ports.add(port);
            }
        }
        if (ports.isEmpty()) {
            fields.addFault("port_range", "must be a list of the first and the last port");
        }
        return ports;
    }

    private static VmSettings.Bounds bounds(JsonFields root) {
        JsonFields fields = root.optionalObject("bounds");
        return new VmSettings.Bounds(
                millis(fields, "grace_s", 0, 8),
                (long) fields.lenientNumber("drain_ms", 0, MAX_MILLIS, 2_000),
                (long) fields.lenientNumber("config_apply_ms", 0, MAX_MILLIS, 2_000),
                // The time for which a VM must have been undisturbed before rules with time limits apply to it.
                (long) fields.lenientNumber("contact_ms", 0, MAX_MILLIS, 3_000),
                fields.lenientNumber("retry_ratio", 0, 1, 0.2),
                millis(fields, "retry_window_s", 1, 10),
                fields.lenientNumber("retry_slack", 0, MAX_COUNT, 0),
                (long) fields.lenientNumber("evacuate_ms", 0, MAX_MILLIS, 5_000),
                (long) root.lenientNumber("heartbeat_ms", 1, MAX_MILLIS, 1_200));
    }

    private static long millis(JsonFields fields, String key, double minimumSeconds, double defaultSeconds) {
        return (long) (fields.lenientNumber(key, minimumSeconds, MAX_SECONDS, defaultSeconds) * MILLIS_PER_SECOND);
    }

    private static VmSettings.Store store(JsonFields fields) {
        String form = fields.optionalText("form").orElse(OBJECTS_FORM);
        if (!form.equals(OBJECTS_FORM)) {
            fields.addFault("form", "must be " + OBJECTS_FORM + ", not " + form);
        }
        return new VmSettings.Store(
                fields.address("address"),
                (int) fields.lenientNumber("writes_per_s", 1, MAX_COUNT, 100),
                (int) fields.lenientNumber("reads_per_s", 1, MAX_COUNT, 100),
                (int) fields.lenientNumber("value_bytes", 1, MAX_COUNT, 1_048_576));
    }

    private static VmSettings.Resources resources(JsonFields fields) {
        return new VmSettings.Resources((int) fields.lenientNumber("memory_mb", 1, MAX_COUNT, 256), (int)
                fields.lenientNumber("max_fds", 1, MAX_COUNT, 1_024));
    }
}
