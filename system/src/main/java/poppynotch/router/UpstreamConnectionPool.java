package poppynotch.router;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Sends requests to servers on idle connections if there are any, else on new ones. Owned by an
 * {@link EdgeContext}; used on the edge's event loop only.
 */
final class UpstreamConnectionPool {

    private static final int CONNECT_TIMEOUT_MS = 400;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Bootstrap bootstrap;
    private final IdleConnections idleConnections;

    /**
     * Creates a pool without connections.
     *
     * @param loop the event loop of all connections
     * @param clock milliseconds on a monotonic clock
     */
    UpstreamConnectionPool(EventLoop loop, LongSupplier clock) {
        this.loop = loop;
        this.clock = clock;
        idleConnections = new IdleConnections(clock);
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        // Distinguishes the end of the input from a reset, and keeps the channel
                        // open after a failed write to read what was received before.
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.AUTO_CLOSE, false)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    }

    /**
     * Sends a request. The listener is never called before this method returns.
     *
     * @param address {@code HOST:PORT} of the server
     * @param request ownership passes to the connection, which releases it
     */
    UpstreamCall send(
            String serverId, String address, FullHttpRequest request, UpstreamListener listener) {
        Optional<UpstreamConnection> idle = idleConnections.pollUsable(serverId);
        if (idle.isPresent()) {
            idle.get().sendOnIdle(request, listener);
            return idle.get();
        }
        UpstreamConnection connection =
                new UpstreamConnection(serverId, loop, clock, idleConnections);
        connection.connectAndSend(bootstrap, address, request, listener);
        return connection;
    }

    /** Whether the next request to a server would be sent on an idle connection. */
    boolean hasIdleConnection(String serverId) {
        return idleConnections.hasUsable(serverId);
    }

    /** Closes idle connections to all other servers, and those whose keep-alive time is over. */
    void retain(Set<String> serverIds) {
        idleConnections.retain(serverIds);
    }
}
