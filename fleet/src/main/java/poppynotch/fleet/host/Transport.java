package poppynotch.fleet.host;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import poppynotch.fleet.wire.Addresses;
import poppynotch.fleet.wire.MessageCodec;

/**
 * Sends and receives encoded messages, each in a datagram, or, if it may be too long for one, over
 * a separate TCP connection with a length prefix of four bytes. Nothing is queued: a message that
 * cannot be sent is lost, which the protocol tolerates.
 *
 * <p>Owned by {@link FleetHost}. All methods but {@link #listen} are called on the event loop;
 * {@link #close} releases the sockets.
 */
final class Transport {

    /**
     * Maximum number of incoming connections. Processes outside of the fleet may occupy all of
     * them; members then retry later.
     */
    private static final int MAX_INCOMING_CONNECTIONS = 6;

    private static final int MAX_OUTGOING_CONNECTIONS = 6;

    /**
     * Maximum duration of a connection. A membership table is sent within milliseconds; a peer that
     * keeps a connection open for longer is not a member or is disconnected.
     */
    private static final int CONNECTION_TIMEOUT_MS = 3000;

    /** Size of the receive buffer; a longer datagram is truncated and cannot be a valid message. */
    private static final int RECEIVE_BUFFER_BYTES = 2048;

    private static final int LENGTH_FIELD_BYTES = 4;

    /** Maximum number of attempts to find a port that is free for both UDP and TCP. */
    private static final int MAX_BIND_ATTEMPTS = 20;

    /**
     * Number of one-way delays until the first bytes of a connection arrive: the round trip of its
     * handshake and the transmission.
     */
    private static final int CONNECTION_DELAYS = 3;

    private final EventLoop loop;
    private final ByteBufAllocator buffers;
    private final Consumer<byte[]> onMessage;
    private final TransportCounters counters = new TransportCounters();

    /** Null except in trials with emulated links. */
    private final LinkDelays linkDelays;

    private Channel datagramChannel;
    private Channel serverChannel;
    private int incomingConnections;
    private int outgoingConnections;

    /**
     * Creates a transport that does not listen yet.
     *
     * @param links emulated links in trials, otherwise null
     * @param onMessage receives each message, on the event loop
     */
    Transport(
            EventLoop loop,
            ByteBufAllocator buffers,
            LinkEmulation links,
            Consumer<byte[]> onMessage) {
        this.loop = loop;
        this.buffers = buffers;
        this.onMessage = onMessage;
        linkDelays = links == null ? null : new LinkDelays(loop, links, counters);
    }

    /**
     * Listens on the same port for UDP and TCP. If the port is in use, for example by the previous
     * process during an upgrade, any free port is used, since members disseminate their addresses.
     * Blocks; not to be called on the event loop.
     *
     * @throws IOException if no port can be bound
     */
    void listen(InetSocketAddress address) throws IOException {
        Throwable cause = null;
        InetSocketAddress anyPort = new InetSocketAddress(address.getAddress(), 0);
        for (int attempt = 0; attempt < MAX_BIND_ATTEMPTS; attempt++) {
            ChannelFuture tcp =
                    server().bind(attempt == 0 ? address : anyPort).awaitUninterruptibly();
            if (!tcp.isSuccess()) {
                cause = tcp.cause();
                continue;
            }
            ChannelFuture udp =
                    datagrams().bind(tcp.channel().localAddress()).awaitUninterruptibly();
            if (udp.isSuccess()) {
                serverChannel = tcp.channel();
                datagramChannel = udp.channel();
                return;
            }
            cause = udp.cause();
            tcp.channel().close();
        }
        throw new IOException(
                "the fleet cannot listen on " + address + ": " + cause.getMessage(), cause);
    }

    private Bootstrap datagrams() {
        return new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.ALLOCATOR, buffers)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                .handler(new DatagramHandler());
    }

    private ServerBootstrap server() {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, buffers)
                .childHandler(new IncomingInitializer());
    }

    /** The local address of both sockets. */
    InetSocketAddress address() {
        return (InetSocketAddress) datagramChannel.localAddress();
    }

    /** Sends a message in a datagram; a message that is too long is dropped and counted. */
    void sendDatagram(String to, byte[] bytes) {
        if (bytes.length > MessageCodec.MAX_DATAGRAM_BYTES) {
            counters.increment("datagrams too long to send");
            return;
        }
        counters.increment("datagrams out");
        counters.add("bytes out", bytes.length);
        InetSocketAddress address = Addresses.of(to);
        if (linkDelays == null) {
            writeDatagram(address, bytes);
            return;
        }
        double delayMs = sendDelayMs(address, bytes);
        if (delayMs < 0) {
            counters.increment("datagrams cut off");
        } else {
            linkDelays.runDelayed(delayMs, () -> writeDatagram(address, bytes));
        }
    }

    private double sendDelayMs(InetSocketAddress to, byte[] bytes) {
        return linkDelays.sendDelayMs(address().getAddress(), to.getAddress(), bytes.length);
    }

    private void writeDatagram(InetSocketAddress to, byte[] bytes) {
        datagramChannel
                .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to))
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                counters.increment("datagrams not sent");
                            }
                        });
    }

    /**
     * Sends a message over a new connection, which is then closed. The message is dropped and
     * counted if it is too long or if too many connections are open.
     */
    void sendOverConnection(String to, byte[] bytes) {
        if (outgoingConnections >= MAX_OUTGOING_CONNECTIONS
                || bytes.length > MessageCodec.MAX_TABLE_BYTES) {
            counters.increment("exchanges not begun");
            return;
        }
        outgoingConnections++;
        counters.increment("exchanges out");
        counters.add("bytes out", bytes.length);
        InetSocketAddress address = Addresses.of(to);
        if (linkDelays == null) {
            connect(address, bytes);
        } else if (!connectDelayed(address, bytes)) {
            outgoingConnections--;
        }
    }

    /** Returns false if the attempt was dropped. */
    private boolean connectDelayed(InetSocketAddress to, byte[] bytes) {
        double delayMs = sendDelayMs(to, bytes);
        if (delayMs >= 0) {
            return linkDelays.runDelayed(CONNECTION_DELAYS * delayMs, () -> connect(to, bytes));
        }
        return linkDelays.runDelayed(
                CONNECTION_TIMEOUT_MS,
                () -> {
                    outgoingConnections--;
                    counters.increment("exchanges not connected");
                });
    }

    private void connect(InetSocketAddress to, byte[] bytes) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, buffers)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECTION_TIMEOUT_MS)
                .localAddress(new InetSocketAddress(address().getAddress(), 0))
                .handler(new OutgoingInitializer())
                .connect(to)
                .addListener((ChannelFuture connected) -> onConnected(connected, bytes));
    }

    private void onConnected(ChannelFuture connected, byte[] bytes) {
        if (!connected.isSuccess()) {
            counters.increment("exchanges not connected");
            return;
        }
        ByteBuf frame =
                Unpooled.wrappedBuffer(
                        Unpooled.copyInt(bytes.length), Unpooled.wrappedBuffer(bytes));
        connected.channel().writeAndFlush(frame).addListener(ChannelFutureListener.CLOSE);
    }

    private void closeAfterTimeout(Channel channel) {
        loop.schedule(() -> channel.close(), CONNECTION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Limits the number and duration of incoming connections. */
    private final class IncomingInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            if (incomingConnections >= MAX_INCOMING_CONNECTIONS) {
                counters.increment("refused connections");
                channel.close();
                return;
            }
            incomingConnections++;
            channel.closeFuture().addListener(closed -> incomingConnections--);
            closeAfterTimeout(channel);
            channel.pipeline()
                    .addLast(
                            new LengthFieldBasedFrameDecoder(
                                    MessageCodec.MAX_TABLE_BYTES,
                                    0,
                                    LENGTH_FIELD_BYTES,
                                    0,
                                    LENGTH_FIELD_BYTES),
                            new FrameHandler());
        }
    }

    /** Limits the duration of outgoing connections, and counts them. */
    private final class OutgoingInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.closeFuture().addListener(closed -> outgoingConnections--);
            closeAfterTimeout(channel);
        }
    }

    /** Receives datagrams; Netty releases each after {@link #channelRead0}. */
    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            counters.increment("datagrams in");
            deliver(packet.content(), packet.sender().getAddress(), 1);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // For example an unreachable port of a remote host; this socket is still usable.
            counters.increment("datagram errors");
        }
    }

    /** Receives a connection's only message; Netty releases it after {@link #channelRead0}. */
    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            counters.increment("exchanges in");
            InetSocketAddress remote = (InetSocketAddress) ctx.channel().remoteAddress();
            deliver(frame, remote.getAddress(), CONNECTION_DELAYS);
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            counters.increment("broken exchanges");
            ctx.close();
        }
    }

    /** Delivers a copy of a message, after the delay of its link if this side emulates it. */
    private void deliver(ByteBuf content, InetAddress from, int delays) {
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        if (linkDelays == null) {
            deliver(bytes);
            return;
        }
        double delayMs = linkDelays.receiveDelayMs(from, address().getAddress());
        if (delayMs < 0) {
            // The sender has no emulated links, so its send succeeds, also over a connection. On a
            // real link that is cut, its connection attempt would time out.
            counters.increment("messages cut off at receipt");
        } else {
            linkDelays.runDelayed(delays * delayMs, () -> deliver(bytes));
        }
    }

    private void deliver(byte[] bytes) {
        counters.add("bytes in", bytes.length);
        onMessage.accept(bytes);
    }

    /** Increments a counter on behalf of the owner, which finds errors when it decodes messages. */
    void count(String name) {
        counters.increment(name);
    }

    /** A copy of all counters, by name. */
    Map<String, Long> counts() {
        return counters.snapshot();
    }

    /** Closes both sockets. */
    void close() {
        datagramChannel.close();
        serverChannel.close();
    }
}
