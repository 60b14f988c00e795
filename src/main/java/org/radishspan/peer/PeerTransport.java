package org.radishspan.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
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
        private @Nullable Channel channel;
        private boolean connecting;
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

    @Override
    public void send(Peer peer, PeerMessage message) {
        String address = peer.host() + ":" + peer.port();
        Connection connection = outgoing.computeIfAbsent(address, ignored -> new Connection());
        Channel channel = connection.channel;
        if (channel != null && channel.isActive()) {
            bytesSent += message.getSerializedSize() + LENGTH_BYTES;
            channel.writeAndFlush(message);
            return;
        }
        if (!connection.connecting) {
            connect(peer, connection, message);
        }
    }

    @Override
    public void reset(Peer peer) {
        Connection connection = outgoing.get(peer.host() + ":" + peer.port());
        if (connection != null && connection.channel != null) {
            connection.channel.close();
            connection.channel = null;
        }
    }

    private void connect(Peer peer, Connection connection, PeerMessage firstMessage) {
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
                    }
                })
                .connect(peer.host(), peer.port());
        future.addListener(done -> {
            connection.connecting = false;
            if (!done.isSuccess()) {
                onConnectionLost.accept(peer.vm());
            }
            if (done.isSuccess()) {
                connection.channel = future.channel();
                future.channel().closeFuture().addListener(closed -> onConnectionLost.accept(peer.vm()));
                future.channel().write(hello.get());
                future.channel().writeAndFlush(firstMessage);
            }
        });
    }

    private static void addCodec(SocketChannel channel) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new ProtobufDecoder(PeerMessage.getDefaultInstance()))
                .addLast(new ProtobufEncoder());
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
