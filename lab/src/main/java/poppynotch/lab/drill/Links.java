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
 * The links between the processes of a fleet: each is reached through a relay of its own, which
 * tells by the sender's address which link a message takes, and drops or delays it. A cut link's
 * connections come up and stay silent.
 */
final class Links implements AutoCloseable {

    /** A fault of links while it lasts; {@code struck} are processes' addresses. */
    record Trouble(DrillPlan.Kind kind, List<InetAddress> struck, double value) {
        boolean cuts(InetAddress from, InetAddress to) {
            boolean fromStruck = struck.contains(from);
            boolean toStruck = struck.contains(to);
            return kind == DrillPlan.Kind.CUT && fromStruck != toStruck
                    || kind == DrillPlan.Kind.MUTE && fromStruck && !toStruck;
        }
    }

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("links", true), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final SplittableRandom random;
    private final List<Trouble> troubles = new CopyOnWriteArrayList<>();
    private final Map<InetAddress, InetSocketAddress> relays = new HashMap<>();

    Links(long seed) {
        random = new SplittableRandom(seed);
    }

    void begin(Trouble trouble) {
        troubles.add(trouble);
    }

    void end(Trouble trouble) {
        troubles.remove(trouble);
    }

    private boolean passes(InetAddress from, InetAddress to) {
        return troubles.stream().noneMatch(trouble -> trouble.cuts(from, to));
    }

    private double worst(DrillPlan.Kind kind) {
        return troubles.stream()
                .filter(trouble -> trouble.kind() == kind)
                .mapToDouble(Trouble::value)
                .max()
                .orElse(0);
    }

    /**
     * The address at which a process is reached through its relay; the one before is used again.
     */
    synchronized InetSocketAddress relayTo(InetSocketAddress process) {
        return relays.computeIfAbsent(
                process.getAddress(),
                of -> {
                    for (int tries = 0; tries < 20; tries++) {
                        Channel tcp =
                                new ServerBootstrap()
                                        .group(loop)
                                        .channel(NioServerSocketChannel.class)
                                        .childOption(ChannelOption.AUTO_READ, false)
                                        .childHandler(
                                                new ChannelInitializer<SocketChannel>() {
                                                    @Override
                                                    protected void initChannel(
                                                            SocketChannel incoming) {
                                                        incoming.pipeline()
                                                                .addLast(new Pipe(process));
                                                    }
                                                })
                                        .bind(of, 0)
                                        .syncUninterruptibly()
                                        .channel();
                        ChannelFuture udp =
                                new Bootstrap()
                                        .group(loop)
                                        .channel(NioDatagramChannel.class)
                                        .handler(new Datagrams(process))
                                        .bind(tcp.localAddress())
                                        .awaitUninterruptibly();
                        if (udp.isSuccess()) {
                            return (InetSocketAddress) tcp.localAddress();
                        }
                        tcp.close();
                    }
                    throw new IllegalStateException(
                            "no port is free for both UDP and TCP at " + of);
                });
    }

    private final class Datagrams extends SimpleChannelInboundHandler<DatagramPacket> {
        private final InetSocketAddress process;

        Datagrams(InetSocketAddress process) {
            this.process = process;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (!passes(packet.sender().getAddress(), process.getAddress())
                    || random.nextDouble() < worst(DrillPlan.Kind.LOSS)) {
                return;
            }
            DatagramPacket on = new DatagramPacket(packet.content().retain(), process);
            loop.schedule(
                    () -> ctx.writeAndFlush(on),
                    Math.round(worst(DrillPlan.Kind.DELAY)),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A process that is gone refuses: for the sender that is a loss like any other.
        }
    }

    /**
     * One connection: what comes in goes on to the process, and never back, as the protocol has it.
     */
    private final class Pipe extends ChannelInboundHandlerAdapter {
        private final InetSocketAddress process;
        private Channel out;

        Pipe(InetSocketAddress process) {
            this.process = process;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            InetAddress from = ((InetSocketAddress) ctx.channel().remoteAddress()).getAddress();
            if (!passes(from, process.getAddress()) || !passes(process.getAddress(), from)) {
                return;
            }
            loop.schedule(
                    () -> {
                        new Bootstrap()
                                .group(loop)
                                .channel(NioSocketChannel.class)
                                .handler(new ChannelInboundHandlerAdapter())
                                .connect(process)
                                .addListener(
                                        (ChannelFuture connected) -> {
                                            if (connected.isSuccess()) {
                                                out = connected.channel();
                                                ctx.channel().config().setAutoRead(true);
                                            } else {
                                                ctx.close();
                                            }
                                        });
                    },
                    Math.round(worst(DrillPlan.Kind.DELAY)),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            out.writeAndFlush((ByteBuf) message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (out != null) {
                out.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
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
