package org.radishspan.error;

import java.util.Locale;
import java.util.Objects;

/**
 * A call that was refused or failed.
 *
 * <pre>{@code
 * Failure failure = Failure.notRun(ErrorKind.OVERLOADED, "the batch queue is full").retryAfter(2_000);
 * }</pre>
 *
 * @param kind the reason, from the closed list
 * @param message one sentence for a person
 * @param ran whether the request ran on a target
 * @param retryAfterMillis when to come back; 0 if there is no hint
 */
public record Failure(ErrorKind kind, String message, Ran ran, long retryAfterMillis) {

    /** Whether a request ran on a target. */
    public enum Ran {
        /** No target executed any part of the request. */
        NO,
        /** A target executed the request, or a part of it. */
        YES,
        /** It cannot be told. */
        UNKNOWN;

        /** Returns the name that stands in answers. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Checks the fields. */
    public Failure {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(ran, "ran");
        if (retryAfterMillis < 0) {
            throw new IllegalArgumentException("retryAfterMillis must not be negative: " + retryAfterMillis);
        }
    }

    /** Returns a failure of a request that no target executed. */
    public static Failure notRun(ErrorKind kind, String message) {
        return new Failure(kind, message, Ran.NO, 0);
    }

    /** Returns a failure of a request that a target executed at least in part. */
    public static Failure ran(ErrorKind kind, String message) {
        return new Failure(kind, message, Ran.YES, 0);
    }

    /** Returns a failure of a request of which it cannot be told whether it ran. */
    public static Failure unknown(ErrorKind kind, String message) {
        return new Failure(kind, message, Ran.UNKNOWN, 0);
    }

    /** Returns this failure with a hint when to come back. */
    public Failure retryAfter(long millis) {
        return new Failure(kind, message, ran, millis);
    }
}
