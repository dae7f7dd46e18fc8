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
 * Watches discovery's list of endpoints by long polls, call after call, from its first call to the
 * end of the process. It is in one {@link State} at a time, and each state has one timer, which
 * ends with it.
 *
 * <p>An update must be in force 6 s after discovery had it and could be reached, whether it came or
 * not. The worst case: a watch falls silent as it opens, and the update is made then. The watch is
 * given up after {@link #MAX_WAIT_MS} and {@link #RESPONSE_GRACE_MS}, 3.75 s; the next call goes
 * out at once, and where that is refused, others within 0.5 s and 1 s more: the third goes out 5.25
 * s after the update. Where discovery comes back, a connect that was under way gives up after
 * {@link #CONNECT_TIMEOUT_MS}, and the next call comes within 1 s.
 *
 * <p>It is owned by {@link Sidecar} and runs on its event loop. Responses are released by the
 * handler's base class after they are read; what is written is released by the channel.
 */
final class DiscoveryClient {

    /** How long discovery may wait for an update at most: silence shows only after that. */
    private static final int MAX_WAIT_MS = 3_000;

    /** Each wait is up to this fraction shorter, as an update ends all sidecars' waits at once. */
    private static final double WAIT_JITTER_FRACTION = 0.25;

    /**
     * Silence for so long after that wait is a failure; discovery answers within some 30 ms of it.
     */
    private static final int RESPONSE_GRACE_MS = 750;

    /**
     * A connect takes a round trip; a lost packet is sent again after a second, which is too long.
     */
    private static final int CONNECT_TIMEOUT_MS = 750;

    /**
     * The next call after a failed one comes at random within the first of these, after further
     * ones within the second: sidecars that lost discovery together must not come back together,
     * and none may be late.
     */
    private static final int MAX_FIRST_BACKOFF_MS = 500;

    private static final int MAX_BACKOFF_MS = 1_000;

    /**
     * A process that starts has the list of its file, which may be as old as the time that it was
     * down, and updates count by discovery's clock, not by the process's. The first call comes at
     * random within this time: a site's processes may start together, and discovery works through
     * calls in turn.
     */
    private static final int MAX_FIRST_CALL_DELAY_MS = 2_000;

    /**
     * Where lists are pushed, an agent of this sidecar's own is asked, and what it has counts at
     * once.
     */
    private static final int MAX_AGENT_BACKOFF_MS = 100;

    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private enum State {
        /** The first call is still to be made. */
        IDLE,
        /** A call waits for its connection. */
        CONNECTING,
        /** A call is in flight: discovery waits for an update or is about to respond. */
        WATCHING,
        /** The last call failed, and the next one is still to be made. */
        BACKING_OFF
    }

    private final EventLoop loop;
    private InetSocketAddress address;
    private ServerList.Names names;

    /** Lists are pushed to an agent beside this sidecar. */
    private boolean pushedToAgent;

    private final RateLimitedLog log;
    private final SplittableRandom random;
    private final Bootstrap bootstrap;

    /** Gets each list. */
    private Consumer<ServerList> listener;

    /** The version of the list that is in force. */
    private long version;

    /** The current connection; null while there is none. */
    private Channel channel;

    private State state = State.IDLE;

    /** The one timer of the state. */
    private Future<?> timer;

    /** Calls that have failed since the last success. */
    private int failures;

    /** How long the call that is in flight may wait, and when it was made. */
    private int waitMs;

    private long calledNanos;

    /**
     * A client that does nothing before {@link #start}.
     *
     * @param names of the zones and kinds, whose positions stand for them in lists
     * @param pushedToAgent whether lists are pushed to an agent beside this sidecar
     * @param seed of the random delays
     */
    DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            ServerList.Names names,
            boolean pushedToAgent,
            RateLimitedLog log,
            long seed) {
        this.loop = loop;
        this.address = address;
        this.names = names;
        this.pushedToAgent = pushedToAgent;
        this.log = log;
        random = new SplittableRandom(seed);
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, Sidecar.BUFFERS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel created) {
                                        created.pipeline()
                                                .addLast(
                                                        new HttpRequestEncoder(),
                                                        new StrictResponseDecoder(),
                                                        new HttpObjectAggregator(
                                                                MAX_RESPONSE_BYTES),
                                                        new CallHandler());
                                    }
                                });
    }

    /** Sets who gets each list, and which version is known already. */
    void setListener(Consumer<ServerList> newListener, long knownVersion) {
        listener = newListener;
        version = knownVersion;
    }

    /** Begins to watch soon; {@link #watch} and {@link #callNow} may do so before. */
    void start() {
        moveTo(State.IDLE, random.nextInt(1 + MAX_FIRST_CALL_DELAY_MS), this::startWatchCall);
    }

    /** Begins to watch, unless it does already. */
    void watch() {
        if (state == State.IDLE) {
            startWatchCall();
        }
    }

    /** Asks for what is new already at once, unless a call is in flight that brings it. */
    void callNow() {
        if (state == State.IDLE || state == State.BACKING_OFF) {
            call(1);
        }
    }

    /** Calls with a wait for updates, whose length is random. */
    private void startWatchCall() {
        call((int) (MAX_WAIT_MS * (1 - WAIT_JITTER_FRACTION * random.nextDouble())));
    }

    /** Enters a state, whose timer runs {@code then} after {@code ms}. */
    private void moveTo(State next, long ms, Runnable then) {
        if (timer != null) {
            timer.cancel(false);
        }
        state = next;
        timer = loop.schedule(then, ms, TimeUnit.MILLISECONDS);
    }

    /** Makes one call that may wait so long, on the current connection or a new one. */
    private void call(int maxWaitMs) {
        waitMs = maxWaitMs;
        calledNanos = System.nanoTime();
        if (channel != null && channel.isActive()) {
            writeCall();
            return;
        }
        moveTo(State.CONNECTING, CONNECT_TIMEOUT_MS, () -> onFailure("no connection in time"));
        ChannelFuture connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(
                connected -> {
                    if (connecting.channel() != channel) {
                        return;
                    }
                    if (connected.isSuccess()) {
                        writeCall();
                    } else {
                        onFailure(connected.cause());
                    }
                });
    }

    private void writeCall() {
        moveTo(
                State.WATCHING,
                waitMs + RESPONSE_GRACE_MS,
                () -> onResponseTimeout("no answer in time"));
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
     * Takes over settings. If discovery is elsewhere from now on, a new watch there replaces the
     * one that may be under way.
     */
    void reconfigure(
            InetSocketAddress newAddress, ServerList.Names newNames, boolean isPushedToAgent) {
        names = newNames;
        pushedToAgent = isPushedToAgent;
        if (newAddress.equals(address)) {
            if (pushedToAgent) {
                watch();
            }
            return;
        }
        address = newAddress;
        closeConnection();
        failures = 0;
        startWatchCall();
    }

    private void closeConnection() {
        Channel left = channel;
        channel = null;
        if (left != null) {
            left.close();
        }
    }

    /** Nothing came in time: having waited that long, it calls again at once. */
    private void onResponseTimeout(String cause) {
        onFailure(cause, failures == 0 ? 0 : MAX_BACKOFF_MS);
    }

    private void onFailure(Object cause) {
        onFailure(cause, failures == 0 ? MAX_FIRST_BACKOFF_MS : MAX_BACKOFF_MS);
    }

    /** The call that is in flight has failed, and another one is made within that time. */
    private void onFailure(Object cause, int withinMs) {
        closeConnection();
        if (state != State.CONNECTING && state != State.WATCHING) {
            return;
        }
        failures++;
        log.warn("discovery failed", cause);
        moveTo(
                State.BACKING_OFF,
                random.nextInt(
                        1 + Math.min(withinMs, pushedToAgent ? MAX_AGENT_BACKOFF_MS : withinMs)),
                this::startWatchCall);
    }

    /** Reads the responses on one connection; those on a former connection are ignored. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel || state != State.WATCHING) {
                ctx.close();
                return;
            }
            ServerList list = readList(response);
            if (list == null) {
                return;
            }
            failures = 0;
            version = list.version();
            logList(list);
            if (!HttpUtil.isKeepAlive(response)) {
                channel = null;
                ctx.close();
            }
            // The next call goes out first: it must come soon after the response for the watch to
            // go on.
            startWatchCall();
            listener.accept(list);
        }

        /** The list of a response; null if it has none that can be used, which fails the call. */
        private ServerList readList(FullHttpResponse response) {
            if (response.status().code() != 200 || response.decoderResult().isFailure()) {
                onFailure("status " + response.status().code());
                return null;
            }
            ServerList list;
            try {
                list = ServerList.parse(ByteBufUtil.getBytes(response.content()), names);
            } catch (IOException | IllegalArgumentException e) {
                onFailure(e.getMessage());
                return null;
            }
            if (list.version() < version) {
                // An older list must not replace the known one, whoever still sends it.
                onFailure("version " + list.version() + " is older than " + version);
                return null;
            }
            return list;
        }

        private void logList(ServerList list) {
            long tookMs = (System.nanoTime() - calledNanos) / 1_000_000;
            log.info(
                    "discovery told version "
                            + version
                            + ", "
                            + list.entries().size()
                            + " entries, after "
                            + tookMs
                            + " of "
                            + waitMs
                            + " ms");
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                onFailure("the connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == channel) {
                onFailure(cause);
            }
            ctx.close();
        }
    }
}
