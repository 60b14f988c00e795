package org.radishspan.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.ErrorResponse;
import org.radishspan.http.HttpCall;
import org.radishspan.http.Json;
import org.radishspan.relay.CallerExchange;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Sends the response of a relayed request to its caller over HTTP. */
public final class HttpCallerExchange implements CallerExchange {
    private static final int UNAVAILABLE = 503;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final HttpCall call;

    /** Creates an exchange that responds to a call. */
    public HttpCallerExchange(HttpCall call) {
        this.call = call;
    }

    @Override
    public void respond(int status, List<Map.Entry<String, String>> headers, byte[] body) {
        call.respond(status, headers, body);
    }

    @Override
    public void fail(Failure failure) {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        headers.add(Map.entry("Content-Type", Json.CONTENT_TYPE));
        if (failure.retryAfterMillis() > 0) {
            // Callers of this platform accept fractions of a second.
            String seconds = String.format(Locale.ROOT, "%.3f", failure.retryAfterMillis() / MILLIS_PER_SECOND);
            headers.add(Map.entry(WireHeaders.RETRY_AFTER, seconds));
        }
        byte[] body = ErrorResponse.json(failure).toString().getBytes(UTF_8);
        call.respond(status(failure), headers, body);
    }

    private static int status(Failure failure) {
        // On this platform a status from 400 to 499 means that the request itself is invalid, independent of what the
        // router has observed. A quarantine follows from observed crashes, so it is reported as unavailability.
        return failure.kind() == ErrorKind.QUARANTINED
                ? UNAVAILABLE
                : failure.kind().httpStatus();
    }

    @Override
    public void start(int status, List<Map.Entry<String, String>> headers) {
        call.startStream(status, headers);
    }

    @Override
    public void write(byte[] bytes) {
        call.write(bytes);
    }

    @Override
    public void end() {
        call.end();
    }

    @Override
    public void abort() {
        call.abort();
    }

    @Override
    public boolean writable() {
        return call.writable();
    }

    @Override
    public void onClosed(Runnable action) {
        call.onClosed(action);
    }

    @Override
    public void onWritable(Runnable action) {
        call.onWritable(action);
    }
}
