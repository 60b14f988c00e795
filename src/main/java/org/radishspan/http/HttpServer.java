package org.radishspan.http;

import java.io.ByteArrayOutputStream;
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
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;

/**
 * An HTTP server on one event loop.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.start(group, "127.0.0.1", 0, 1_048_576, call -> call.respond(200, "text/plain", "hi"));
 * int port = server.port();
 * }</pre>
 */
public final class HttpServer {

    /** Answers calls; runs on the event loop and must not block. */
    @FunctionalInterface
    public interface Handler {
        /** Takes a call that has arrived whole. */
        void handle(HttpCall call);
    }

    /**
     * What callers may send, and how long they may take.
     *
     * @param maxHeaderBytes the longest head of a request
     * @param maxBodyBytes the longest body
     * @param headerTimeoutMillis how long the head of a request may take
     * @param idleTimeoutMillis how long a connection may stay without a request
     */
    public record Limits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
        private static final int USUAL_HEADER_BYTES = 16_384;
        private static final long USUAL_HEADER_MILLIS = 30_000;
        private static final long USUAL_IDLE_MILLIS = 3_600_000;

        /** Returns the usual limits with a longest body. */
        public static Limits withMaxBodyBytes(int maxBodyBytes) {
            return new Limits(USUAL_HEADER_BYTES, maxBodyBytes, USUAL_HEADER_MILLIS, USUAL_IDLE_MILLIS);
        }
    }

    private static final int MAX_PIPELINED_CALLS = 16;
    private static final int MAX_INITIAL_LINE_BYTES = 4_096;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int BACKLOG = 1_024;
    private static final long SWEEP_MILLIS = 500;

    /** Netty's own figure for connections. */
    private static final int MAX_READS_A_TURN = 16;

    private final Channel channel;
    private final Set<Connection> connections = new HashSet<>();
    private boolean lastAnswers;

    private HttpServer(EventLoopGroup group, String host, int port, Supplier<Limits> limits, Handler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readingToTheEnd())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        Limits current = limits.get();
                        Connection connection = new Connection(current, handler);
                        child.pipeline()
                                .addLast(new FirstByte(connection))
                                .addLast(new HttpServerCodec(
                                        MAX_INITIAL_LINE_BYTES, current.maxHeaderBytes(), MAX_CHUNK_BYTES))
                                .addLast(connection);
                    }
                });
        channel = bootstrap.bind(host, port).syncUninterruptibly().channel();
        channel.eventLoop().scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Reads on until nothing is left, so that a close behind a request is seen in the same turn. */
    private static RecvByteBufAllocator readingToTheEnd() {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MAX_READS_A_TURN);
        allocator.respectMaybeMoreData(false);
        return allocator;
    }

    /** Binds a port, 0 for any free one; fails with an exception if it is taken. */
    public static HttpServer start(EventLoopGroup group, String host, int port, int maxBodyBytes, Handler handler) {
        Limits limits = Limits.withMaxBodyBytes(maxBodyBytes);
        return new HttpServer(group, host, port, () -> limits, handler);
    }

    /** Binds a port as the other method does, with limits that are asked for at each new connection. */
    public static HttpServer start(
            EventLoopGroup group, String host, int port, Supplier<Limits> limits, Handler handler) {
        return new HttpServer(group, host, port, limits, handler);
    }

    private void sweep() {
        long nowNanos = System.nanoTime();
        for (Connection connection : List.copyOf(connections)) {
            connection.closeIfLate(nowNanos);
        }
    }

    /** Closes each connection with its next answer, so that callers move to other servers. */
    public void closeAfterAnswers() {
        lastAnswers = true;
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

    /** Returns the port bound. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Takes no new connections. */
    public void stop() {
        channel.close().syncUninterruptibly();
    }

    /** Notes when the first byte of a request arrives. */
    private static final class FirstByte extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        FirstByte(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.onBytes();
            context.fireChannelRead(message);
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private static final int SLOW_SENDER_SECONDS = 30;
        private static final String SLOW_SENDER = "slow-sender";

        private final Limits limits;
        private final Handler handler;
        private final Deque<HttpCall> waiting = new ArrayDeque<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private @Nullable HttpRequest request;
        private @Nullable HttpCall current;
        private boolean tooLarge;
        private @Nullable ChannelHandlerContext connected;
        private long idleSinceNanos = System.nanoTime();
        private long headSinceNanos;
        private boolean headStarted;

        Connection(Limits limits, Handler handler) {
            this.limits = limits;
            this.handler = handler;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            connected = context;
            connections.add(this);
        }

        void onBytes() {
            if (request == null && !headStarted) {
                headStarted = true;
                headSinceNanos = System.nanoTime();
            }
        }

        private boolean idle() {
            return current == null && request == null && waiting.isEmpty();
        }

        void closeIfIdle() {
            if (idle() && !headStarted && connected != null) {
                connected.close();
            }
        }

        void closeIfLate(long nowNanos) {
            boolean lateHead = request == null
                    && headStarted
                    && nowNanos - headSinceNanos > TimeUnit.MILLISECONDS.toNanos(limits.headerTimeoutMillis());
            boolean unused = idle()
                    && !headStarted
                    && nowNanos - idleSinceNanos > TimeUnit.MILLISECONDS.toNanos(limits.idleTimeoutMillis());
            if ((lateHead || unused) && connected != null) {
                connected.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                boolean tooLong = message.decoderResult().cause() instanceof TooLongHttpHeaderException;
                refuse(
                        context,
                        tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.INVALID_REQUEST,
                        tooLong ? "the request's head is too long" : "the request is not valid HTTP");
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

        private void begin(ChannelHandlerContext context, HttpRequest head) {
            request = head;
            headStarted = false;
            if (HttpUtil.is100ContinueExpected(head)) {
                context.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            body.reset();
            tooLarge = false;
            if (context.pipeline().get(SLOW_SENDER) == null) {
                context.pipeline().addFirst(SLOW_SENDER, new ReadTimeoutHandler(SLOW_SENDER_SECONDS));
            }
        }

        private void collect(ByteBuf content) {
            if (tooLarge || body.size() + content.readableBytes() > limits.maxBodyBytes()) {
                tooLarge = true;
                return;
            }
            byte[] bytes = new byte[content.readableBytes()];
            content.readBytes(bytes);
            body.writeBytes(bytes);
        }

        private void complete(ChannelHandlerContext context) {
            HttpRequest head = request;
            request = null;
            if (context.pipeline().get(SLOW_SENDER) != null) {
                context.pipeline().remove(SLOW_SENDER);
            }
            if (head == null) {
                return;
            }
            if (tooLarge) {
                refuse(
                        context,
                        ErrorKind.BODY_TOO_LARGE,
                        "the body is longer than " + limits.maxBodyBytes() + " bytes");
                return;
            }
            if (waiting.size() >= MAX_PIPELINED_CALLS) {
                context.close();
                return;
            }
            HttpCall call = new HttpCall(
                    context, head.method().name(), head.uri(), head.headers(), body.toByteArray(), () -> next(context));
            if (!HttpUtil.isKeepAlive(head)) {
                call.closeAfterAnswer();
            }
            waiting.add(call);
            startNext();
        }

        private void next(ChannelHandlerContext context) {
            current = null;
            idleSinceNanos = System.nanoTime();
            context.executor().execute(this::startNext);
        }

        private void startNext() {
            if (current != null || waiting.isEmpty()) {
                return;
            }
            HttpCall call = waiting.remove();
            current = call;
            if (lastAnswers) {
                call.closeAfterAnswer();
            }
            handleUnlessClosed(call);
        }

        /** Handles a call once the connection has been read to its end: a caller who has left wants nothing any more. */
        private void handleUnlessClosed(HttpCall call) {
            ChannelHandlerContext context = connected;
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
            HttpCall call = new HttpCall(context, "GET", "/", new DefaultHttpHeaders(), new byte[0], () -> {});
            call.closeAfterAnswer();
            ErrorAnswer.send(call, Failure.notRun(kind, message));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            waiting.clear();
            HttpCall call = current;
            current = null;
            if (call != null) {
                call.closed();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            HttpCall call = current;
            if (call != null && context.channel().isWritable()) {
                call.writableAgain();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Returns the headers that tell a caller when to come back. */
    static Map<String, String> retryAfter(long millis) {
        if (millis <= 0) {
            return Map.of();
        }
        return Map.of("retry-after", Long.toString(Math.max(1, (millis + 999) / 1_000)));
    }
}
