package poppynotch.lab.drill;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Injects network faults between the processes of a fleet on loopback. Each process is reached
 * through a TCP and UDP relay of its own, which knows the sender by its IP address, and drops or
 * delays what passes. A connection over a link that is cut is accepted and stays silent.
 *
 * <p>Owned by one {@link Drill}. Relays run on one event loop of this object, which {@link #close}
 * stops together with all channels; faults may be added and removed from any thread.
 */
final class LinkRelays implements AutoCloseable {

    /** Binding UDP to the port that TCP got fails where another process has it: try this often. */
    private static final int MAX_BIND_ATTEMPTS = 20;

    /**
     * A fault of links while it lasts.
     *
     * @param kind of the fault
     * @param affected addresses of the processes that the fault is for
     * @param value of a loss (fraction of datagrams) or a delay (milliseconds)
     */
    record LinkFault(DrillPlan.Kind kind, List<InetAddress> affected, double value) {

        /** Whether this fault drops what one address sends to another. */
        boolean blocks(InetAddress from, InetAddress to) {
            boolean fromAffected = affected.contains(from);
            boolean toAffected = affected.contains(to);
            return (kind == DrillPlan.Kind.CUT && fromAffected != toAffected)
                    || (kind == DrillPlan.Kind.MUTE && fromAffected && !toAffected);
        }
    }

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("links", true), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final SplittableRandom random;
    private final List<LinkFault> faults = new CopyOnWriteArrayList<>();
    private final Map<InetAddress, InetSocketAddress> relays = new HashMap<>();

    LinkRelays(long seed) {
        random = new SplittableRandom(seed);
    }

    void addFault(LinkFault fault) {
        faults.add(fault);
    }

    void removeFault(LinkFault fault) {
        faults.remove(fault);
    }

    private boolean isOpen(InetAddress from, InetAddress to) {
        return faults.stream().noneMatch(fault -> fault.blocks(from, to));
    }

    /** The highest value among the faults of a kind that are active; 0 without any. */
    private double maxValue(DrillPlan.Kind kind) {
        return faults.stream()
                .filter(fault -> fault.kind() == kind)
                .mapToDouble(LinkFault::value)
                .max()
                .orElse(0);
    }

    /**
     * Returns the address of the relay to a process. A process that is restarted at the same IP
     * address is reached through the relay it had.
     *
     * @param process where the process itself listens
     * @throws IllegalStateException if no port is free for both UDP and TCP
     */
    synchronized InetSocketAddress relayTo(InetSocketAddress process) {
        return relays.computeIfAbsent(process.getAddress(), host -> openRelay(host, process));
    }

    private InetSocketAddress openRelay(InetAddress host, InetSocketAddress process) {
        for (int attempt = 0; attempt < MAX_BIND_ATTEMPTS; attempt++) {
            Channel tcp = bindTcp(host, process);
            ChannelFuture udp =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioDatagramChannel.class)
                            .handler(new DatagramRelay(process))
                            .bind(tcp.localAddress())
                            .awaitUninterruptibly();
            if (udp.isSuccess()) {
                return (InetSocketAddress) tcp.localAddress();
            }
            tcp.close();
        }
        throw new IllegalStateException("no port is free for both UDP and TCP at " + host);
    }

    private Channel bindTcp(InetAddress host, InetSocketAddress process) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel incoming) {
                                incoming.pipeline().addLast(new ConnectionRelay(process));
                            }
                        })
                .bind(host, 0)
                .syncUninterruptibly()
                .channel();
    }

    /** Relays the datagrams to one process, with the losses and delays of the active faults. */
    private final class DatagramRelay extends SimpleChannelInboundHandler<DatagramPacket> {
        private final InetSocketAddress process;

        DatagramRelay(InetSocketAddress process) {
            this.process = process;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (!isOpen(packet.sender().getAddress(), process.getAddress())
                    || random.nextDouble() < maxValue(DrillPlan.Kind.LOSS)) {
                return;
            }
            DatagramPacket relayed = new DatagramPacket(packet.content().retain(), process);
            loop.schedule(
                    () -> ctx.writeAndFlush(relayed),
                    Math.round(maxValue(DrillPlan.Kind.DELAY)),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A process that is gone refuses: for the sender that is a loss like any other.
        }
    }

    /**
     * Relays one connection to the process. Nothing is relayed back, as members only ever send on
     * connections that they opened. Reading starts once the process accepted the connection.
     */
    private final class ConnectionRelay extends ChannelInboundHandlerAdapter {
        private final InetSocketAddress process;
        private Channel outbound;

        ConnectionRelay(InetSocketAddress process) {
            this.process = process;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            InetAddress from = ((InetSocketAddress) ctx.channel().remoteAddress()).getAddress();
            if (!isOpen(from, process.getAddress()) || !isOpen(process.getAddress(), from)) {
                return;
            }
            loop.schedule(
                    () -> connect(ctx),
                    Math.round(maxValue(DrillPlan.Kind.DELAY)),
                    TimeUnit.MILLISECONDS);
        }

        private void connect(ChannelHandlerContext ctx) {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(process)
                    .addListener(
                            (ChannelFuture connected) -> {
                                if (connected.isSuccess()) {
                                    outbound = connected.channel();
                                    ctx.channel().config().setAutoRead(true);
                                } else {
                                    ctx.close();
                                }
                            });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            outbound.writeAndFlush((ByteBuf) message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (outbound != null) {
                outbound.writeAndFlush(Unpooled.EMPTY_BUFFER)
                        .addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
