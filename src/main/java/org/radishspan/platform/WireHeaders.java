package org.radishspan.platform;

import java.util.Locale;
import java.util.OptionalLong;
import java.util.Set;

/** The names of the platform's HTTP headers, and the rules by which headers are forwarded to targets and callers. */
final class WireHeaders {
    static final String REQUEST_ID = "X-Attempt-Id";
    static final String DEADLINE_MILLIS = "X-Deadline-Ms";
    static final String CALLER_KEY = "X-Credential";
    static final String WORKSPACE = "X-Tenant";
    static final String EXPECTED_TARGET = "X-Expect-Instance";
    static final String TOKEN_COUNTS = "X-Token-Count";
    static final String PROMPT_PARTS = "X-Prompt-Prefix";
    static final String URGENCY = "X-Request-Urgency";
    static final String LAST_EVENT_ID = "Last-Event-Id";
    static final String RESUMED_REQUEST_ID = "Resumes";
    static final String NOT_RUN = "X-Not-Executed";
    static final String SIGNATURE = "X-Server-Stamp";
    static final String LOAD = "X-Server-Load";
    static final String RETRY_AFTER = "Retry-After";
    static final String STOP_ANNOUNCEMENT = "Server-Leaving";
    static final String RATE_LIMIT = "Server-Limit";
    private static final String TARGET_ID = "X-Instance-Id";

    /** Names of headers that apply to a single connection and are never forwarded; lower case. */
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    /** Names of headers to targets that callers may not set, because only the system sets them; lower case. */
    private static final Set<String> RESERVED_HEADERS = Set.of(
            CALLER_KEY.toLowerCase(Locale.ROOT),
            WORKSPACE.toLowerCase(Locale.ROOT),
            DEADLINE_MILLIS.toLowerCase(Locale.ROOT),
            EXPECTED_TARGET.toLowerCase(Locale.ROOT),
            URGENCY.toLowerCase(Locale.ROOT),
            LAST_EVENT_ID.toLowerCase(Locale.ROOT),
            "x-expect-version",
            "x-hold",
            "x-pin-ms",
            "x-kv-backup",
            "kv-from",
            "kv-fetch");

    /** Names of response headers that are addressed to routers and are not forwarded to callers; lower case. */
    private static final Set<String> ROUTER_ONLY_HEADERS =
            Set.of(NOT_RUN.toLowerCase(Locale.ROOT), LOAD.toLowerCase(Locale.ROOT), TARGET_ID.toLowerCase(Locale.ROOT));

    private WireHeaders() {}

    /** Returns the non-negative whole number in a header value; empty if it is not one or has too many digits. */
    static OptionalLong wholeNumber(String text, int maxDigits) {
        String digits = text.strip();
        boolean valid = !digits.isEmpty()
                && digits.length() <= maxDigits
                && digits.chars().allMatch(character -> character >= '0' && character <= '9');
        return valid ? OptionalLong.of(Long.parseLong(digits)) : OptionalLong.empty();
    }

    static boolean isForwardedToTargets(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP_HEADERS.contains(lower) && !RESERVED_HEADERS.contains(lower);
    }

    static boolean isForwardedToCallers(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP_HEADERS.contains(lower) && !ROUTER_ONLY_HEADERS.contains(lower);
    }
}
