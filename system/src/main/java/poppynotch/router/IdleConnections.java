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
 * The idle connections to servers, by the servers' ids. The one that was used last is reused first.
 * Owned by an {@link UpstreamConnectionPool}; used on the edge's event loop only.
 */
final class IdleConnections {

    private final LongSupplier clock;
    private final IdleConnectionPolicy policy = new IdleConnectionPolicy();
    private final Map<String, Deque<UpstreamConnection>> byServerId = new HashMap<>();

    /**
     * No connections yet.
     *
     * @param clock milliseconds on a monotonic clock
     */
    IdleConnections(LongSupplier clock) {
        this.clock = clock;
    }

    /** Whether the next request to a server can have an idle connection. */
    boolean hasUsable(String serverId) {
        Deque<UpstreamConnection> connections = byServerId.get(serverId);
        return connections != null
                && !connections.isEmpty()
                && isUsable(connections.peekLast(), clock.getAsLong());
    }

    /** Removes and returns a usable connection to a server, and closes those that are not. */
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

    /** A connection became idle. */
    void add(UpstreamConnection connection) {
        byServerId
                .computeIfAbsent(connection.serverId(), key -> new ArrayDeque<>())
                .addLast(connection);
    }

    /** A connection was closed; it need not be an idle one. */
    void remove(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections = byServerId.get(connection.serverId());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /** A request was reset on a connection that had been idle for {@code idleMs} before it. */
    void onResetAfterIdle(long idleMs) {
        policy.onReset(clock.getAsLong(), idleMs);
    }

    /** Closes the connections to all other servers, and those whose idle time is over. */
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
