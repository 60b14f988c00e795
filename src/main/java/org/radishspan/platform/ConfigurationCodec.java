package org.radishspan.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.radishspan.deployment.CallerLimits;
import org.radishspan.deployment.DeploymentConfiguration;
import org.radishspan.deployment.Route;
import org.radishspan.deployment.RouteKind;
import org.radishspan.deployment.ServiceSpec;
import org.radishspan.deployment.Workspace;

/** Decodes the deployment configuration that operators write into the platform's object API. */
public final class ConfigurationCodec {
    /** The kind of the object that holds the configuration. */
    public static final String KIND = "config";
    /** The name of the object that holds the active configuration. */
    public static final String NAME = "main";

    private static final long MAX_MILLIS = 86_400_000;
    private static final int MAX_COUNT = Integer.MAX_VALUE;

    /** Larger memories are treated as this one, so that sums of tokens cannot overflow. */
    private static final double MAX_MEMORY_TOKENS = 1e12;

    private ConfigurationCodec() {}

    /** Returns a configuration; empty if its version is invalid. Invalid routes, services and workspaces are omitted. */
    public static Optional<DeploymentConfiguration> decode(JsonNode content) {
        JsonFields fields = JsonFields.of(content);
        long version = fields.wholeNumber("version", 0, Long.MAX_VALUE);
        if (!fields.valid()) {
            return Optional.empty();
        }
        return Optional.of(new DeploymentConfiguration(
                version,
                decodeValid(content.path("routes"), ConfigurationCodec::route),
                decodeValid(content.path("services"), ConfigurationCodec::service),
                limits(JsonFields.of(content.path("limits"))),
                decodeValid(content.path("tenants"), ConfigurationCodec::workspace)));
    }

    /** Decodes one element of a list. Invalid elements are detected by the faults of the fields. */
    @FunctionalInterface
    private interface ElementDecoder<T> {
        T decode(JsonFields fields);
    }

    private static <T> List<T> decodeValid(JsonNode elements, ElementDecoder<T> decoder) {
        List<T> result = new ArrayList<>();
        for (JsonNode element : elements) {
            JsonFields fields = JsonFields.of(element);
            T decoded = decoder.decode(fields);
            if (fields.valid()) {
                result.add(decoded);
            }
        }
        return result;
    }

    private static Route route(JsonFields fields) {
        return new Route(
                fields.text("name"),
                fields.text("host"),
                fields.text("path_prefix"),
                kind(fields),
                fields.wholeNumber("timeout_ms", 1, MAX_MILLIS),
                fields.wholeNumber("target_latency_ms", 0, MAX_MILLIS, 0),
                (int) fields.wholeNumber("priority", 0, MAX_COUNT, 0),
                splits(fields),
                (int) fields.wholeNumber("max_attempts", 1, MAX_COUNT, 1),
                fields.flag("anonymous"),
                // Despite its name, this flag marks every route whose requests carry prompts.
                fields.flag("session_affinity"),
                fields.flag("stream_resume"),
                fields.wholeNumber("gap_aim_ms", 0, MAX_MILLIS, 0),
                allowedRegions(fields));
    }

    private static RouteKind kind(JsonFields fields) {
        String kind = fields.text("kind");
        return switch (kind) {
            case "safe" -> RouteKind.IDEMPOTENT;
            case "streaming" -> RouteKind.STREAM;
            case "unsafe" -> RouteKind.NON_IDEMPOTENT;
            default -> {
                fields.addFault("kind", "must be safe, unsafe or streaming, not " + kind);
                yield RouteKind.NON_IDEMPOTENT;
            }
        };
    }

    private static List<Route.Split> splits(JsonFields fields) {
        if (fields.optionalText("service").isPresent()) {
            return List.of(new Route.Split(fields.text("service"), 1));
        }
        List<Route.Split> splits = new ArrayList<>();
        for (JsonFields split : fields.objects("split")) {
            splits.add(new Route.Split(split.text("service"), split.number("weight", 0, MAX_COUNT, 0)));
        }
        if (splits.isEmpty()) {
            fields.addFault("service", "is missing, and split is missing or empty");
        }
        return splits;
    }

    private static ServiceSpec service(JsonFields fields) {
        int tokensPerEvent = 0;
        long memoryTokens = 0;
        if (fields.has("engine")) {
            // The maximum number of tokens that one event of a stream may contain.
            tokensPerEvent = (int) fields.object("engine").wholeNumber("stride", 1, MAX_COUNT, 1);
            memoryTokens = (long) fields.object("engine").lenientNumber("kv_capacity", 0, MAX_MEMORY_TOKENS, 0);
        }
        return new ServiceSpec(
                fields.text("name"),
                (int) fields.wholeNumber("max_conns", 1, MAX_COUNT, 100),
                tokensPerEvent,
                memoryTokens,
                fields.lenientNumber("cold_per_s", 0, MAX_COUNT, 0));
    }

    /** Returns the allowed regions. A value that is not a list allows none, so that no request leaves its region by mistake. */
    private static Set<String> allowedRegions(JsonFields fields) {
        boolean unreadable = fields.has("allowed_regions")
                && !fields.array("allowed_regions").isArray();
        return unreadable ? Set.of("") : Set.copyOf(fields.texts("allowed_regions"));
    }

    private static CallerLimits limits(JsonFields fields) {
        CallerLimits defaults = CallerLimits.DEFAULT;
        return new CallerLimits(
                (int) fields.wholeNumber("max_header_bytes", 1, MAX_COUNT, defaults.maxHeaderBytes()),
                (int) fields.wholeNumber("max_body_bytes", 0, MAX_COUNT, defaults.maxBodyBytes()),
                fields.wholeNumber("header_timeout_ms", 1, MAX_MILLIS, defaults.headerTimeoutMillis()),
                fields.wholeNumber("idle_timeout_ms", 1, MAX_MILLIS, defaults.idleTimeoutMillis()));
    }

    private static Workspace workspace(JsonFields fields) {
        OptionalInt priority = fields.has("priority")
                ? OptionalInt.of((int) fields.wholeNumber("priority", 0, MAX_COUNT))
                : OptionalInt.empty();
        return new Workspace(
                fields.text("name"),
                fields.texts("api_keys"),
                priority,
                // The total number of tokens for the whole day, not the remaining number.
                fields.optionalWholeNumber("prepaid"),
                allowedRegions(fields));
    }
}
