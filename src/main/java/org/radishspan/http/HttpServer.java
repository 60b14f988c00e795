package org.radishspan.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;

/**
 * An HTTP server on one event loop that handles the requests of each connection one after the other.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.start(group, "127.0.0.1", 0, 1_048_576, call -> call.respond(200, "text/plain", "hi"));
 * int port = server.port();
 * }</pre>
 */
public final class HttpServer {

    /** Handles calls. Runs on the event loop and must not block. */
    @FunctionalInterface
    public interface Handler {
        /** Handles a call whose request has been received completely. */
        void handle(HttpCall call);
    }

    /**
     * Limits on the size of requests and on the time that callers may take.
     *
     * @param maxHeaderBytes the maximum size of a request head: the request line and all header lines with their ends
     * @param maxBodyBytes the maximum size of a request body
     * @param headerTimeoutMillis the maximum time from the first byte of a request head to its end
     * @param idleTimeoutMillis the maximum time that a connection may be open without a request
     */
    public record Limits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
        private static final int DEFAULT_HEADER_BYTES = 16_384;
        private static final long DEFAULT_HEADER_MILLIS = 30_000;
        private static final long DEFAULT_IDLE_MILLIS = 3_600_000;

        /** Returns the default limits with the given maximum size of a body. */
        public static Limits withMaxBodyBytes(int maxBodyBytes) {
            return new Limits(DEFAULT_HEADER_BYTES, maxBodyBytes, DEFAULT_HEADER_MILLIS, DEFAULT_IDLE_MILLIS);
        }
    }

    /** A sixth of the heap of 96 MB that routers run with. */
    private static final long MAX_BODY_BYTES_TOGETHER = 16_777_216;

    /** The retry delay of requests whose bodies find no memory, which is released within the time of an answer. */
    private static final long BODY_MEMORY_RETRY_MILLIS = 1_000;

    private static final int MAX_PIPELINED_CALLS = 16;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int BACKLOG = 1_024;
    private static final long TIMEOUT_CHECK_MILLIS = 500;

    /** The maximum number of reads from a connection in one event loop turn: the value that Netty uses by default. */
    private static final int MAX_READS_PER_TURN = 16;

    private final Channel channel;
    private final Set<Connection> connections = new HashSet<>();
    private final BufferLimit bodyLimit = new BufferLimit(MAX_BODY_BYTES_TOGETHER);
    private boolean closeAfterResponses;

    private HttpServer(EventLoopGroup group, String host, int port, Supplier<Limits> limits, Handler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, exhaustiveReadAllocator())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        Limits current = limits.get();
                        Connection connection = new Connection(current, handler);
                        child.pipeline()
                                .addLast(new ReceiveNotifier(connection))
                                .addLast(new ServerCodec(current.maxHeaderBytes(), MAX_CHUNK_BYTES))
                                .addLast(connection);
                    }
                });
        channel = bootstrap.bind(host, port).syncUninterruptibly().channel();
        channel.eventLoop()
                .scheduleAtFixedRate(
                        this::closeTimedOut, TIMEOUT_CHECK_MILLIS, TIMEOUT_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns an allocator that reads until no data is left, so that a close after a request is detected in the same turn. */
    private static RecvByteBufAllocator exhaustiveReadAllocator() {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MAX_READS_PER_TURN);
        allocator.respectMaybeMoreData(false);
        return allocator;
    }

    /** Starts a server on a port, 0 for any free one, with default limits. Throws an exception if the port is in use. */
    public static HttpServer start(EventLoopGroup group, String host, int port, int maxBodyBytes, Handler handler) {
        Limits limits = Limits.withMaxBodyBytes(maxBodyBytes);
        return new HttpServer(group, host, port, () -> limits, handler);
    }

    /** Starts a server on a port as the other method does, and obtains the limits anew for each connection. */
    public static HttpServer start(
            EventLoopGroup group, String host, int port, Supplier<Limits> limits, Handler handler) {
        return new HttpServer(group, host, port, limits, handler);
    }

    private void closeTimedOut() {
        long nowNanos = System.nanoTime();
        for (Connection connection : List.copyOf(connections)) {
            connection.closeIfTimedOut(nowNanos);
        }
    }

    /** Closes each connection after its next response, so that callers reconnect to other servers. */
    public void closeAfterAnswers() {
        closeAfterResponses = true;
    }

    /** Closes the connections on which no request is in progress. */
    public void closeIdle() {
        for (Connection connection : List.copyOf(connections)) {
            connection.closeIfIdle();
        }
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.size();
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops accepting connections. Open connections are not closed. */
    public void stop() {
        channel.close().syncUninterruptibly();
    }

    /** Informs the connection of received bytes before they are decoded, which starts the time-out of a request head. */
    private static final class ReceiveNotifier extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        ReceiveNotifier(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.onBytes();
            context.fireChannelRead(message);
        }
    }

    /** Assembles requests from one connection and passes them to the handler one at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private static final int READ_TIMEOUT_SECONDS = 30;
        private static final String READ_TIMEOUT_HANDLER = "slow-sender";

        private final Limits limits;
        private final Handler handler;
        private final Deque<HttpCall> pipelinedCalls = new ArrayDeque<>();
        private final Set<RequestBody> heldBodies = new HashSet<>();
        private @Nullable RequestBody body;
        private @Nullable HttpRequest request;
        private @Nullable HttpCall current;
        private boolean bodyTooLarge;
        private boolean outOfBodyMemory;
        private @Nullable ChannelHandlerContext connectionContext;
        private long idleSinceNanos = System.nanoTime();
        private long headStartedAtNanos;
        private boolean headStarted;

        Connection(Limits limits, Handler handler) {
            this.limits = limits;
            this.handler = handler;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            connectionContext = context;
            connections.add(this);
        }

        void onBytes() {
            if (request == null && !headStarted) {
                headStarted = true;
                headStartedAtNanos = System.nanoTime();
            }
        }

        private boolean idle() {
            return current == null && request == null && pipelinedCalls.isEmpty();
        }

        void closeIfIdle() {
            if (idle() && !headStarted && connectionContext != null) {
                connectionContext.close();
            }
        }

        void closeIfTimedOut(long nowNanos) {
            boolean headTimedOut = request == null
                    && headStarted
                    && nowNanos - headStartedAtNanos > TimeUnit.MILLISECONDS.toNanos(limits.headerTimeoutMillis());
            boolean idleTimedOut = idle()
                    && !headStarted
                    && nowNanos - idleSinceNanos > TimeUnit.MILLISECONDS.toNanos(limits.idleTimeoutMillis());
            if ((headTimedOut || idleTimedOut) && connectionContext != null) {
                connectionContext.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                boolean headTooLong = isHeadTooLong(message);
                refuse(
                        context,
                        headTooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.INVALID_REQUEST,
                        headTooLong
                                ? "the request head is longer than " + limits.maxHeaderBytes() + " bytes"
                                : "the request is not valid HTTP");
                return;
            }
            if (message instanceof HttpRequest head) {
                begin(context, head);
            }
            if (message instanceof HttpContent content) {
                collect(content.content());
            }
            if (message instanceof LastHttpContent) {
                complete(context);
            }
        }

        private static boolean isHeadTooLong(HttpObject message) {
            Throwable cause = message.decoderResult().cause();
            // Outside a head, a line that is too long begins a chunk.
            boolean requestLineTooLong = message instanceof HttpRequest && cause instanceof TooLongHttpLineException;
            return requestLineTooLong || cause instanceof TooLongHttpHeaderException;
        }

        private void begin(ChannelHandlerContext context, HttpRequest head) {
            request = head;
            headStarted = false;
            if (HttpUtil.is100ContinueExpected(head)) {
                context.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            RequestBody received = new RequestBody(bodyLimit);
            body = received;
            heldBodies.add(received);
            long lengthBytes = HttpUtil.getContentLength(head, 0L);
            bodyTooLarge = lengthBytes > limits.maxBodyBytes();
            outOfBodyMemory = !bodyTooLarge && !received.tryReserve((int) lengthBytes);
            if (context.pipeline().get(READ_TIMEOUT_HANDLER) == null) {
                context.pipeline().addFirst(READ_TIMEOUT_HANDLER, new ReadTimeoutHandler(READ_TIMEOUT_SECONDS));
            }
        }

        private void collect(ByteBuf content) {
            RequestBody received = body;
            if (received == null || outOfBodyMemory) {
                return;
            }
            if (bodyTooLarge || received.size() + content.readableBytes() > limits.maxBodyBytes()) {
                bodyTooLarge = true;
                received.release();
                return;
            }
            outOfBodyMemory = !received.tryAppend(content);
            if (outOfBodyMemory) {
                received.release();
            }
        }

        private void complete(ChannelHandlerContext context) {
            HttpRequest head = request;
            RequestBody received = body;
            request = null;
            body = null;
            if (context.pipeline().get(READ_TIMEOUT_HANDLER) != null) {
                context.pipeline().remove(READ_TIMEOUT_HANDLER);
            }
            if (head == null || received == null) {
                return;
            }
            if (bodyTooLarge) {
                refuse(
                        context,
                        ErrorKind.BODY_TOO_LARGE,
                        "the body is longer than " + limits.maxBodyBytes() + " bytes");
                return;
            }
            if (outOfBodyMemory) {
                refuse(
                        context,
                        Failure.notRun(
                                        ErrorKind.OVERLOADED,
                                        "the bodies of the requests in progress use all memory allowed for them")
                                .retryAfter(BODY_MEMORY_RETRY_MILLIS));
                return;
            }
            if (pipelinedCalls.size() >= MAX_PIPELINED_CALLS) {
                context.close();
                return;
            }
            HttpCall call = new HttpCall(
                    context,
                    head.method().name(),
                    head.uri(),
                    head.headers(),
                    received.toBytes(),
                    () -> callFinished(context, received));
            if (!HttpUtil.isKeepAlive(head)) {
                call.closeAfterResponse();
            }
            pipelinedCalls.add(call);
            startNext();
        }

        private void callFinished(ChannelHandlerContext context, RequestBody finishedBody) {
            finishedBody.release();
            heldBodies.remove(finishedBody);
            current = null;
            idleSinceNanos = System.nanoTime();
            context.executor().execute(this::startNext);
        }

        private void startNext() {
            if (current != null || pipelinedCalls.isEmpty()) {
                return;
            }
            HttpCall call = pipelinedCalls.remove();
            current = call;
            if (closeAfterResponses) {
                call.closeAfterResponse();
            }
            handleIfStillOpen(call);
        }

        /**
         * Handles a call after the pending input of the connection has been read. If the caller has closed the connection
         * by then, the call is dropped, because nobody would receive the response.
         */
        private void handleIfStillOpen(HttpCall call) {
            ChannelHandlerContext context = connectionContext;
            if (context == null) {
                return;
            }
            context.executor().execute(() -> {
                if (current == call && context.channel().isActive()) {
                    handler.handle(call);
                }
            });
        }

        private void refuse(ChannelHandlerContext context, ErrorKind kind, String message) {
            refuse(context, Failure.notRun(kind, message));
        }

        private void refuse(ChannelHandlerContext context, Failure failure) {
            HttpCall call = new HttpCall(context, "GET", "/", new DefaultHttpHeaders(), new byte[0], () -> {});
            call.closeAfterResponse();
            ErrorResponse.send(call, failure);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            pipelinedCalls.clear();
            HttpCall call = current;
            current = null;
            if (call != null) {
                call.onConnectionClosed();
            }
            heldBodies.forEach(RequestBody::release);
            heldBodies.clear();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            HttpCall call = current;
            if (call != null && context.channel().isWritable()) {
                call.onWritableAgain();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Returns a {@code retry-after} header in seconds, rounded up; no header if there is no delay. */
    static Map<String, String> retryAfter(long millis) {
        if (millis <= 0) {
            return Map.of();
        }
        return Map.of("retry-after", Long.toString(Math.max(1, (millis + 999) / 1_000)));
    }
}
