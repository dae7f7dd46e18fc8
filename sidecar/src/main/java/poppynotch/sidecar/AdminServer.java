package poppynotch.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The admin server: operators connect, send one line and get one line back that begins with {@code
 * done} or {@code error}. It decides nothing; {@link Operations} carry the calls out.
 *
 * <p>It is owned by {@link Sidecar} and runs on its event loop. Lines that are read are released by
 * the handler's base class after the call; what is written is released by the channel.
 */
final class AdminServer {

    /** The limit on a line, in bytes: enough for a call with the longest id expected in a list. */
    private static final int MAX_LINE_LENGTH = 512;

    /** The logged part of a response, in characters: one that lists a fleet has kilobytes. */
    private static final int MAX_LOGGED_LENGTH = 200;

    /** Concurrent callers, which use reserved descriptors; a further one replaces the oldest. */
    private static final int MAX_CALLERS = 12;

    /**
     * A peer that sends no complete line must get an error or be disconnected within 3 s, the same
     * limit that applies to clients.
     */
    private static final int LINE_TIMEOUT_MS = 2250;

    private static final String UNKNOWN_CALL = "unknown call";

    /**
     * Carries out the calls. Called on the event loop. {@link #status}, {@link #setMaintenance},
     * {@link #standby} and {@link #active} return null if they are done, else why they are not.
     */
    interface Operations {
        String status();

        String setMaintenance(String id, boolean out);

        String standby();

        String active();

        /** The members of the fleet, as one line of JSON; null without a fleet. */
        String members();

        /** The leases of this process, as one line of JSON; null if it wants none. */
        String leases();

        /** The state shared with other processes, as one line of JSON; null if there is none. */
        String sharedState();
    }

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final Operations operations;

    /**
     * The connections of callers, the oldest first. None has sent a complete line yet, as that is
     * answered at once and ends its connection.
     */
    private final Set<Channel> callers = new LinkedHashSet<>();

    private Channel listener;

    AdminServer(EventLoop loop, RateLimitedLog log, Operations operations) {
        this.loop = loop;
        this.log = log;
        this.operations = operations;
    }

    /** Binds the listener; may be called from any thread. */
    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        // One at a time: each must be counted before the next takes a
                        // descriptor.
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(1).maxMessagesPerRead(1))
                        .childOption(ChannelOption.ALLOCATOR, Sidecar.BUFFERS)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel accepted) {
                                        accepted.pipeline()
                                                .addLast(
                                                        new LineBasedFrameDecoder(MAX_LINE_LENGTH),
                                                        new CallerHandler());
                                    }
                                })
                        .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** The address of the listener, once it is bound. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Carries out a call and returns the line to respond with. */
    private String call(String line) {
        String[] words = line.trim().split("\\s+");
        return switch (words.length) {
            case 1 -> callWithoutArgument(words[0]);
            case 2 -> callWithId(words[0], words[1]);
            default -> doneOrError(UNKNOWN_CALL);
        };
    }

    private String callWithoutArgument(String verb) {
        return switch (verb) {
            case "members" -> reportOrError(operations.members(), "is in no fleet");
            case "duties" -> reportOrError(operations.leases(), "wants no duties");
            case "shared" -> reportOrError(operations.sharedState(), "shares nothing");
            case "status" -> doneOrError(operations.status());
            case "standby" -> doneOrError(operations.standby());
            case "active" -> doneOrError(operations.active());
            default -> doneOrError(UNKNOWN_CALL);
        };
    }

    private String callWithId(String verb, String id) {
        return switch (verb) {
            case "maint-on" -> doneOrError(operations.setMaintenance(id, true));
            case "maint-off" -> doneOrError(operations.setMaintenance(id, false));
            default -> doneOrError(UNKNOWN_CALL);
        };
    }

    private static String doneOrError(String error) {
        return error == null ? "done" : "error " + error;
    }

    private static String reportOrError(String report, String otherwise) {
        return report == null ? "error this process " + otherwise : "done " + report;
    }

    /** The handler of one caller's connection, which ends with the response. */
    private final class CallerHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private Future<?> lineTimer;
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (callers.size() >= MAX_CALLERS) {
                callers.iterator().next().close();
            }
            callers.add(ctx.channel());
            lineTimer =
                    loop.schedule(
                            () -> respondAndClose(ctx, "error no whole call in time"),
                            LINE_TIMEOUT_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (answered) {
                return;
            }
            String call = line.toString(StandardCharsets.UTF_8);
            String response = call(call);
            log.info("Admin call: request=" + call + ", response=" + shortened(response));
            respondAndClose(ctx, response);
        }

        private static String shortened(String response) {
            return response.length() > MAX_LOGGED_LENGTH
                    ? response.substring(0, MAX_LOGGED_LENGTH) + "..."
                    : response;
        }

        private void respondAndClose(ChannelHandlerContext ctx, String response) {
            answered = true;
            ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), response + "\n"))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            callers.remove(ctx.channel());
            lineTimer.cancel(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof java.io.IOException) {
                ctx.close();
            } else if (!answered) {
                log.warn("Admin call failed: cause", cause.getMessage());
                respondAndClose(ctx, "error the line is too long or malformed");
            }
        }
    }
}
