package poppynotch.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import poppynotch.balancer.BalancerSettings;

/**
 * The listener for clients: it accepts their connections up to a limit, reports whether this
 * sidecar is ready, and moves clients away when it drains. Each connection is a {@link
 * ClientConnection}, whose requests go to one {@link RequestDispatcher}.
 *
 * <p>{@link Sidecar} owns one instance and {@link Warmup} another. {@link #listen} and {@link
 * #adopt} may be called from any thread before the first connection is accepted; all else is called
 * on the sidecar's event loop only. It holds no buffers.
 */
final class Frontend implements ClientConnection.Owner {

    private static final int LISTEN_BACKLOG = 1024;

    /** Connections accepted in one read; the limit is checked only after they are accepted. */
    private static final int MAX_ACCEPTS_PER_READ = 4;

    /**
     * Requests of one connection that may await their responses in its codec, which fails the
     * connection at one more. A connection stops reading at far fewer, but one read may return
     * {@link Sidecar#MAX_BYTES_PER_READ} bytes of requests, of which the shortest has 16 bytes.
     */
    private static final int MAX_PIPELINE_DEPTH =
            ClientConnection.MAX_PIPELINED_REQUESTS + Sidecar.MAX_BYTES_PER_READ / 16;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final RateLimitedLog log;
    private final Exchange exchange;
    private final ClientConnections connections;
    private final RequestDispatcher dispatcher;
    private final ClientConnection.Shared sharedByConnections;

    private Channel listener;
    private boolean accepting;

    /** Other processes listen on the same socket. */
    private boolean inherited;

    private boolean warm;
    private boolean draining;

    /** Each response is the last on its connection. */
    private boolean closesAfterResponse;

    /** The timers of the steps of a drain. */
    private List<Future<?>> drainTimers = List.of();

    /**
     * Creates a listener that is not bound yet.
     *
     * @param maxConnections how many connections may carry requests
     * @param maxPendingBodyBytes limit on the bytes of incomplete request bodies
     */
    Frontend(
            EventLoop loop,
            MonotonicClock clock,
            RateLimitedLog log,
            Exchange exchange,
            BalancerSettings settings,
            int maxConnections,
            int maxPendingBodyBytes) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.exchange = exchange;
        connections = new ClientConnections(maxConnections);
        dispatcher =
                new RequestDispatcher(clock, exchange, connections, settings, this::notReadyReason);
        sharedByConnections =
                new ClientConnection.Shared(
                        clock,
                        log,
                        exchange,
                        dispatcher,
                        connections,
                        new PendingBodyBudget(maxPendingBodyBytes),
                        this);
    }

    /** Replaces the classes and tenants that requests may name. */
    void applySettings(BalancerSettings settings) {
        dispatcher.applySettings(settings);
    }

    // ---- the listening socket ----

    /** Binds a listener of this process's own and accepts connections. */
    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound =
                bootstrap()
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .bind(address);
        listener = bound.channel();
        accepting = true;
        return bound;
    }

    /**
     * Takes over a listener that other processes share. Nothing is accepted from it before {@link
     * #accept}; until then another process accepts.
     */
    ChannelFuture adopt(ServerSocketChannel bound) {
        ChannelFuture adopted =
                bootstrap()
                        .channelFactory(() -> new NioServerSocketChannel(bound))
                        .option(ChannelOption.AUTO_READ, false)
                        .register();
        listener = adopted.channel();
        inherited = true;
        return adopted;
    }

    /** Starts accepting connections from an adopted listener. */
    void accept() {
        accepting = true;
        onConnectionCountChanged();
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(loop)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator()
                                .maxMessagesPerRead(MAX_ACCEPTS_PER_READ))
                .childOption(ChannelOption.ALLOCATOR, Sidecar.BUFFERS)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Sidecar.RECEIVE_BUFFERS)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Sidecar.WRITE_WATER_MARKS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel accepted) {
                                ClientConnection connection =
                                        new ClientConnection(accepted, sharedByConnections);
                                accepted.pipeline()
                                        .addLast(
                                                new ClientInboundGate(connection),
                                                new HttpServerCodec(
                                                        new HttpDecoderConfig(),
                                                        MAX_PIPELINE_DEPTH),
                                                connection);
                            }
                        });
    }

    /** Stops accepting connections; open ones stay open. */
    void closeListener() {
        accepting = false;
        if (inherited) {
            // Closing an inherited listener would cut off the log too: the JDK then redirects
            // descriptors 0, 1 and 2.
            listener.config().setAutoRead(false);
        } else {
            listener.close();
        }
    }

    /** Stops accepting connections and ends idle ones. */
    void close() {
        closeListener();
        closeIdleConnections();
    }

    // ---- connections ----

    /** Sets how many connections may carry requests. */
    void setMaxConnections(int maxConnections) {
        connections.setMaxConnections(maxConnections);
    }

    boolean hasNoConnections() {
        return connections.isEmpty();
    }

    @Override
    public void onConnectionCountChanged() {
        connections.evict();
        boolean room = connections.hasRoom();
        if (!room) {
            log.warn("Connection limit reached: openConnections", connections.size());
        }
        listener.config().setAutoRead(room && accepting);
    }

    @Override
    public boolean closesAfterResponse() {
        return closesAfterResponse;
    }

    /** Makes each response the last on its connection from now on, and closes idle connections. */
    private void closeIdleConnections() {
        closesAfterResponse = true;
        connections.shutDownIdle();
    }

    // ---- readiness and drain ----

    /** Marks the warm-up as finished, after which this sidecar may serve. */
    void markWarm() {
        warm = true;
    }

    boolean isWarm() {
        return warm;
    }

    /** Returns null while this sidecar serves, else why it does not. */
    String notReadyReason() {
        if (draining) {
            return "draining";
        }
        if (!warm || !accepting) {
            return "starting";
        }
        return exchange.knowsEndpoints() ? null : "no endpoint is known";
    }

    /** Announces the end of this process: no request gets a deadline beyond the given time. */
    void shutDownWithin(double timeoutMs) {
        dispatcher.limitDeadlines(clock.nowMs() + timeoutMs);
    }

    /**
     * Moves clients away: this sidecar is not ready any more; after a delay each response is the
     * last on its connection, and idle connections are closed.
     *
     * @param closeAfterResponseDelayMs the delay after which connections end with their next
     *     response
     * @param closeIdleDelayMs the delay after which idle connections are closed
     */
    void drain(long closeAfterResponseDelayMs, long closeIdleDelayMs) {
        cancelDrainTimers();
        draining = true;
        drainTimers =
                List.of(
                        loop.schedule(
                                () -> closesAfterResponse = true,
                                closeAfterResponseDelayMs,
                                TimeUnit.MILLISECONDS),
                        loop.schedule(
                                this::closeIdleConnections,
                                closeIdleDelayMs,
                                TimeUnit.MILLISECONDS));
    }

    /** Ends a drain: connections stay open again. */
    void resume() {
        cancelDrainTimers();
        draining = false;
        closesAfterResponse = false;
    }

    private void cancelDrainTimers() {
        drainTimers.forEach(timer -> timer.cancel(false));
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether this process is ending, see {@link #shutDownWithin}. */
    boolean isShuttingDown() {
        return dispatcher.limitsDeadlines();
    }
}
