package org.radishspan.request;

import org.jspecify.annotations.Nullable;

/**
 * A checked call.
 *
 * @param kind what is called
 * @param workspace who calls
 * @param budget what pays
 * @param urgent whether the call goes before batch work
 * @param serves the model or service that a target must serve
 * @param path the path at the target
 * @param body the body for the target
 * @param stream whether the caller wants the answer in parts
 * @param idempotencyKey the caller's key; null if there is none
 * @param repeatable whether the call may run again if its first run is lost
 * @param worstCaseTokens the most that the call can be billed
 * @param fingerprint a hash of workspace, path and body
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallSpec(
        Kind kind,
        String workspace,
        String budget,
        boolean urgent,
        String serves,
        String path,
        byte[] body,
        boolean stream,
        @Nullable String idempotencyKey,
        boolean repeatable,
        long worstCaseTokens,
        String fingerprint) {

    /** What is called. */
    public enum Kind {
        /** A chat completion of a model engine. */
        CHAT,
        /** A call of a plain service. */
        SERVICE
    }
}
