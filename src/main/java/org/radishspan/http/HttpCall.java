package org.radishspan.http;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.jspecify.annotations.Nullable;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * One HTTP request received by a server and the response to it. Instances may be used only on the server's event loop.
 *
 * <pre>{@code
 * HttpServer.Handler handler = call -> call.respond(200, "text/plain", "hello".getBytes(UTF_8), Map.of());
 * }</pre>
 */
public final class HttpCall {
    /** The size of the parts of one turn of the event loop above which the call is not writable. */
    private static final int MAX_UNSENT_BYTES = 65_536;

    private final ChannelHandlerContext context;
    private final String method;
    private final String rawUri;
    private final QueryStringDecoder uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final Runnable onFinished;
    private @Nullable Runnable onClosed;
    private @Nullable Runnable onWritable;
    private final ByteArrayOutputStream unsent = new ByteArrayOutputStream();
    private boolean streaming;
    private boolean flushScheduled;
    private boolean waitingForFlush;
    private boolean closeAfterwards;
    private boolean done;

    HttpCall(
            ChannelHandlerContext context,
            String method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            Runnable onFinished) {
        this.context = context;
        this.method = method;
        this.rawUri = uri;
        this.uri = new QueryStringDecoder(uri);
        this.headers = headers;
        this.body = body;
        this.onFinished = onFinished;
    }

    /** Returns the method in upper case. */
    public String method() {
        return method.toUpperCase(Locale.ROOT);
    }

    /** Returns the method in the letter case in which the caller sent it. */
    public String rawMethod() {
        return method;
    }

    /** Returns the path and query exactly as the caller sent them, without decoding. */
    public String rawUri() {
        return rawUri;
    }

    /** Returns all request headers in the order in which they were received. */
    public List<Map.Entry<String, String>> headers() {
        return headers.entries();
    }

    /** Closes the connection after the response and announces this in its {@code Connection} header. */
    public void closeAfterResponse() {
        closeAfterwards = true;
    }

    /** Returns the decoded path without the query. */
    public String path() {
        return uri.path();
    }

    /** Returns the first value of a query parameter; empty if the parameter is absent. */
    public Optional<String> query(String name) {
        List<String> values = uri.parameters().get(name);
        return values == null || values.isEmpty() ? Optional.empty() : Optional.of(values.get(0));
    }

    /** Returns the first value of a request header; empty if the header is absent. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the bearer token of the authorization header; empty if there is none. */
    public Optional<String> bearerToken() {
        return header("authorization")
                .filter(value -> value.regionMatches(true, 0, "Bearer ", 0, 7))
                .map(value -> value.substring(7).trim());
    }

    /** Returns the complete request body. */
    public byte[] body() {
        return body;
    }

    /** Returns whether the response has ended or the connection has been closed. */
    public boolean done() {
        return done;
    }

    /** Returns whether the outbound buffer of the connection is below its high-water mark. */
    public boolean writable() {
        if (unsent.size() >= MAX_UNSENT_BYTES) {
            waitingForFlush = true;
            return false;
        }
        return context.channel().isWritable();
    }

    /** Sets an action to run when the caller closes the connection before the response has ended. */
    public void onClosed(Runnable action) {
        onClosed = action;
    }

    /** Sets an action to run whenever the connection becomes writable again before the response has ended. */
    public void onWritable(Runnable action) {
        onWritable = action;
    }

    /** Sends a complete response. Does nothing if the response has ended already. */
    public void respond(int status, String contentType, byte[] bytes, Map<String, String> extraHeaders) {
        if (done) {
            return;
        }
        respond(status, withContentType(contentType, extraHeaders), bytes);
    }

    /** Sends a complete response with the given headers. This method sets the length and connection headers. */
    public void respond(int status, List<Map.Entry<String, String>> responseHeaders, byte[] bytes) {
        if (done) {
            return;
        }
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
        responseHeaders.forEach(header -> response.headers().add(header.getKey(), header.getValue()));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        setConnectionHeader(response.headers());
        finish(context.writeAndFlush(response));
    }

    private static List<Map.Entry<String, String>> withContentType(
            String contentType, Map<String, String> extraHeaders) {
        List<Map.Entry<String, String>> combined = new ArrayList<>();
        combined.add(Map.entry("Content-Type", contentType));
        combined.addAll(extraHeaders.entrySet());
        return combined;
    }

    private void setConnectionHeader(HttpHeaders responseHeaders) {
        if (closeAfterwards) {
            responseHeaders.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Sends a complete response with a UTF-8 text body. */
    public void respond(int status, String contentType, String text) {
        respond(status, contentType, text.getBytes(UTF_8), Map.of());
    }

    /** Starts a chunked response with the given content type and additional headers. */
    public void startStream(int status, String contentType, Map<String, String> extraHeaders) {
        startStream(status, withContentType(contentType, extraHeaders));
    }

    /** Starts a chunked response with the given headers. Does nothing if a response has been started or has ended. */
    public void startStream(int status, List<Map.Entry<String, String>> responseHeaders) {
        if (done || streaming) {
            return;
        }
        streaming = true;
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        responseHeaders.forEach(header -> response.headers().add(header.getKey(), header.getValue()));
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnectionHeader(response.headers());
        context.write(response);
        scheduleFlush();
    }

    /**
     * Writes a part of a chunked response. Does nothing if the response has ended. The parts of one turn of the event loop
     * are sent as one chunk, as many small chunks occupy a multiple of their bytes.
     */
    public void write(byte[] bytes) {
        if (!done) {
            unsent.writeBytes(bytes);
            scheduleFlush();
        }
    }

    private void writeUnsent() {
        if (unsent.size() > 0) {
            context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(unsent.toByteArray())));
            unsent.reset();
        }
    }

    /** Schedules one flush for all writes in this iteration of the event loop. */
    private void scheduleFlush() {
        if (flushScheduled) {
            return;
        }
        flushScheduled = true;
        context.executor().execute(() -> {
            flushScheduled = false;
            writeUnsent();
            context.flush();
            if (waitingForFlush && context.channel().isWritable()) {
                onWritableAgain();
            }
        });
    }

    /** Ends a chunked response. Does nothing if the response has ended already. */
    public void end() {
        if (done) {
            return;
        }
        writeUnsent();
        finish(context.writeAndFlush(new DefaultLastHttpContent()));
    }

    /** Closes the connection without the final chunk, so that the caller detects a truncated response. */
    public void abort() {
        if (!done) {
            done = true;
            context.close();
        }
    }

    private void finish(ChannelFuture written) {
        done = true;
        if (closeAfterwards) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        onFinished.run();
    }

    void onConnectionClosed() {
        if (done) {
            return;
        }
        done = true;
        if (onClosed != null) {
            onClosed.run();
        }
    }

    void onWritableAgain() {
        waitingForFlush = false;
        if (!done && onWritable != null) {
            onWritable.run();
        }
    }
}
