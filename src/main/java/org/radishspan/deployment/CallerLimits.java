package org.radishspan.deployment;

/**
 * The limits for the size and duration of what callers send.
 *
 * @param maxHeaderBytes the maximum size of a request's head in bytes
 * @param maxBodyBytes the maximum size of a request's body in bytes
 * @param headerTimeoutMillis the maximum time in which a caller must send the head
 * @param idleTimeoutMillis the time after which a connection without a request is closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits that apply until a configuration has been read. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
