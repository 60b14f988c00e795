package org.radishspan.deployment;

/**
 * What callers may send, and how long they may take.
 *
 * @param maxHeaderBytes the longest head of a request
 * @param maxBodyBytes the longest body
 * @param headerTimeoutMillis how long a caller may take to send a head
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Holds until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
