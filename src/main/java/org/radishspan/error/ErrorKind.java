package org.radishspan.error;

import java.util.Locale;

/**
 * The complete list of reasons for which radishspan refuses or fails a call.
 *
 * <p>Each kind determines the HTTP status of the response, and whether the same call may succeed later.
 */
public enum ErrorKind {
    /** The body is not JSON. */
    BAD_JSON(400, false),
    /** The body is JSON, but a field is missing or out of range. */
    INVALID_REQUEST(400, false),
    /** A call that is not safe to repeat has no idempotency key. */
    MISSING_IDEMPOTENCY_KEY(400, false),
    /** The key of the caller or operator is missing or wrong. */
    UNAUTHORIZED(401, false),
    /** The budget has no unspent tokens left for this call. */
    BUDGET_EXHAUSTED(402, true),
    /** No such path, workspace, budget, preset or request. */
    NOT_FOUND(404, false),
    /** No such model. */
    UNKNOWN_MODEL(404, false),
    /** No such plain service. */
    UNKNOWN_SERVICE(404, false),
    /** The object was changed concurrently. */
    CONFLICT(409, true),
    /** The request may or may not have run, and its outcome cannot be determined. */
    OUTCOME_UNKNOWN(409, false),
    /** The same request is still running. */
    IN_PROGRESS(409, true),
    /** The request ran before, and its response was too long to be stored for a repeated call. */
    ANSWER_NOT_KEPT(410, false),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413, false),
    /** The head of the request is larger than the limit. */
    HEADERS_TOO_LARGE(431, false),
    /** The idempotency key was used before with a different body. */
    KEY_REUSED(422, false),
    /** The request crashed several targets and is refused for a while. */
    QUARANTINED(422, true),
    /** An internal invariant of the router is violated. */
    INTERNAL(500, false),
    /** The target failed while it processed the request. */
    TARGET_FAILED(502, true),
    /** No live target serves the model or service. */
    NO_TARGET(503, true),
    /** Too much work is queued. */
    OVERLOADED(503, true),
    /** This router is stopping. */
    DRAINING(503, true),
    /** The platform's object API does not respond. */
    PLATFORM_UNAVAILABLE(503, true),
    /** The router lost its share of the budget before the cost of the request was committed. */
    SHARE_LOST(503, true),
    /** The deadline passed before the response was complete. */
    DEADLINE_EXCEEDED(504, true);

    private final int httpStatus;
    private final boolean retryable;

    ErrorKind(int httpStatus, boolean retryable) {
        this.httpStatus = httpStatus;
        this.retryable = retryable;
    }

    /** Returns the status code of the HTTP response. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether the same call may succeed later. */
    public boolean retryable() {
        return retryable;
    }

    /** Returns the name used in responses and logs, for example {@code budget_exhausted}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
