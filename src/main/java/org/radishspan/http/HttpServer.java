package org.radishspan.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.LastHttpContent;
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

    private static final int MAX_PIPELINED_CALLS = 16;
    private static final int MAX_INITIAL_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final Channel channel;

    private HttpServer(Channel channel) {
        this.channel = channel;
    }

    /** Binds a port, 0 for any free one; fails with an exception if it is taken. */
    public static HttpServer start(EventLoopGroup group, String host, int port, int maxBodyBytes, Handler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.pipeline()
                                .addLast(new HttpServerCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                                .addLast(new Connection(maxBodyBytes, handler));
                    }
                });
        return new HttpServer(bootstrap.bind(host, port).syncUninterruptibly().channel());
    }

    /** Returns the port bound. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Takes no new connections. */
    public void stop() {
        channel.close().syncUninterruptibly();
    }

    private static final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private static final int SLOW_SENDER_SECONDS = 30;
        private static final String SLOW_SENDER = "slow-sender";

        private final int maxBodyBytes;
        private final Handler handler;
        private final Deque<HttpCall> waiting = new ArrayDeque<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private @Nullable HttpRequest request;
        private @Nullable HttpCall current;
        private boolean tooLarge;

        Connection(int maxBodyBytes, Handler handler) {
            this.maxBodyBytes = maxBodyBytes;
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                refuse(context, ErrorKind.INVALID_REQUEST, "the request is not valid HTTP");
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
            body.reset();
            tooLarge = false;
            if (context.pipeline().get(SLOW_SENDER) == null) {
                context.pipeline().addFirst(SLOW_SENDER, new ReadTimeoutHandler(SLOW_SENDER_SECONDS));
            }
        }

        private void collect(ByteBuf content) {
            if (tooLarge || body.size() + content.readableBytes() > maxBodyBytes) {
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
                refuse(context, ErrorKind.BODY_TOO_LARGE, "the body is longer than " + maxBodyBytes + " bytes");
                return;
            }
            if (waiting.size() >= MAX_PIPELINED_CALLS) {
                context.close();
                return;
            }
            waiting.add(new HttpCall(
                    context,
                    head.method().name(),
                    head.uri(),
                    head.headers(),
                    body.toByteArray(),
                    () -> next(context)));
            startNext();
        }

        private void next(ChannelHandlerContext context) {
            current = null;
            context.executor().execute(this::startNext);
        }

        private void startNext() {
            if (current != null || waiting.isEmpty()) {
                return;
            }
            HttpCall call = waiting.remove();
            current = call;
            handler.handle(call);
        }

        private void refuse(ChannelHandlerContext context, ErrorKind kind, String message) {
            HttpCall call = new HttpCall(context, "GET", "/", new DefaultHttpHeaders(), new byte[0], () -> {});
            ErrorAnswer.send(call, Failure.notRun(kind, message));
            context.channel().close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
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
