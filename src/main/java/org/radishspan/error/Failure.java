package org.radishspan.error;

import java.util.Locale;
import java.util.Objects;

/**
 * The reason why a call was refused or failed, and whether the request ran.
 *
 * <pre>{@code
 * Failure failure = Failure.notRun(ErrorKind.OVERLOADED, "the batch queue is full").retryAfter(2_000);
 * }</pre>
 *
 * @param kind the category of the failure
 * @param message a human-readable explanation
 * @param ran whether the request ran on a target
 * @param retryAfterMillis the delay after which to retry; 0 if there is no hint
 */
public record Failure(ErrorKind kind, String message, Ran ran, long retryAfterMillis) {

    /** Whether a request ran on a target. */
    public enum Ran {
        /** No target ran any part of the request. */
        NO,
        /** A target ran the request or a part of it. */
        YES,
        /** It cannot be determined whether a target ran the request. */
        UNKNOWN;

        /** Returns the name used in responses. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Throws an exception if a component is null or the retry delay is negative. */
    public Failure {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(ran, "ran");
        if (retryAfterMillis < 0) {
            throw new IllegalArgumentException("retryAfterMillis must not be negative: " + retryAfterMillis);
        }
    }

    /** Returns a failure of a request that no target ran, without a retry hint. */
    public static Failure notRun(ErrorKind kind, String message) {
        return new Failure(kind, message, Ran.NO, 0);
    }

    /** Returns a failure of a request that a target ran at least in part, without a retry hint. */
    public static Failure ran(ErrorKind kind, String message) {
        return new Failure(kind, message, Ran.YES, 0);
    }

    /** Returns a failure of a request that may or may not have run, without a retry hint. */
    public static Failure unknown(ErrorKind kind, String message) {
        return new Failure(kind, message, Ran.UNKNOWN, 0);
    }

    /** Returns this failure with the delay after which to retry, in milliseconds. */
    public Failure retryAfter(long millis) {
        return new Failure(kind, message, ran, millis);
    }
}
