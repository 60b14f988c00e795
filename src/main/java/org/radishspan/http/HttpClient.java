package org.radishspan.http;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP client on one event loop, with a bounded pool of idle connections per address.
 *
 * <p>A connection carries one call at a time. The client never retries a failed call. Its caller decides whether
 * a retry is safe.
 */
public final class HttpClient implements HttpTransport {

    /**
     * Connecting within a region takes a few milliseconds. The time-out is below the one second after which TCP sends a
     * lost packet again.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    private static final int MAX_IDLE_PER_ADDRESS = 64;
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** Idle connections are dropped this long before the idle time-out that the server announced. */
    private static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final String KEEP_ALIVE_TIMEOUT_PARAMETER = "timeout=";
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int MAX_TIMEOUT_DIGITS = 6;
    private static final int MAX_INITIAL_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** What arrived before the write of a request failed is in the receive buffer and is read within a few milliseconds. */
    private static final long READ_AFTER_FAILED_WRITE_MILLIS = 500;

    /** Limit of skipped bytes of responses to other requests per call: the size of the users' longest body. */
    private static final int MAX_SKIPPED_BYTES = 4_194_304;

    /** Limit of skipped response heads per call. Servers send one or two informational responses before the final one. */
    private static final int MAX_SKIPPED_HEADS = 100;

    private final EventLoopGroup group;
    private final Map<String, Deque<IdleConnection>> idleConnections = new HashMap<>();

    private record IdleConnection(Channel channel, long expiresAtNanos) {}

    /** Creates a client on a group that must consist of one event loop. */
    public HttpClient(EventLoopGroup group) {
        this.group = group;
    }

    @Override
    public Call send(Request request, Listener listener) {
        Exchange exchange = new Exchange(request, listener);
        Channel pooled = acquireIdle(address(request));
        if (pooled != null) {
            exchange.reused = true;
            exchange.start(pooled);
            return exchange;
        }
        connect(request, exchange);
        return exchange;
    }

    @Override
    public void test(String host, int port, Consumer<ConnectionTest> reply) {
        ChannelFuture connecting = open(host, port);
        connecting.addListener(future -> {
            if (future.isSuccess()) {
                releaseIdle(address(host, port), connecting.channel(), MAX_IDLE_NANOS);
                reply.accept(ConnectionTest.ACCEPTED);
                return;
            }
            boolean refused =
                    future.cause() instanceof ConnectException && !(future.cause() instanceof ConnectTimeoutException);
            reply.accept(refused ? ConnectionTest.REFUSED : ConnectionTest.UNKNOWN);
        });
    }

    private ChannelFuture open(String host, int port) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                // The end of the server's side is reported as an event, see ResponseDecoder.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                // A response that arrived before the write of its request failed can still be read.
                .option(ChannelOption.AUTO_CLOSE, false)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpRequestEncoder()).addLast(new ResponseHandler());
                    }
                })
                .connect(host, port);
    }

    private void connect(Request request, Exchange exchange) {
        ChannelFuture connecting = open(request.host(), request.port());
        connecting.addListener(future -> {
            if (!future.isSuccess()) {
                exchange.fail("cannot connect to " + address(request));
                return;
            }
            if (exchange.finished || !exchange.listener.wanted()) {
                releaseIdle(address(request), connecting.channel(), MAX_IDLE_NANOS);
                return;
            }
            exchange.start(connecting.channel());
        });
    }

    private static String address(Request request) {
        return address(request.host(), request.port());
    }

    private static String address(String host, int port) {
        return host + ":" + port;
    }

    private @Nullable Channel acquireIdle(String address) {
        Deque<IdleConnection> pool = idleConnections.get(address);
        if (pool == null) {
            return null;
        }
        while (!pool.isEmpty()) {
            IdleConnection candidate = pool.removeLast();
            boolean unexpired = System.nanoTime() - candidate.expiresAtNanos() < 0;
            if (unexpired && candidate.channel().isActive()) {
                return candidate.channel();
            }
            candidate.channel().close();
        }
        return null;
    }

    private void releaseIdle(String address, Channel channel, long idleNanos) {
        Deque<IdleConnection> pool = idleConnections.computeIfAbsent(address, ignored -> new ArrayDeque<>());
        if (pool.size() >= MAX_IDLE_PER_ADDRESS || !channel.isActive() || idleNanos <= 0) {
            channel.close();
            return;
        }
        pool.addLast(new IdleConnection(channel, System.nanoTime() + idleNanos));
    }

    /** One call and the connection that carries it. */
    private final class Exchange implements Call {
        private final Request request;
        private final Listener listener;
        private @Nullable Channel channel;
        private @Nullable ScheduledFuture<?> deadline;
        private long progressAtNanos;
        private boolean sent;
        private boolean requestWritten;
        private boolean writeFailed;
        private boolean reused;
        private boolean keepAlive = true;
        private boolean skipping;
        private int skippedHeads;
        private long skippedBytes;
        private long idleNanos = MAX_IDLE_NANOS;
        private boolean finished;

        Exchange(Request request, Listener listener) {
            this.request = request;
            this.listener = listener;
        }

        void start(Channel connected) {
            channel = connected;
            ResponseDecoder decoder = new ResponseDecoder(
                    MAX_INITIAL_LINE_BYTES,
                    MAX_HEADER_BYTES,
                    MAX_CHUNK_BYTES,
                    request.method().equals(HttpMethod.HEAD.name()));
            connected.pipeline().addFirst(decoder).get(ResponseHandler.class).exchange = this;
            DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(request.method()),
                    request.path(),
                    Unpooled.wrappedBuffer(request.body()));
            request.headers().forEach(header -> message.headers().add(header.getKey(), header.getValue()));
            if (!message.headers().contains(HttpHeaderNames.HOST)) {
                message.headers().set(HttpHeaderNames.HOST, address(request));
            }
            if (request.body().length > 0 || !request.method().equals("GET")) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
            }
            sent = true;
            connected.writeAndFlush(message).addListener(written -> onWritten(connected, decoder, written));
            progressAtNanos = System.nanoTime();
            scheduleDeadline(connected, request.progressTimeoutMillis());
        }

        /**
         * Records that the request has been written. If the write failed, the server does not read on, but may have responded
         * before: what has arrived is read, and a response that is not complete then is a failure.
         */
        private void onWritten(Channel connected, ResponseDecoder decoder, Future<?> written) {
            if (written.isSuccess()) {
                requestWritten = true;
                return;
            }
            if (finished) {
                return;
            }
            writeFailed = true;
            decoder.onRequestAborted();
            connected.config().setAutoRead(true);
            connected
                    .eventLoop()
                    .schedule(
                            () -> fail("cannot write the request to " + address(request)),
                            READ_AFTER_FAILED_WRITE_MILLIS,
                            TimeUnit.MILLISECONDS);
        }

        private void scheduleDeadline(Channel connected, long delayMillis) {
            deadline = connected.eventLoop().schedule(this::checkProgress, delayMillis, TimeUnit.MILLISECONDS);
        }

        private void checkProgress() {
            Channel connected = channel;
            if (finished || connected == null) {
                return;
            }
            long stalledMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - progressAtNanos);
            if (stalledMillis < request.progressTimeoutMillis()) {
                scheduleDeadline(connected, request.progressTimeoutMillis() - stalledMillis);
                return;
            }
            fail("no data received from " + address(request) + " for " + stalledMillis + " ms");
        }

        void head(HttpResponse response) {
            progressAtNanos = System.nanoTime();
            NettyHeaders headers = new NettyHeaders(response.headers());
            boolean informational = response.status().code() < FIRST_FINAL_STATUS;
            boolean mismatched = !informational && !request.responseMatcher().matches(headers, reused);
            skipping = informational || mismatched;
            // After a response to another request, further responses on this connection cannot be trusted either.
            keepAlive &= !mismatched;
            if (skipping) {
                skippedHeads++;
                failIfSkippedTooMuch();
                return;
            }
            keepAlive &= HttpUtil.isKeepAlive(response);
            idleNanos = idleNanos(headers.get("keep-alive"));
            listener.onHead(response.status().code(), headers);
        }

        private static long idleNanos(@Nullable String keepAliveHeader) {
            int start = keepAliveHeader == null ? -1 : keepAliveHeader.indexOf(KEEP_ALIVE_TIMEOUT_PARAMETER);
            if (keepAliveHeader == null || start < 0) {
                return MAX_IDLE_NANOS;
            }
            int end = start + KEEP_ALIVE_TIMEOUT_PARAMETER.length();
            int firstDigit = end;
            while (end < keepAliveHeader.length() && Character.isDigit(keepAliveHeader.charAt(end))) {
                end++;
            }
            if (end == firstDigit || end - firstDigit > MAX_TIMEOUT_DIGITS) {
                return MAX_IDLE_NANOS;
            }
            long seconds = Long.parseLong(keepAliveHeader.substring(firstDigit, end));
            return Math.min(MAX_IDLE_NANOS, TimeUnit.SECONDS.toNanos(seconds) - IDLE_MARGIN_NANOS);
        }

        void body(ByteBuf content) {
            progressAtNanos = System.nanoTime();
            if (skipping) {
                skippedBytes += content.readableBytes();
                failIfSkippedTooMuch();
                return;
            }
            if (content.isReadable()) {
                byte[] bytes = new byte[content.readableBytes()];
                content.readBytes(bytes);
                listener.onBody(bytes);
            }
        }

        private void failIfSkippedTooMuch() {
            if (skippedBytes > MAX_SKIPPED_BYTES || skippedHeads > MAX_SKIPPED_HEADS) {
                fail("skipped too much data from " + address(request) + " without a response to the request");
            }
        }

        void end() {
            if (skipping) {
                skipping = false;
                return;
            }
            Channel connected = detach();
            if (connected != null && keepAlive && requestWritten) {
                // When the decoder is removed, it passes on any bytes received after the response. ResponseHandler then
                // closes the connection before it can enter the idle pool.
                connected.pipeline().remove(ResponseDecoder.class);
                connected.eventLoop().execute(() -> releaseIdle(address(request), connected, idleNanos));
            } else if (connected != null) {
                connected.close();
            }
            listener.onEnd();
        }

        void fail(String message) {
            if (finished) {
                return;
            }
            Channel connected = detach();
            if (connected != null) {
                connected.close();
            }
            listener.onFailure(message, sent);
        }

        private @Nullable Channel detach() {
            finished = true;
            if (deadline != null) {
                deadline.cancel(false);
            }
            Channel connected = channel;
            channel = null;
            if (connected != null) {
                connected.config().setAutoRead(true);
                connected.pipeline().get(ResponseHandler.class).exchange = null;
            }
            return connected;
        }

        @Override
        public boolean sent() {
            return sent;
        }

        @Override
        public void setPaused(boolean paused) {
            Channel connected = channel;
            if (connected != null && !writeFailed) {
                connected.config().setAutoRead(!paused);
            }
        }

        @Override
        public void cancel() {
            if (finished) {
                return;
            }
            Channel connected = detach();
            if (connected != null) {
                connected.close();
            }
        }
    }

    /** Passes what a connection receives to its current exchange, and closes the connection if there is none. */
    private static final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private @Nullable Exchange exchange;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf surplusBytes) {
                // Bytes that the codec did not consume do not belong to any response.
                surplusBytes.release();
                context.close();
                return;
            }
            super.channelRead(context, message);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            Exchange current = exchange;
            if (current == null) {
                context.close();
                return;
            }
            if (message.decoderResult().isFailure()) {
                current.fail("the response is not valid HTTP");
                return;
            }
            if (message instanceof HttpResponse response) {
                current.head(response);
            }
            if (message instanceof HttpContent content && !current.finished) {
                current.body(content.content());
            }
            if (message instanceof LastHttpContent && !current.finished) {
                current.end();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                failCurrent("the server closed the connection");
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            failCurrent("the connection was closed");
        }

        private void failCurrent(String message) {
            Exchange current = exchange;
            if (current != null) {
                current.fail(message);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean invalid = cause instanceof DecoderException;
            failCurrent((invalid ? "the response is not valid HTTP: " : "connection error: ") + cause.getMessage());
            context.close();
        }
    }

    /** Response headers backed by Netty's headers. */
    private record NettyHeaders(HttpHeaders headers) implements Headers {
        @Override
        public @Nullable String get(String name) {
            return headers.get(name);
        }

        @Override
        public List<Map.Entry<String, String>> all() {
            return headers.entries();
        }
    }
}
