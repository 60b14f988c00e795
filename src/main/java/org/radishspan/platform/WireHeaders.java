package org.radishspan.platform;

import java.util.Locale;
import java.util.OptionalLong;
import java.util.Set;

/** The headers on the platform's wire: their names, whom they are for, and whole numbers in them. */
final class WireHeaders {
    static final String REQUEST_ID = "X-Attempt-Id";
    static final String DEADLINE_MILLIS = "X-Deadline-Ms";
    static final String CALLER_KEY = "X-Credential";
    static final String WORKSPACE = "X-Tenant";
    static final String EXPECTED_TARGET = "X-Expect-Instance";
    static final String TOKENS = "X-Token-Count";
    static final String PROMPT_PARTS = "X-Prompt-Prefix";
    static final String URGENCY = "X-Request-Urgency";
    static final String LAST_EVENT_ID = "Last-Event-Id";
    static final String NOT_RUN = "X-Not-Executed";
    static final String SIGNATURE = "X-Server-Stamp";
    static final String LOAD = "X-Server-Load";
    static final String RETRY_AFTER = "Retry-After";
    static final String LEAVING = "Server-Leaving";
    static final String RATE_LIMIT = "Server-Limit";
    private static final String TARGET_ID = "X-Instance-Id";

    /** WireHeaders that concern one connection only; lower case. */
    private static final Set<String> CONNECTION_HEADERS = Set.of(
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

    /** WireHeaders that only the system may set towards targets; lower case. */
    private static final Set<String> SYSTEM_HEADERS = Set.of(
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

    /** WireHeaders of answers that are meant for routers; lower case. */
    private static final Set<String> ROUTER_HEADERS =
            Set.of(NOT_RUN.toLowerCase(Locale.ROOT), LOAD.toLowerCase(Locale.ROOT), TARGET_ID.toLowerCase(Locale.ROOT));

    private WireHeaders() {}

    /** Returns the whole number of a header's value; empty if it is none, or has more digits than allowed. */
    static OptionalLong wholeNumber(String text, int maxDigits) {
        String digits = text.strip();
        boolean number = !digits.isEmpty()
                && digits.length() <= maxDigits
                && digits.chars().allMatch(character -> character >= '0' && character <= '9');
        return number ? OptionalLong.of(Long.parseLong(digits)) : OptionalLong.empty();
    }

    static boolean forTargets(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !CONNECTION_HEADERS.contains(lower) && !SYSTEM_HEADERS.contains(lower);
    }

    static boolean forCallers(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !CONNECTION_HEADERS.contains(lower) && !ROUTER_HEADERS.contains(lower);
    }
}
