package org.radishspan.virtual;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.radishspan.error.Failure;
import org.radishspan.request.CallReader;
import org.radishspan.request.CallerResponse;

import static java.nio.charset.StandardCharsets.UTF_8;

/** A caller that records the response to one call, and fails the test if the call is answered twice. */
public final class TestCaller implements CallerResponse {
    final ByteArrayOutputStream body = new ByteArrayOutputStream();
    int status;
    boolean ended;
    boolean aborted;
    String requestId = "";
    boolean replayed;

    @Nullable
    Failure failure;

    private @Nullable Runnable onClosed;

    /** Sends a chat call to the router of a node. */
    public static TestCaller chat(
            VirtualNode node, String key, int maxTokens, boolean stream, @Nullable String idempotencyKey) {
        String json = "{\"model\":\"" + VirtualFleet.MODEL + "\",\"max_tokens\":" + maxTokens + ",\"stream\":" + stream
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
        return send(node, key, CallReader.CHAT_PATH, json, idempotencyKey);
    }

    /** Sends a chat call that crashes the engine that receives it. */
    public static TestCaller crashing(VirtualNode node, String key) {
        String json = "{\"model\":\"" + VirtualFleet.MODEL + "\",\"messages\":[{\"role\":\"user\",\"content\":\""
                + VirtualTargets.CRASH_MARKER + "\"}]}";
        return send(node, key, CallReader.CHAT_PATH, json, null);
    }

    /** Sends a call of {@link VirtualFleet#SERVICE} to the router of a node. */
    public static TestCaller serviceCall(VirtualNode node, String key, String idempotencyKey) {
        return send(node, key, CallReader.SERVICES_PATH + VirtualFleet.SERVICE + "/file", "{}", idempotencyKey);
    }

    private static TestCaller send(
            VirtualNode node, String key, String path, String json, @Nullable String idempotencyKey) {
        TestCaller caller = new TestCaller();
        node.router()
                .accept(
                        Optional.of(key),
                        new CallReader.IncomingCall(path, json.getBytes(UTF_8), idempotencyKey, null),
                        caller);
        return caller;
    }

    boolean answered() {
        return ended && failure == null && status >= 200 && status < 300;
    }

    boolean finished() {
        return ended || aborted;
    }

    String text() {
        return body.toString(UTF_8);
    }

    void closeConnection() {
        if (onClosed != null) {
            onClosed.run();
        }
    }

    @Override
    public void respond(int code, String contentType, byte[] bytes, Map<String, String> headers) {
        checkOpen();
        status = code;
        requestId = headers.getOrDefault("x-request-id", "");
        replayed = headers.containsKey("x-replayed");
        body.writeBytes(bytes);
        ended = true;
    }

    private void checkOpen() {
        if (finished()) {
            throw new AssertionError("a call got a second response, or data after its end");
        }
    }

    @Override
    public void startStream(String contentType, Map<String, String> headers) {
        status = 200;
        requestId = headers.getOrDefault("x-request-id", "");
        replayed = headers.containsKey("x-replayed");
    }

    @Override
    public void write(byte[] bytes) {
        checkOpen();
        body.writeBytes(bytes);
    }

    @Override
    public void end() {
        checkOpen();
        ended = true;
    }

    @Override
    public void abort() {
        aborted = true;
    }

    @Override
    public void fail(Failure reason) {
        checkOpen();
        failure = reason;
        status = reason.kind().httpStatus();
        ended = true;
    }

    @Override
    public boolean writable() {
        return true;
    }

    @Override
    public void onClosed(Runnable action) {
        onClosed = action;
    }

    @Override
    public void onWritable(Runnable action) {}
}
