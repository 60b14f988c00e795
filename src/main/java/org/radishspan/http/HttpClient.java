package org.radishspan.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP client on one event loop, with a small pool of idle connections an address.
 *
 * <p>A connection carries one call at a time. A call that breaks is not repeated here: whether it may be is the
 * caller's decision.
 */
public final class HttpClient implements HttpTransport {

    /** A connection within a region takes a few milliseconds; a lost packet is sent again after one second. */
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    private static final int MAX_IDLE_PER_ADDRESS = 64;
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** How long before the server's own timeout an idle connection is given up. */
    private static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int MAX_TIMEOUT_DIGITS = 6;
    private static final int MAX_INITIAL_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** Bytes of answers to other requests that are passed over on a connection: one of the users' longest bodies. */
    private static final int MAX_SKIPPED_BYTES = 4_194_304;

    /** Heads passed over before an answer: informational ones come one or two at a time. */
    private static final int MAX_SKIPPED_HEADS = 100;

    private final EventLoopGroup group;
    private final Map<String, Deque<Idle>> idle = new HashMap<>();

    private record Idle(Channel channel, long untilNanos) {}

    /** Creates a client on a group of one event loop. */
    public HttpClient(EventLoopGroup group) {
        this.group = group;
    }

    @Override
    public Call send(Request request, Listener listener) {
        Exchange exchange = new Exchange(request, listener);
        Channel pooled = takeIdle(address(request));
        if (pooled != null) {
            exchange.reused = true;
            exchange.start(pooled);
            return exchange;
        }
        connect(request, exchange);
        return exchange;
    }

    private void connect(Request request, Exchange exchange) {
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new Receiver());
                    }
                })
                .connect(request.host(), request.port());
        connecting.addListener(future -> {
            if (!future.isSuccess()) {
                exchange.fail("cannot connect to " + address(request));
                return;
            }
            if (exchange.finished || !exchange.listener.wanted()) {
                giveIdle(address(request), connecting.channel(), MAX_IDLE_NANOS);
                return;
            }
            exchange.start(connecting.channel());
        });
    }

    private static String address(Request request) {
        return request.host() + ":" + request.port();
    }

    private @Nullable Channel takeIdle(String address) {
        Deque<Idle> pool = idle.get(address);
        if (pool == null) {
            return null;
        }
        while (!pool.isEmpty()) {
            Idle candidate = pool.removeLast();
            boolean fresh = System.nanoTime() - candidate.untilNanos() < 0;
            if (fresh && candidate.channel().isActive()) {
                return candidate.channel();
            }
            candidate.channel().close();
        }
        return null;
    }

    private void giveIdle(String address, Channel channel, long idleNanos) {
        Deque<Idle> pool = idle.computeIfAbsent(address, ignored -> new ArrayDeque<>());
        if (pool.size() >= MAX_IDLE_PER_ADDRESS || !channel.isActive() || idleNanos <= 0) {
            channel.close();
            return;
        }
        pool.addLast(new Idle(channel, System.nanoTime() + idleNanos));
    }

    /** One call on one connection. */
    private final class Exchange implements Call {
        private final Request request;
        private final Listener listener;
        private @Nullable Channel channel;
        private @Nullable ScheduledFuture<?> deadline;
        private long progressAtNanos;
        private boolean sent;
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
            connected
                    .pipeline()
                    .addFirst(new HttpClientCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                    .get(Receiver.class)
                    .exchange = this;
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
            connected.writeAndFlush(message);
            progressAtNanos = System.nanoTime();
            scheduleDeadline(connected, request.progressTimeoutMillis());
        }

        private void scheduleDeadline(Channel connected, long delayMillis) {
            deadline = connected.eventLoop().schedule(this::checkProgress, delayMillis, TimeUnit.MILLISECONDS);
        }

        private void checkProgress() {
            Channel connected = channel;
            if (finished || connected == null) {
                return;
            }
            long silentMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - progressAtNanos);
            if (silentMillis < request.progressTimeoutMillis()) {
                scheduleDeadline(connected, request.progressTimeoutMillis() - silentMillis);
                return;
            }
            fail("nothing came from " + address(request) + " for " + silentMillis + " ms");
        }

        void head(HttpResponse response) {
            progressAtNanos = System.nanoTime();
            NettyHeaders headers = new NettyHeaders(response.headers());
            boolean informational = response.status().code() < FIRST_FINAL_STATUS;
            boolean foreign = !informational && !request.answerCheck().belongs(headers, reused);
            skipping = informational || foreign;
            // Nothing tells what else a connection carries on which a foreign answer came.
            keepAlive &= !foreign;
            if (skipping) {
                skippedHeads++;
                endIfSkippedTooMuch();
                return;
            }
            keepAlive &= HttpUtil.isKeepAlive(response);
            idleNanos = idleNanos(headers.get("keep-alive"));
            listener.onHead(response.status().code(), headers);
        }

        private static long idleNanos(@Nullable String keepAliveHeader) {
            int start = keepAliveHeader == null ? -1 : keepAliveHeader.indexOf(KEEP_ALIVE_TIMEOUT);
            if (keepAliveHeader == null || start < 0) {
                return MAX_IDLE_NANOS;
            }
            int end = start + KEEP_ALIVE_TIMEOUT.length();
            int first = end;
            while (end < keepAliveHeader.length() && Character.isDigit(keepAliveHeader.charAt(end))) {
                end++;
            }
            if (end == first || end - first > MAX_TIMEOUT_DIGITS) {
                return MAX_IDLE_NANOS;
            }
            long seconds = Long.parseLong(keepAliveHeader.substring(first, end));
            return Math.min(MAX_IDLE_NANOS, TimeUnit.SECONDS.toNanos(seconds) - IDLE_MARGIN_NANOS);
        }

        void body(ByteBuf content) {
            progressAtNanos = System.nanoTime();
            if (skipping) {
                skippedBytes += content.readableBytes();
                endIfSkippedTooMuch();
                return;
            }
            if (content.isReadable()) {
                byte[] bytes = new byte[content.readableBytes()];
                content.readBytes(bytes);
                listener.onBody(bytes);
            }
        }

        private void endIfSkippedTooMuch() {
            if (skippedBytes > MAX_SKIPPED_BYTES || skippedHeads > MAX_SKIPPED_HEADS) {
                fail("what comes from " + address(request) + " is no answer to the request, and does not end");
            }
        }

        void end() {
            if (skipping) {
                skipping = false;
                return;
            }
            Channel connected = detach();
            if (connected != null && keepAlive) {
                // Bytes behind the answer leave the codec when it is removed, and close the connection before it is
                // idle.
                connected.pipeline().remove(HttpClientCodec.class);
                connected.eventLoop().execute(() -> giveIdle(address(request), connected, idleNanos));
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
                connected.pipeline().get(Receiver.class).exchange = null;
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
            if (connected != null) {
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

    private static final class Receiver extends SimpleChannelInboundHandler<HttpObject> {
        private @Nullable Exchange exchange;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf surplus) {
                // Bytes that the codec did not take belong to no answer.
                surplus.release();
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
                current.fail("the answer is not valid HTTP");
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
        public void channelInactive(ChannelHandlerContext context) {
            Exchange current = exchange;
            if (current != null) {
                current.fail("the connection was closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // Told before the connection counts as closed, as an answer without a length ends with a regular close.
            Exchange current = exchange;
            if (current != null) {
                current.fail("the connection broke: " + cause.getMessage());
            }
            context.close();
        }
    }

    /** The headers of an answer. */
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
