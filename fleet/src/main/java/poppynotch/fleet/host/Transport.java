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
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import poppynotch.fleet.wire.Addresses;
import poppynotch.fleet.wire.MessageCodec;

/**
 * Carries messages: a datagram each, or where one may be too long for that, a connection each, with
 * four bytes that tell the length. Nothing waits: what cannot be sent is lost, as the protocol
 * expects.
 */
final class Transport {

    /** Connections that may come in at once; strangers may hold them, and members try again. */
    private static final int MAX_INCOMING_CONNECTIONS = 6;

    private static final int MAX_OUTGOING_CONNECTIONS = 6;

    /** A whole table takes milliseconds; who holds a connection longer is a stranger or cut off. */
    private static final int CONNECTION_TIMEOUT_MS = 3000;

    /** A datagram that is longer is cut, and is none of ours. */
    private static final int RECEIVE_BUFFER_BYTES = 2048;

    /** Ports to try for one that is free on both UDP and TCP. */
    private static final int MAX_BIND_ATTEMPTS = 20;

    /**
     * Messages under way on emulated links at most; what comes beyond that is dropped, and counted.
     */
    private static final int MAX_MESSAGES_IN_FLIGHT = 1024;

    /** A connection's handshake goes there and back before its first bytes go there. */
    private static final int CONNECTION_DELAYS = 3;

    private final EventLoop loop;
    private final ByteBufAllocator buffers;
    private final Consumer<byte[]> onMessage;

    /** Null but in trials. */
    private final LinkEmulation links;

    private final Map<String, Long> counts = new TreeMap<>();
    private Channel datagrams;
    private Channel listener;
    private int incomingConnections;
    private int outgoingConnections;
    private int messagesInFlight;

    /**
     * Carries messages over real links, or, in trials, over emulated ones; {@code links} may be
     * null.
     */
    Transport(
            EventLoop loop,
            ByteBufAllocator buffers,
            LinkEmulation links,
            Consumer<byte[]> received) {
        this.loop = loop;
        this.buffers = buffers;
        this.links = links;
        this.onMessage = received;
    }

    /**
     * Listens on UDP and TCP at one port. Where it is taken, as by the process before this one in
     * an upgrade, any other port will do, since members tell each other where they are.
     */
    void listen(InetSocketAddress address) throws IOException {
        Throwable why = null;
        for (int i = 0; i < MAX_BIND_ATTEMPTS; i++) {
            ChannelFuture tcp =
                    server().bind(i == 0 ? address : new InetSocketAddress(address.getAddress(), 0))
                            .awaitUninterruptibly();
            if (!tcp.isSuccess()) {
                why = tcp.cause();
                continue;
            }
            ChannelFuture udp =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioDatagramChannel.class)
                            .option(ChannelOption.ALLOCATOR, buffers)
                            .option(
                                    ChannelOption.RECVBUF_ALLOCATOR,
                                    new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                            .handler(new DatagramHandler())
                            .bind(tcp.channel().localAddress())
                            .awaitUninterruptibly();
            if (udp.isSuccess()) {
                listener = tcp.channel();
                datagrams = udp.channel();
                return;
            }
            why = udp.cause();
            tcp.channel().close();
        }
        throw new IOException(
                "the fleet cannot listen on " + address + ": " + why.getMessage(), why);
    }

    private ServerBootstrap server() {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, buffers)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                if (incomingConnections >= MAX_INCOMING_CONNECTIONS) {
                                    count("refused connections");
                                    channel.close();
                                    return;
                                }
                                incomingConnections++;
                                channel.closeFuture().addListener(closed -> incomingConnections--);
                                loop.schedule(
                                        () -> channel.close(),
                                        CONNECTION_TIMEOUT_MS,
                                        TimeUnit.MILLISECONDS);
                                channel.pipeline()
                                        .addLast(
                                                new LengthFieldBasedFrameDecoder(
                                                        MessageCodec.MAX_TABLE_BYTES, 0, 4, 0, 4),
                                                new ConnectionHandler());
                            }
                        });
    }

    InetSocketAddress address() {
        return (InetSocketAddress) datagrams.localAddress();
    }

    void sendDatagram(String to, byte[] bytes) {
        if (bytes.length > MessageCodec.MAX_DATAGRAM_BYTES) {
            count("datagrams too long to send");
            return;
        }
        count("datagrams out");
        count("bytes out", bytes.length);
        InetSocketAddress address = Addresses.of(to);
        if (links == null) {
            writeDatagram(address, bytes);
            return;
        }
        double delayMs = linkDelayMs(address, bytes.length);
        if (delayMs < 0) {
            count("datagrams cut off");
        } else {
            runDelayed(delayMs, () -> writeDatagram(address, bytes));
        }
    }

    private void writeDatagram(InetSocketAddress to, byte[] bytes) {
        datagrams
                .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to))
                .addListener(
                        sent -> {
                            if (!sent.isSuccess()) {
                                count("datagrams not sent");
                            }
                        });
    }

    /** How long bytes that leave now are under way, or below 0 for ever. */
    private double linkDelayMs(InetSocketAddress to, int bytes) {
        InetAddress own = address().getAddress();
        if (links.isFar(own, to.getAddress())) {
            count("bytes out far", bytes);
        }
        return links.delayMs(own, to.getAddress());
    }

    /**
     * Does something once a message has been under way for so long; a loop's timers are as fine as
     * 1 ms.
     */
    private boolean runDelayed(double delayMs, Runnable then) {
        if (delayMs == 0) {
            then.run();
        } else if (messagesInFlight >= MAX_MESSAGES_IN_FLIGHT) {
            count("messages dropped under way");
            return false;
        } else {
            messagesInFlight++;
            loop.schedule(
                    () -> {
                        messagesInFlight--;
                        then.run();
                    },
                    (long) (delayMs * 1e6),
                    TimeUnit.NANOSECONDS);
        }
        return true;
    }

    void sendOverConnection(String to, byte[] bytes) {
        if (outgoingConnections >= MAX_OUTGOING_CONNECTIONS
                || bytes.length > MessageCodec.MAX_TABLE_BYTES) {
            count("exchanges not begun");
            return;
        }
        outgoingConnections++;
        count("exchanges out");
        count("bytes out", bytes.length);
        InetSocketAddress address = Addresses.of(to);
        if (links == null) {
            connect(address, bytes);
            return;
        }
        double delayMs = linkDelayMs(address, bytes.length);
        boolean begun =
                delayMs < 0
                        ? runDelayed(
                                CONNECTION_TIMEOUT_MS,
                                () -> {
                                    outgoingConnections--;
                                    count("exchanges not connected");
                                })
                        : runDelayed(CONNECTION_DELAYS * delayMs, () -> connect(address, bytes));
        if (!begun) {
            outgoingConnections--;
        }
    }

    private void connect(InetSocketAddress to, byte[] bytes) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, buffers)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECTION_TIMEOUT_MS)
                .localAddress(new InetSocketAddress(address().getAddress(), 0))
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.closeFuture().addListener(closed -> outgoingConnections--);
                                loop.schedule(
                                        () -> channel.close(),
                                        CONNECTION_TIMEOUT_MS,
                                        TimeUnit.MILLISECONDS);
                            }
                        })
                .connect(to)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                connected
                                        .channel()
                                        .writeAndFlush(
                                                Unpooled.wrappedBuffer(
                                                        Unpooled.copyInt(bytes.length),
                                                        Unpooled.wrappedBuffer(bytes)))
                                        .addListener(ChannelFutureListener.CLOSE);
                            } else {
                                count("exchanges not connected");
                            }
                        });
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            count("datagrams in");
            deliver(packet.content(), packet.sender().getAddress(), 1);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // As a refused port far away, which says nothing about this socket.
            count("datagram errors");
        }
    }

    private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            count("exchanges in");
            deliver(
                    frame,
                    ((InetSocketAddress) ctx.channel().remoteAddress()).getAddress(),
                    CONNECTION_DELAYS);
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            count("broken exchanges");
            ctx.close();
        }
    }

    private void deliver(ByteBuf content, InetAddress from, int ways) {
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        if (links == null || links.emulates(from)) {
            deliver(bytes);
            return;
        }
        double delayMs = links.delayMs(from, address().getAddress());
        if (delayMs < 0) {
            // Its sender is real and saw it go, a connection too: over a cut link that would be a
            // time-out.
            count("messages cut off at receipt");
        } else {
            runDelayed(ways * delayMs, () -> deliver(bytes));
        }
    }

    private void deliver(byte[] bytes) {
        count("bytes in", bytes.length);
        onMessage.accept(bytes);
    }

    void count(String what) {
        count(what, 1);
    }

    private void count(String what, long by) {
        counts.merge(what, by, Long::sum);
    }

    Map<String, Long> counts() {
        return counts;
    }

    void close() {
        datagrams.close();
        listener.close();
    }
}
