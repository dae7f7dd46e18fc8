package poppynotch.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.ServerState;

/**
 * The connections to all endpoints: one request at a time on each, kept alive, limited in number.
 * {@link Sidecar} owns one pool and {@link Warmup} another; both are called on the sidecar's event
 * loop only. A request that it cannot send is released here, all others by their {@link
 * EndpointConnection}.
 */
final class EndpointPool {

    /**
     * Idle connections are closed after this fraction of the endpoints' idle timeout, so that this
     * side closes them first.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;

    private static final int SWEEPS_PER_IDLE_TIMEOUT = 10;

    private final MonotonicClock clock;
    private final RateLimitedLog log;
    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private double maxIdleMs;
    private int maxConnections;
    private final Map<String, Endpoint> endpoints = new HashMap<>();

    /**
     * Ids of endpoints in maintenance, which get no new requests. They are kept even while the
     * current list does not contain the endpoint.
     */
    private final Set<String> blocked = new HashSet<>();

    /** All idle connections, the longest idle first. */
    private final Set<EndpointConnection> idleConnections = new LinkedHashSet<>();

    /** Periodically closes connections that have been idle for too long. */
    private Future<?> sweepTimer;

    /** The number of connections, including idle ones, until their channels are closed. */
    private int openConnections;

    /**
     * Creates a pool without endpoints.
     *
     * @param connectTimeoutMs how long a connect may take
     * @param idleCloseMs the time after which endpoints close idle connections at the latest
     * @param maxConnections how many connections there may be at once
     */
    EndpointPool(
            EventLoop loop,
            MonotonicClock clock,
            RateLimitedLog log,
            double connectTimeoutMs,
            double idleCloseMs,
            int maxConnections) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.maxConnections = maxConnections;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, Sidecar.BUFFERS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, Sidecar.RECEIVE_BUFFERS)
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Sidecar.WRITE_WATER_MARKS);
        configure(connectTimeoutMs, idleCloseMs);
    }

    // ---- settings and lists ----

    /** Sets the connect timeout and the time after which endpoints close idle connections. */
    void configure(double connectTimeoutMs, double idleCloseMs) {
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(connectTimeoutMs));
        maxIdleMs = idleCloseMs * IDLE_TIMEOUT_FRACTION;
        if (sweepTimer != null) {
            sweepTimer.cancel(false);
        }
        long sweepMs = (long) Math.ceil(maxIdleMs / SWEEPS_PER_IDLE_TIMEOUT);
        sweepTimer =
                loop.scheduleWithFixedDelay(
                        this::closeExpiredIdle, sweepMs, sweepMs, TimeUnit.MILLISECONDS);
    }

    /** Sets how many connections there may be at once. */
    void setMaxConnections(int connections) {
        maxConnections = connections;
    }

    /**
     * Applies a full list of endpoints, or the changed entries of one; connections to processes or
     * addresses that no longer exist are closed.
     */
    void update(ServerList list) {
        if (list.full()) {
            removeUnlisted(list);
        }
        for (ServerList.Entry entry : list.entries()) {
            String id = entry.server().id();
            if (entry.server().state() == ServerState.GONE) {
                remove(id);
            } else {
                endpoints.computeIfAbsent(id, Endpoint::new).update(entry);
            }
        }
    }

    private void removeUnlisted(ServerList list) {
        Set<String> listed = new HashSet<>();
        list.entries().forEach(entry -> listed.add(entry.server().id()));
        for (String id : List.copyOf(endpoints.keySet())) {
            if (!listed.contains(id)) {
                remove(id);
            }
        }
    }

    private void remove(String id) {
        Endpoint removed = endpoints.remove(id);
        if (removed != null) {
            removed.invalidateConnections();
        }
    }

    /** Stops new requests to an endpoint, or allows them again, for maintenance. */
    void setBlocked(String id, boolean block) {
        if (block) {
            blocked.add(id);
        } else {
            blocked.remove(id);
        }
    }

    boolean isBlocked(Endpoint endpoint) {
        return blocked.contains(endpoint.id());
    }

    // ---- attempts ----

    /**
     * Sends a request once, on an idle connection or a new one. The attempt may end before this
     * returns. If a new connection is established too late, when the endpoint takes no new requests
     * any more or {@code latestWriteMs} has passed, the attempt ends with {@link
     * AttemptOutcome#CONNECT_ERROR}.
     *
     * @param upload the body if it is relayed while it is received, else null
     * @param latestWriteMs when its last byte may be written at the latest, on the sidecar's clock
     */
    EndpointAttempt send(
            String id,
            HttpRequest request,
            RelayedBody upload,
            double latestWriteMs,
            AttemptListener listener) {
        EndpointAttempt attempt = new EndpointAttempt(request, upload, latestWriteMs, listener);
        Endpoint endpoint = endpoints.get(id);
        closeExpiredIdle();
        EndpointConnection connection = endpoint == null ? null : endpoint.findUsableIdle();
        if (connection != null) {
            connection.reuse(attempt);
        } else if (endpoint == null) {
            failToConnect(attempt, "no address is known for endpoint " + id);
        } else if (openConnections >= maxConnections && !closeLongestIdle()) {
            failToConnect(attempt, "all " + maxConnections + " connections to endpoints are busy");
        } else {
            new EndpointConnection(this, clock, log, endpoint).connect(bootstrap, attempt);
        }
        return attempt;
    }

    private void failToConnect(EndpointAttempt attempt, String reason) {
        log.warn("Attempt failed to connect: cause", reason);
        ReferenceCountUtil.release(attempt.request);
        attempt.finish(AttemptOutcome.CONNECT_ERROR, null);
    }

    // ---- connections ----

    void onConnectionOpened() {
        openConnections++;
    }

    void onConnectionClosed() {
        openConnections--;
    }

    /** Adds a connection that has no request in flight any more. */
    void addIdle(EndpointConnection connection) {
        connection.endpoint().addIdle(connection);
        idleConnections.add(connection);
    }

    /** Removes a connection that gets a request or closes; does nothing if it was not idle. */
    void removeIdle(EndpointConnection connection) {
        connection.endpoint().removeIdle(connection);
        idleConnections.remove(connection);
    }

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String id) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            endpoint.closeIdleConnections();
        }
    }

    private boolean closeLongestIdle() {
        if (idleConnections.isEmpty()) {
            return false;
        }
        idleConnections.iterator().next().close();
        return true;
    }

    private void closeExpiredIdle() {
        double idleBeforeMs = clock.nowMs() - maxIdleMs;
        while (!idleConnections.isEmpty()
                && idleConnections.iterator().next().idleSinceMs() < idleBeforeMs) {
            closeLongestIdle();
        }
    }

    /** Closes all idle connections and stops the periodic closing. */
    void close() {
        sweepTimer.cancel(false);
        endpoints.values().forEach(Endpoint::closeIdleConnections);
    }
}
