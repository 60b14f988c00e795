package org.radishspan.router;

import java.util.Map;

import org.radishspan.error.Failure;
import org.radishspan.http.ErrorResponse;
import org.radishspan.http.HttpCall;
import org.radishspan.request.CallerResponse;

/** Sends the response to a caller over HTTP. */
final class HttpCallerResponse implements CallerResponse {
    private static final int OK = 200;

    private final HttpCall call;

    HttpCallerResponse(HttpCall call) {
        this.call = call;
    }

    @Override
    public void respond(int status, String contentType, byte[] body, Map<String, String> headers) {
        call.respond(status, contentType, body, headers);
    }

    @Override
    public void startStream(String contentType, Map<String, String> headers) {
        call.startStream(OK, contentType, headers);
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
    public void fail(Failure failure) {
        ErrorResponse.send(call, failure);
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
