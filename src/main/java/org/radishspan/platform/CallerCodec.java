package org.radishspan.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.radishspan.http.HttpCall;
import org.radishspan.relay.CallerRequest;
import org.radishspan.relay.Prompt;

/** Converts the HTTP requests of callers to the core's {@link CallerRequest}. */
public final class CallerCodec {
    /** The path of the readiness check that the platform calls on each process. */
    public static final String READINESS_PATH = "/api/readyz";

    private static final int MAX_DIGITS = 15;

    private CallerCodec() {}

    /** Returns the request of a call. Numbers that cannot be parsed are treated as absent. */
    public static CallerRequest request(HttpCall call) {
        return new CallerRequest(
                call.header(WireHeaders.REQUEST_ID).orElse(""),
                call.rawMethod(),
                call.rawUri(),
                host(call.header("Host").orElse("")),
                endToEndHeaders(call),
                call.body(),
                call.header(WireHeaders.CALLER_KEY).map(String::strip),
                wholeNumber(call.header(WireHeaders.DEADLINE_MILLIS).orElse("")),
                prompt(call),
                wholeNumber(call.header(WireHeaders.LAST_EVENT_ID).orElse("")),
                call.header(WireHeaders.RESUMED_REQUEST_ID).map(String::strip));
    }

    private static String host(String value) {
        int colon = value.indexOf(':');
        return (colon < 0 ? value : value.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    private static List<Map.Entry<String, String>> endToEndHeaders(HttpCall call) {
        // The Connection header may list further headers that apply to the connection only.
        Set<String> hopByHopNames = call.header("Connection").stream()
                .flatMap(value -> Stream.of(value.split(",")))
                .map(name -> name.strip().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        List<Map.Entry<String, String>> result = new ArrayList<>();
        for (Map.Entry<String, String> header : call.headers()) {
            boolean endToEnd = !hopByHopNames.contains(header.getKey().toLowerCase(Locale.ROOT))
                    || header.getKey().equalsIgnoreCase(WireHeaders.REQUEST_ID);
            if (endToEnd && WireHeaders.isForwardedToTargets(header.getKey())) {
                result.add(header);
            }
        }
        return result;
    }

    private static Optional<Prompt> prompt(HttpCall call) {
        String[] counts = call.header(WireHeaders.TOKEN_COUNTS).orElse("").split(",", -1);
        if (counts.length != 2) {
            return Optional.empty();
        }
        OptionalLong input = wholeNumber(counts[0]);
        OptionalLong output = wholeNumber(counts[1]);
        if (input.isEmpty() || output.isEmpty()) {
            return Optional.empty();
        }
        List<Prompt.Part> parts = parts(call.header(WireHeaders.PROMPT_PARTS).orElse(""));
        return Optional.of(new Prompt(input.getAsLong(), output.getAsLong(), parts));
    }

    private static List<Prompt.Part> parts(String value) {
        List<Prompt.Part> parts = new ArrayList<>();
        for (String part : value.split(",", -1)) {
            int colon = part.lastIndexOf(':');
            OptionalLong tokens = colon < 0 ? OptionalLong.empty() : wholeNumber(part.substring(colon + 1));
            if (tokens.isEmpty()) {
                return List.of();
            }
            parts.add(new Prompt.Part(part.substring(0, colon).strip(), tokens.getAsLong()));
        }
        return parts;
    }

    private static OptionalLong wholeNumber(String text) {
        return WireHeaders.wholeNumber(text, MAX_DIGITS);
    }
}
