package org.radishspan.request;

import org.jspecify.annotations.Nullable;

/**
 * A validated call.
 *
 * @param kind whether a model or a plain service is called
 * @param workspace the workspace of the caller
 * @param budget the budget that the call is billed to
 * @param urgent whether the call has priority over batch work
 * @param modelOrService the model or service that the target must serve
 * @param path the path of the request to the target
 * @param body the body of the request to the target
 * @param stream whether the caller requested a streamed response
 * @param idempotencyKey the idempotency key of the caller; null if there is none
 * @param repeatable whether the call may be executed again if the outcome of its first execution is lost
 * @param worstCaseTokens the maximum number of tokens that the call can be billed
 * @param fingerprint the hash of workspace, path and body
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallSpec(
        Kind kind,
        String workspace,
        String budget,
        boolean urgent,
        String modelOrService,
        String path,
        byte[] body,
        boolean stream,
        @Nullable String idempotencyKey,
        boolean repeatable,
        long worstCaseTokens,
        String fingerprint) {

    /** The kind of interface that is called. */
    public enum Kind {
        /** A chat completion by a model engine. */
        CHAT,
        /** A call to a plain service. */
        SERVICE
    }
}
