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
 * The door for operators: one line to a connection, one line back that begins with {@code done} or
 * {@code error}. It decides nothing; what a call does is with whoever is asked.
 */
final class AdminServer {

    /** A call with the longest id that a list is likely to name. */
    private static final int LONGEST_LINE = 512;

    /** What is logged of an answer: one that lists a fleet has kilobytes. */
    private static final int LONGEST_LOGGED = 200;

    /**
     * Callers at once, from the descriptors kept apart; a further one takes the oldest one's place.
     */
    private static final int MOST_CALLERS = 12;

    /** As for clients: a peer that sends nothing whole must have an error or a close within 3 s. */
    private static final int WHOLE_LINE_MS = 2250;

    private static final String UNKNOWN = "unknown call";

    /** Who carries out the calls; each returns null if it is done, else why it is not. */
    interface Operated {
        String status();

        String maintain(String id, boolean out);

        String standby();

        String active();

        /** Who is present, as one line of JSON; null where there is no fleet. */
        String members();

        /** Which duties this process has, as one line of JSON; null where it wants none. */
        String duties();

        /** What is shared with other processes, as one line of JSON; null where nothing is. */
        String shared();
    }

    private final EventLoop loop;
    private final RateLimitedLog complaints;
    private final Operated operated;

    /**
     * The oldest first. All are silent yet: a whole line is answered at once and ends its
     * connection.
     */
    private final Set<Channel> callers = new LinkedHashSet<>();

    private Channel listener;

    AdminServer(EventLoop loop, RateLimitedLog complaints, Operated operated) {
        this.loop = loop;
        this.complaints = complaints;
        this.operated = operated;
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        // One at a time: each must find its place before the next takes a
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
                                                        new LineBasedFrameDecoder(LONGEST_LINE),
                                                        new Caller());
                                    }
                                })
                        .bind(address);
        listener = bound.channel();
        return bound;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    private String answer(String line) {
        String[] words = line.trim().split("\\s+");
        String told =
                words.length > 1
                        ? null
                        : switch (words[0]) {
                            case "members" -> told(operated.members(), "is in no fleet");
                            case "duties" -> told(operated.duties(), "wants no duties");
                            case "shared" -> told(operated.shared(), "shares nothing");
                            default -> null;
                        };
        if (told != null) {
            return told;
        }
        String refused =
                words.length > 2
                        ? UNKNOWN
                        : words.length == 2
                                ? switch (words[0]) {
                                    case "maint-on" -> operated.maintain(words[1], true);
                                    case "maint-off" -> operated.maintain(words[1], false);
                                    default -> UNKNOWN;
                                }
                                : switch (words[0]) {
                                    case "status" -> operated.status();
                                    case "standby" -> operated.standby();
                                    case "active" -> operated.active();
                                    default -> UNKNOWN;
                                };
        return refused == null ? "done" : "error " + refused;
    }

    private static String told(String status, String otherwise) {
        return status == null ? "error this process " + otherwise : "done " + status;
    }

    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        private Future<?> silent;
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (callers.size() >= MOST_CALLERS) {
                callers.iterator().next().close();
            }
            callers.add(ctx.channel());
            silent =
                    loop.schedule(
                            () -> end(ctx, "error no whole call in time"),
                            WHOLE_LINE_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (answered) {
                return;
            }
            String call = line.toString(StandardCharsets.UTF_8);
            String answer = answer(call);
            complaints.info(
                    "management: "
                            + call
                            + ": "
                            + (answer.length() > LONGEST_LOGGED
                                    ? answer.substring(0, LONGEST_LOGGED) + "..."
                                    : answer));
            end(ctx, answer);
        }

        private void end(ChannelHandlerContext ctx, String answer) {
            answered = true;
            ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), answer + "\n"))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            callers.remove(ctx.channel());
            silent.cancel(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof java.io.IOException) {
                ctx.close();
            } else if (!answered) {
                complaints.warn("management", cause.getMessage());
                end(ctx, "error the line is too long or malformed");
            }
        }
    }
}
