package org.radishspan.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
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

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_IDLE_PER_ADDRESS = 64;
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int MAX_INITIAL_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final EventLoopGroup group;
    private final Map<String, Deque<Idle>> idle = new HashMap<>();

    private record Idle(Channel channel, long sinceNanos) {}

    /** Creates a client on a group of one event loop. */
    public HttpClient(EventLoopGroup group) {
        this.group = group;
    }

    @Override
    public Call send(Request request, Listener listener) {
        Exchange exchange = new Exchange(request, listener);
        Channel pooled = takeIdle(address(request));
        if (pooled != null) {
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
                        channel.pipeline()
                                .addLast(new HttpClientCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                                .addLast(new Receiver());
                    }
                })
                .connect(request.host(), request.port());
        connecting.addListener(future -> {
            if (!future.isSuccess()) {
                exchange.fail("cannot connect to " + address(request));
                return;
            }
            if (exchange.finished) {
                giveIdle(address(request), connecting.channel());
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
            boolean fresh = System.nanoTime() - candidate.sinceNanos() < MAX_IDLE_NANOS;
            if (fresh && candidate.channel().isActive()) {
                return candidate.channel();
            }
            candidate.channel().close();
        }
        return null;
    }

    private void giveIdle(String address, Channel channel) {
        Deque<Idle> pool = idle.computeIfAbsent(address, ignored -> new ArrayDeque<>());
        if (pool.size() >= MAX_IDLE_PER_ADDRESS || !channel.isActive()) {
            channel.close();
            return;
        }
        pool.addLast(new Idle(channel, System.nanoTime()));
    }

    /** One call on one connection. */
    private final class Exchange implements Call {
        private final Request request;
        private final Listener listener;
        private @Nullable Channel channel;
        private @Nullable ScheduledFuture<?> deadline;
        private long progressAtNanos;
        private boolean sent;
        private boolean keepAlive = true;
        private boolean finished;

        Exchange(Request request, Listener listener) {
            this.request = request;
            this.listener = listener;
        }

        void start(Channel connected) {
            channel = connected;
            connected.pipeline().get(Receiver.class).exchange = this;
            DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(request.method()),
                    request.path(),
                    Unpooled.wrappedBuffer(request.body()));
            message.headers().set(HttpHeaderNames.HOST, address(request));
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
            request.headers().forEach(message.headers()::set);
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
            keepAlive = HttpUtil.isKeepAlive(response);
            listener.onHead(response.status().code(), response.headers()::get);
        }

        void body(ByteBuf content) {
            progressAtNanos = System.nanoTime();
            if (content.isReadable()) {
                byte[] bytes = new byte[content.readableBytes()];
                content.readBytes(bytes);
                listener.onBody(bytes);
            }
        }

        void end() {
            Channel connected = detach();
            if (connected != null && keepAlive) {
                giveIdle(address(request), connected);
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
            context.close();
        }
    }
}
