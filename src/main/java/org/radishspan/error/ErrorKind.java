package org.radishspan.error;

import java.util.Locale;

/**
 * The closed list of reasons for which radishspan refuses or fails a call.
 *
 * <p>Each kind fixes the HTTP status of the answer, and whether the same call may succeed later.
 */
public enum ErrorKind {
    /** The body is not JSON. */
    BAD_JSON(400, false),
    /** The body is JSON, but a field is missing or out of range. */
    INVALID_REQUEST(400, false),
    /** A call that may not be repeated came without an idempotency key. */
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
    /** Somebody else changed the object first. */
    CONFLICT(409, true),
    /** The request may or may not have run, and its outcome cannot be found out. */
    OUTCOME_UNKNOWN(409, false),
    /** The same request is still running. */
    IN_PROGRESS(409, true),
    /** The request ran before, and its answer was too long to be kept for a repeated call. */
    ANSWER_NOT_KEPT(410, false),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413, false),
    /** The head of the request is longer than the limit. */
    HEADERS_TOO_LARGE(431, false),
    /** The idempotency key was used before with another body. */
    KEY_REUSED(422, false),
    /** The request crashed several targets and is refused for a while. */
    QUARANTINED(422, true),
    /** An invariant of the router itself does not hold. */
    INTERNAL(500, false),
    /** The target failed while it worked on the request. */
    TARGET_FAILED(502, true),
    /** No live target serves the model or service. */
    NO_TARGET(503, true),
    /** Too much work is queued. */
    OVERLOADED(503, true),
    /** This router is stopping. */
    DRAINING(503, true),
    /** The platform's object API does not answer. */
    PLATFORM_UNAVAILABLE(503, true),
    /** The router lost its share of the budget before the bill was committed. */
    SHARE_LOST(503, true),
    /** The answer took longer than the deadline. */
    DEADLINE_EXCEEDED(504, true);

    private final int httpStatus;
    private final boolean retryable;

    ErrorKind(int httpStatus, boolean retryable) {
        this.httpStatus = httpStatus;
        this.retryable = retryable;
    }

    /** Returns the status code of the HTTP answer. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether the same call may succeed later. */
    public boolean retryable() {
        return retryable;
    }

    /** Returns the name that stands in answers and logs, for example {@code budget_exhausted}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
