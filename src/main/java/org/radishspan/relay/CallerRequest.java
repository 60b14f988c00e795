package org.radishspan.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.apache.commons.codec.digest.MurmurHash3;
import org.radishspan.request.Fingerprint;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * A request as it was received from a caller.
 *
 * @param requestId the id of this attempt of the caller; empty text if the caller sent none
 * @param method the HTTP method
 * @param uri path and query, unchanged
 * @param host the host without a port
 * @param headers the headers to relay to the target, in their order
 * @param body the complete body
 * @param callerKey the key by which the caller authenticates; empty if it sent none
 * @param deadlineMillis the time until the caller's deadline, in milliseconds; empty if it sent no deadline
 * @param prompt the prompt if the request is for a model
 * @param lastEventId the id of the last event that the caller has received of a stream that it resumes
 * @param resumedRequestId the id of the request that brought the first event of that stream; empty if the caller names none
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(
        String requestId,
        String method,
        String uri,
        String host,
        List<Map.Entry<String, String>> headers,
        byte[] body,
        Optional<String> callerKey,
        OptionalLong deadlineMillis,
        Optional<Prompt> prompt,
        OptionalLong lastEventId,
        Optional<String> resumedRequestId) {

    private static final String ACCEPTED_CODINGS_HEADER = "Accept-Encoding";
    private static final String NO_CODING = "identity";

    /** Returns whether the caller accepts codings of the body of an answer. */
    boolean acceptsContentCodings() {
        return headers.stream()
                .filter(header -> header.getKey().equalsIgnoreCase(ACCEPTED_CODINGS_HEADER))
                .map(header -> header.getValue().strip())
                .anyMatch(codings -> !codings.isEmpty() && !codings.equalsIgnoreCase(NO_CODING));
    }

    /** Returns the id of the request that brought, or is to bring, the first event of this request's stream. */
    String streamId() {
        return resumedRequestId.orElse(requestId);
    }

    /** Returns the path without the query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Returns the fingerprints by which crashes are recorded: of the whole request, and of the parts of its prompt that other
     * requests may share.
     *
     * @param service the service that serves the request
     */
    List<String> fingerprints(String service) {
        List<String> fingerprints = new ArrayList<>();
        fingerprints.add(fingerprint());
        fingerprints.addAll(partFingerprints(service));
        return fingerprints;
    }

    /** Returns the fingerprints of the parts of the prompt. The last part belongs to the request or its session alone. */
    List<String> partFingerprints(String service) {
        List<Prompt.Part> parts = prompt.map(Prompt::parts).orElse(List.of());
        List<String> fingerprints = new ArrayList<>();
        for (Prompt.Part part : parts.subList(0, Math.max(0, parts.size() - 1))) {
            fingerprints.add(Fingerprint.ofPart(service, part.id()));
        }
        return fingerprints;
    }

    /** Returns a hash that is equal for equal requests of the same caller: it covers the key, method, URI and body. */
    public String fingerprint() {
        byte[] prefix = (callerKey.orElse("") + " " + method + " " + uri + "\n").getBytes(UTF_8);
        byte[] input = Arrays.copyOf(prefix, prefix.length + body.length);
        System.arraycopy(body, 0, input, prefix.length, body.length);
        long[] hash = MurmurHash3.hash128x64(input);
        return Long.toHexString(hash[0]) + Long.toHexString(hash[1]);
    }
}
