package org.radishspan.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;
import org.jspecify.annotations.Nullable;
import org.radishspan.config.CallerKey;
import org.radishspan.proto.Hello;
import org.radishspan.proto.PeerMessage;

/**
 * Sends and receives the Protobuf messages between routers over TCP, each preceded by its length.
 *
 * <p>A router sends only on connections that it opened, and receives only on those that it accepted. The first message
 * on a connection must be a hello with a proof of the shared secret, or the receiver closes the connection.
 *
 * <p>Messages wait in a {@link PeerOutbox} while a connection is being opened or its send buffer is full, as on a slow or
 * silent link. All methods are to be called on the event loop.
 */
public final class PeerTransport implements PeerLink {
    private static final int MAX_MESSAGE_BYTES = 1_048_576;
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final EventLoopGroup group;
    private final String secret;
    private final Supplier<PeerMessage> hello;
    private final BiConsumer<String, PeerMessage> onMessage;
    private final Map<String, Connection> outgoing = new HashMap<>();
    private final Channel server;
    private Consumer<String> onConnectionLost = vm -> {};
    private long bytesSent;

    private static final class Connection {
        private final PeerOutbox outbox = new PeerOutbox();
        private @Nullable Channel channel;
        private boolean connecting;

        private boolean writable() {
            return channel != null && channel.isActive() && channel.isWritable();
        }
    }

    /**
     * Binds the port for peers. {@code hello} supplies the first message of each connection, and {@code onMessage}
     * receives the VM of the sender with each message.
     */
    public PeerTransport(
            EventLoopGroup group,
            String host,
            int port,
            String secret,
            Supplier<PeerMessage> hello,
            BiConsumer<String, PeerMessage> onMessage) {
        this.group = group;
        this.secret = secret;
        this.hello = hello;
        this.onMessage = onMessage;
        this.server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        addCodec(child);
                        child.pipeline().addLast(new Receiver());
                    }
                })
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the proof of the shared secret for a router process: an HMAC of its VM and incarnation. */
    public static String proof(String secret, String vm, String incarnation) {
        return new HmacUtils(HmacAlgorithms.HMAC_SHA_256, secret).hmacHex(vm + "/" + incarnation);
    }

    /** Sets the action for a VM to which a connection was closed or could not be opened. */
    public void onConnectionLost(Consumer<String> action) {
        onConnectionLost = action;
    }

    /** Returns the port on which peers connect. */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Returns the bytes of all messages sent. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Closes the port and the connections that this router opened. */
    public void stop() {
        server.close();
        for (Connection connection : outgoing.values()) {
            if (connection.channel != null) {
                connection.channel.close();
            }
        }
    }

    /** Returns how many messages were dropped because they waited too long, or too many waited. */
    public long messagesDropped() {
        return outgoing.values().stream()
                .mapToLong(connection -> connection.outbox.dropped())
                .sum();
    }

    @Override
    public void send(Peer peer, PeerMessage message) {
        String address = peer.host() + ":" + peer.port();
        Connection connection = outgoing.computeIfAbsent(address, ignored -> new Connection());
        connection.outbox.add(message, nowMillis());
        Channel channel = connection.channel;
        if (channel != null && channel.isActive()) {
            writeWaiting(connection);
            return;
        }
        if (!connection.connecting) {
            connect(peer, connection);
        }
    }

    /** Writes the messages that wait, as far as the send buffer of the connection has room. */
    private void writeWaiting(Connection connection) {
        Channel channel = connection.channel;
        if (channel == null) {
            return;
        }
        boolean written = false;
        while (connection.writable()) {
            PeerMessage message = connection.outbox.poll(nowMillis());
            if (message == null) {
                break;
            }
            bytesSent += message.getSerializedSize() + LENGTH_BYTES;
            channel.write(message);
            written = true;
        }
        if (written) {
            channel.flush();
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public void reset(Peer peer) {
        Connection connection = outgoing.get(peer.host() + ":" + peer.port());
        if (connection != null && connection.channel != null) {
            connection.channel.close();
            connection.channel = null;
        }
    }

    private void connect(Peer peer, Connection connection) {
        connection.connecting = true;
        ChannelFuture future = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        addCodec(channel);
                        channel.pipeline().addLast(new Sender(connection));
                    }
                })
                .connect(peer.host(), peer.port());
        future.addListener(done -> {
            connection.connecting = false;
            if (!done.isSuccess()) {
                connection.outbox.clear();
                onConnectionLost.accept(peer.vm());
                return;
            }
            connection.channel = future.channel();
            future.channel().closeFuture().addListener(closed -> onConnectionLost.accept(peer.vm()));
            future.channel().writeAndFlush(hello.get());
            writeWaiting(connection);
        });
    }

    private static void addCodec(SocketChannel channel) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new ProtobufDecoder(PeerMessage.getDefaultInstance()))
                .addLast(new ProtobufEncoder());
    }

    /** Continues to write once the send buffer of a connection has room again. */
    private final class Sender extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        Sender(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (context.channel().equals(connection.channel)) {
                writeWaiting(connection);
            }
            context.fireChannelWritabilityChanged();
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<PeerMessage> {
        private @Nullable String vm;

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
            if (message.hasHello() && provesSecret(message.getHello())) {
                vm = message.getHello().getVm();
            }
            if (vm == null) {
                context.close();
                return;
            }
            onMessage.accept(vm, message);
        }

        private boolean provesSecret(Hello receivedHello) {
            return CallerKey.constantTimeEquals(
                    proof(secret, receivedHello.getVm(), receivedHello.getIncarnation()),
                    receivedHello.getSecretProof());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
