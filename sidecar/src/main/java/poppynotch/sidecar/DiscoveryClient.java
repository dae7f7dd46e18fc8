package poppynotch.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Watches the list of endpoints, call after call, from its first call to the end of the process. It
 * is in one state at a time, and each state has one timer, which ends with it.
 *
 * <p>News counts as told 6 s after discovery had it and could be reached, whether it came or not.
 * The worst case: a watch falls silent as it opens, and the news is made then. The watch is given
 * up after {@link #MOST_WAIT_MS} and {@link #SILENCE_MS}, 3.75 s; the next call goes out at once,
 * and where that is refused, others within 0.5 s and 1 s more: the third goes out 5.25 s after the
 * news. Where discovery comes back, a connect that was under way gives up after {@link
 * #CONNECT_MS}, and the next call comes within 1 s.
 */
final class DiscoveryClient {

    /** How long discovery is asked to wait for news at most: silence shows only after that. */
    private static final int MOST_WAIT_MS = 3_000;

    /** Each wait is up to this part shorter, as news ends the waits of all sidecars at once. */
    private static final double WAIT_SPREAD = 0.25;

    /**
     * Silence for so long after that wait is a failure; discovery answers within some 30 ms of it.
     */
    private static final int SILENCE_MS = 750;

    /**
     * A connect takes a round trip; a lost packet is sent again after a second, which is too long.
     */
    private static final int CONNECT_MS = 750;

    /**
     * The next call after a failed one comes at random within the first of these, after further
     * ones within the second: sidecars that lost discovery together must not come back together,
     * and none may be late.
     */
    private static final int FIRST_BACKOFF_MS = 500;

    private static final int MOST_BACKOFF_MS = 1_000;

    /**
     * A process that starts holds the list of its file, which may be as old as the time that it was
     * down, and news counts by discovery's clock, not by the process's. The first call comes at
     * random within this time: a site's processes may start together, and discovery works through
     * calls in turn.
     */
    private static final int FIRST_CALL_MS = 2_000;

    /**
     * Where lists are pushed, an agent of this sidecar's own is asked, and what it has counts at
     * once.
     */
    private static final int AGENT_BACKOFF_MS = 100;

    private static final int MOST_BODY = 4 * 1024 * 1024;

    private enum State {
        /** The first call is still to come. */
        IDLE,
        CONNECTING,
        /** A call is out, and discovery waits for news or is about to answer. */
        WATCHING,
        BACKING_OFF
    }

    private final EventLoop loop;
    private InetSocketAddress address;
    private ServerList.Names names;

    /** Lists are pushed to an agent beside this sidecar. */
    private boolean pushed;

    private final RateLimitedLog complaints;
    private final SplittableRandom random;
    private final Bootstrap bootstrap;
    private Consumer<ServerList> listener;
    private long version;
    private Channel channel;
    private State state = State.IDLE;

    /** The one timer of the state. */
    private Future<?> timer;

    private int failures;
    private int waitMs;
    private long askedNanos;

    DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            ServerList.Names names,
            boolean pushed,
            RateLimitedLog complaints,
            long seed) {
        this.loop = loop;
        this.address = address;
        this.names = names;
        this.pushed = pushed;
        this.complaints = complaints;
        random = new SplittableRandom(seed);
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, Sidecar.BUFFERS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel fresh) {
                                        fresh.pipeline()
                                                .addLast(
                                                        new HttpRequestEncoder(),
                                                        new StrictResponseDecoder(),
                                                        new HttpObjectAggregator(MOST_BODY),
                                                        new Calls());
                                    }
                                });
    }

    /** Who hears of lists, and which version is known already. */
    void listen(Consumer<ServerList> hearer, long known) {
        listener = hearer;
        version = known;
    }

    /** The process starts: it begins to watch soon, unless there is a reason to before. */
    void start() {
        enter(State.IDLE, random.nextInt(1 + FIRST_CALL_MS), this::next);
    }

    /** Begins to watch, unless it does already. */
    void watch() {
        if (state == State.IDLE) {
            next();
        }
    }

    /** What is new already is told at once, unless a call is out that tells it. */
    void ask() {
        if (state == State.IDLE || state == State.BACKING_OFF) {
            call(1);
        }
    }

    private void next() {
        call((int) (MOST_WAIT_MS * (1 - WAIT_SPREAD * random.nextDouble())));
    }

    private void enter(State next, long ms, Runnable then) {
        if (timer != null) {
            timer.cancel(false);
        }
        state = next;
        timer = loop.schedule(then, ms, TimeUnit.MILLISECONDS);
    }

    /** One call that may wait so long, on the connection that stands or a new one. */
    private void call(int wait) {
        waitMs = wait;
        askedNanos = System.nanoTime();
        if (channel != null && channel.isActive()) {
            send();
            return;
        }
        enter(State.CONNECTING, CONNECT_MS, () -> fail("no connection in time"));
        ChannelFuture connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(
                connected -> {
                    if (connecting.channel() != channel) {
                        return;
                    }
                    if (connected.isSuccess()) {
                        send();
                    } else {
                        fail(connected.cause());
                    }
                });
    }

    private void send() {
        enter(State.WATCHING, waitMs + SILENCE_MS, () -> silent("no answer in time"));
        FullHttpRequest call =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.GET,
                        "/registry/instances?index=" + version + "&wait=" + waitMs,
                        Unpooled.EMPTY_BUFFER);
        call.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(call);
    }

    /**
     * Discovery is elsewhere from now on: a new watch there takes the place of the one that may be
     * on.
     */
    void move(InetSocketAddress to, ServerList.Names now, boolean agent) {
        names = now;
        pushed = agent;
        if (to.equals(address)) {
            if (pushed) {
                watch();
            }
            return;
        }
        address = to;
        hangUp();
        failures = 0;
        next();
    }

    private void hangUp() {
        Channel left = channel;
        channel = null;
        if (left != null) {
            left.close();
        }
    }

    /** Nothing came in time: who has waited that long asks again at once, at a time of its own. */
    private void silent(String why) {
        fail(why, failures == 0 ? 0 : MOST_BACKOFF_MS);
    }

    private void fail(Object why) {
        fail(why, failures == 0 ? FIRST_BACKOFF_MS : MOST_BACKOFF_MS);
    }

    /** The call that is out has failed, and another one comes within that time. */
    private void fail(Object why, int withinMs) {
        hangUp();
        if (state != State.CONNECTING && state != State.WATCHING) {
            return;
        }
        failures++;
        complaints.warn("discovery failed", why);
        enter(
                State.BACKING_OFF,
                random.nextInt(1 + Math.min(withinMs, pushed ? AGENT_BACKOFF_MS : withinMs)),
                this::next);
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (ctx.channel() != channel || state != State.WATCHING) {
                ctx.close();
                return;
            }
            if (answer.status().code() != 200 || answer.decoderResult().isFailure()) {
                fail("status " + answer.status().code());
                return;
            }
            ServerList list;
            try {
                list = ServerList.parse(ByteBufUtil.getBytes(answer.content()), names);
            } catch (IOException | IllegalArgumentException e) {
                fail(e.getMessage());
                return;
            }
            if (list.version() < version) {
                // What is older than what is known must not take its place, whoever still tells it.
                fail("version " + list.version() + " is older than " + version);
                return;
            }
            failures = 0;
            version = list.version();
            long tookMs = (System.nanoTime() - askedNanos) / 1_000_000;
            complaints.info(
                    "discovery told version "
                            + version
                            + ", "
                            + list.entries().size()
                            + " entries, after "
                            + tookMs
                            + " of "
                            + waitMs
                            + " ms");
            if (!HttpUtil.isKeepAlive(answer)) {
                channel = null;
                ctx.close();
            }
            // The next call goes out first: it must come soon after the answer for the watch to go
            // on.
            next();
            listener.accept(list);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                fail("the connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == channel) {
                fail(cause);
            }
            ctx.close();
        }
    }
}
