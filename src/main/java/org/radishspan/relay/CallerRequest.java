package org.radishspan.relay;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.apache.commons.codec.digest.MurmurHash3;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * A request of a caller as it came in.
 *
 * @param requestId the id of this attempt of the caller
 * @param method the HTTP method
 * @param uri path and query, unchanged
 * @param host the host without a port
 * @param headers the headers to pass on, in their order
 * @param body the whole body
 * @param callerKey the key that the caller shows
 * @param deadlineMillis how long the caller waits
 * @param prompt what it asks of a model
 * @param lastEventId the last event that the caller has of a stream that it takes up again
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
        OptionalLong lastEventId) {

    /** Returns the path without the query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Returns a hash that is the same for the same request of the same caller. */
    public String fingerprint() {
        byte[] head = (callerKey.orElse("") + " " + method + " " + uri + "\n").getBytes(UTF_8);
        byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        long[] hash = MurmurHash3.hash128x64(all);
        return Long.toHexString(hash[0]) + Long.toHexString(hash[1]);
    }
}
