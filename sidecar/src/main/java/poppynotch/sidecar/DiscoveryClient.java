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
 * Watches discovery's list of endpoints by long polls, one after another, until the process ends.
 * It is in one {@link State} at a time, and each state has one timer, which is cancelled when the
 * state ends.
 *
 * <p>An update must be applied within 6 s of the time when discovery has it and can be reached,
 * even if a response is lost. In the worst case the connection is lost unnoticed just as a watch
 * starts, and the update is made at that moment. The watch times out after {@link #MAX_WAIT_MS}
 * plus {@link #RESPONSE_GRACE_MS}, 3.75 s; the next call is made at once, and if calls are refused,
 * two more follow, each within {@link #MAX_BACKOFF_MS}: the third is made at most 5.75 s after the
 * update. When discovery becomes reachable again, a connect in progress times out after {@link
 * #CONNECT_TIMEOUT_MS}, and the next call is made within 1 s.
 *
 * <p>It is owned by {@link Sidecar} and runs on its event loop. Responses are released by the
 * handler's base class after they are read, requests by the channel.
 */
final class DiscoveryClient {

    /** How long discovery may hold a call; a lost connection is noticed only after that. */
    private static final int MAX_WAIT_MS = 3_000;

    /** Waits are shortened by up to this fraction, as an update ends all of them at once. */
    private static final double WAIT_JITTER_FRACTION = 0.25;

    /**
     * How long after the end of its wait a call without a response is considered failed; discovery
     * needs some 30 ms to respond.
     */
    private static final int RESPONSE_GRACE_MS = 750;

    /**
     * A connect takes a round trip; a lost packet is sent again after a second, which is too late.
     */
    private static final int CONNECT_TIMEOUT_MS = 750;

    /**
     * The call after a failed one is made after a random delay, up to this limit after the first
     * failure and up to {@link #MAX_BACKOFF_MS} after further ones: sidecars that lost discovery at
     * the same time must not all call again at the same time, and none too late.
     */
    private static final int MAX_FIRST_BACKOFF_MS = 500;

    private static final int MAX_BACKOFF_MS = 1_000;

    /**
     * The first call is made after a random delay up to this limit, as the processes of a site may
     * start together and discovery handles calls one by one. It must be soon: the list in the
     * configuration file is outdated if it changed while the process was down, and the time limit
     * for an update counts from when discovery had it, not from the start of the process.
     */
    private static final int MAX_FIRST_CALL_DELAY_MS = 2_000;

    /**
     * The limit of each backoff where lists are pushed: calls go to an agent beside this sidecar
     * then, and a list that the agent has must be applied at once.
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

    /** Receives each list. */
    private Consumer<ServerList> listener;

    /** The version of the current list. */
    private long version;

    /** The current connection; null while there is none. */
    private Channel channel;

    private State state = State.IDLE;

    /** The timer of the current state. */
    private Future<?> timer;

    /** Calls that have failed since the last success. */
    private int failures;

    /** How long the current call may wait, and when it was made. */
    private int waitMs;

    private long calledNanos;

    /**
     * Creates a client; {@link #start} schedules its first call.
     *
     * @param names the zones and kinds, by whose positions parsed lists refer to them
     * @param pushedToAgent whether lists are pushed to an agent beside this sidecar
     * @param seed seeds the random delays
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

    /** Sets the receiver of lists, and the version that it has already. */
    void setListener(Consumer<ServerList> newListener, long knownVersion) {
        listener = newListener;
        version = knownVersion;
    }

    /** Schedules the first call; {@link #watch} and {@link #callNow} may make it earlier. */
    void start() {
        moveTo(State.IDLE, random.nextInt(1 + MAX_FIRST_CALL_DELAY_MS), this::startWatchCall);
    }

    /** Starts the first watch, unless that has happened already. */
    void watch() {
        if (state == State.IDLE) {
            startWatchCall();
        }
    }

    /**
     * Requests the current list at once, unless a call is in flight, whose response brings it too.
     */
    void callNow() {
        if (state == State.IDLE || state == State.BACKING_OFF) {
            call(1);
        }
    }

    /** Makes a call that waits for an update; the limit on the wait is random. */
    private void startWatchCall() {
        call((int) (MAX_WAIT_MS * (1 - WAIT_JITTER_FRACTION * random.nextDouble())));
    }

    /** Enters a state, whose timer runs a task after a delay. */
    private void moveTo(State next, long delayMs, Runnable task) {
        if (timer != null) {
            timer.cancel(false);
        }
        state = next;
        timer = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Makes one call with the given limit on its wait, on the current connection or a new one. */
    private void call(int maxWaitMs) {
        waitMs = maxWaitMs;
        calledNanos = System.nanoTime();
        if (channel != null && channel.isActive()) {
            writeCall();
            return;
        }
        moveTo(State.CONNECTING, CONNECT_TIMEOUT_MS, () -> onFailure("connect timed out"));
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
                () -> onResponseTimeout("response timed out"));
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
     * Applies changed settings. If discovery has another address, a watch there replaces the
     * current one.
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
        Channel previous = channel;
        channel = null;
        if (previous != null) {
            previous.close();
        }
    }

    /** Handles a missing response: after a first failure it calls again at once. */
    private void onResponseTimeout(String cause) {
        onFailure(cause, failures == 0 ? 0 : MAX_BACKOFF_MS);
    }

    private void onFailure(Object cause) {
        onFailure(cause, failures == 0 ? MAX_FIRST_BACKOFF_MS : MAX_BACKOFF_MS);
    }

    /** Handles the failure of the current call; the next one is made within the given limit. */
    private void onFailure(Object cause, int limitMs) {
        closeConnection();
        if (state != State.CONNECTING && state != State.WATCHING) {
            return;
        }
        failures++;
        log.warn("Discovery call failed: cause", cause);
        moveTo(
                State.BACKING_OFF,
                random.nextInt(
                        1 + Math.min(limitMs, pushedToAgent ? MAX_AGENT_BACKOFF_MS : limitMs)),
                this::startWatchCall);
    }

    /** Reads the responses on one connection; those on an earlier connection are ignored. */
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
            // The next call is made first: the watch continues only if it follows the response
            // soon.
            startWatchCall();
            listener.accept(list);
        }

        /** Parses the list of a response; fails the call and returns null if it is unusable. */
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
                // An older list must not replace the known one, whichever server still sends it.
                onFailure("version " + list.version() + " is older than " + version);
                return null;
            }
            return list;
        }

        private void logList(ServerList list) {
            long elapsedMs = (System.nanoTime() - calledNanos) / 1_000_000;
            log.info(
                    "Discovery list received: version="
                            + version
                            + ", entries="
                            + list.entries().size()
                            + ", elapsedMs="
                            + elapsedMs
                            + ", waitMs="
                            + waitMs);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                onFailure("connection closed");
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
