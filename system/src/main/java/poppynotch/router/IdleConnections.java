package poppynotch.router;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The idle connections to servers, by server id. The most recently used connection to a server is
 * reused first. Owned by an {@link UpstreamConnectionPool}; used on the edge's event loop only.
 */
final class IdleConnections {

    private final LongSupplier clock;
    private final IdleConnectionPolicy policy = new IdleConnectionPolicy();
    private final Map<String, Deque<UpstreamConnection>> byServerId = new HashMap<>();

    /**
     * Creates an empty set of connections.
     *
     * @param clock milliseconds on a monotonic clock
     */
    IdleConnections(LongSupplier clock) {
        this.clock = clock;
    }

    /** Whether there is a usable connection to a server. */
    boolean hasUsable(String serverId) {
        Deque<UpstreamConnection> connections = byServerId.get(serverId);
        return connections != null
                && !connections.isEmpty()
                && isUsable(connections.peekLast(), clock.getAsLong());
    }

    /** Removes and returns a usable connection to a server; closes unusable ones on the way. */
    Optional<UpstreamConnection> pollUsable(String serverId) {
        Deque<UpstreamConnection> connections = byServerId.get(serverId);
        long nowMs = clock.getAsLong();
        while (connections != null && !connections.isEmpty()) {
            UpstreamConnection last = connections.pollLast();
            if (isUsable(last, nowMs)) {
                return Optional.of(last);
            }
            last.close();
        }
        return Optional.empty();
    }

    private boolean isUsable(UpstreamConnection connection, long nowMs) {
        return nowMs - connection.idleSinceMs() <= policy.maxIdleMs(nowMs)
                && nowMs < connection.idleUntilMs()
                && connection.isReusable();
    }

    /** Adds a connection that has become idle. */
    void add(UpstreamConnection connection) {
        byServerId
                .computeIfAbsent(connection.serverId(), key -> new ArrayDeque<>())
                .addLast(connection);
    }

    /** Removes a closed connection; has no effect if it was not idle. */
    void remove(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections = byServerId.get(connection.serverId());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /** Records the reset of a request whose connection had been idle for {@code idleMs}. */
    void onResetAfterIdle(long idleMs) {
        policy.onReset(clock.getAsLong(), idleMs);
    }

    /** Closes the connections to all other servers, and those whose keep-alive time is over. */
    void retain(Set<String> serverIds) {
        long nowMs = clock.getAsLong();
        byServerId
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean isKnown = serverIds.contains(entry.getKey());
                            Deque<UpstreamConnection> connections = entry.getValue();
                            for (UpstreamConnection connection : List.copyOf(connections)) {
                                if (!isKnown || nowMs >= connection.idleUntilMs()) {
                                    connections.remove(connection);
                                    connection.close();
                                }
                            }
                            return connections.isEmpty();
                        });
    }
}
