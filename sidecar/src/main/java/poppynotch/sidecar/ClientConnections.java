package poppynotch.sidecar;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The open connections of clients and their limit. It is owned by {@link Frontend} and called on
 * the sidecar's event loop only; a connection enters it when its channel becomes active and leaves
 * it when that becomes inactive.
 */
final class ClientConnections {

    /**
     * Connections above the limit that are still accepted, so that their requests are rejected with
     * a response.
     */
    private static final int MAX_OVERFLOW_CONNECTIONS = 32;

    private final Set<ClientConnection> open = new LinkedHashSet<>();

    /** Those with no request in flight, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    /** Those that this side has ended and that wait for their peers to end them, oldest first. */
    private final Set<ClientConnection> lingering = new LinkedHashSet<>();

    private int maxConnections;

    ClientConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Sets how many connections may carry requests. */
    void setMaxConnections(int connections) {
        maxConnections = connections;
    }

    void add(ClientConnection connection) {
        open.add(connection);
    }

    void remove(ClientConnection connection) {
        open.remove(connection);
        idle.remove(connection);
        lingering.remove(connection);
    }

    /** Records that no request is in flight on the connection. */
    void markIdle(ClientConnection connection) {
        idle.add(connection);
    }

    /** Records that a request is in flight on the connection. */
    void markBusy(ClientConnection connection) {
        idle.remove(connection);
    }

    /** Records that this side has ended the connection. */
    void markLingering(ClientConnection connection) {
        lingering.add(connection);
        idle.remove(connection);
    }

    boolean contains(ClientConnection connection) {
        return open.contains(connection);
    }

    int size() {
        return open.size();
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** Whether more connections than the limit may carry requests; lingering ones do not count. */
    boolean isOverLimit() {
        return open.size() - lingering.size() > maxConnections;
    }

    /** Whether one more connection may be accepted. */
    boolean hasRoom() {
        return open.size() < maxConnections + MAX_OVERFLOW_CONNECTIONS;
    }

    /** Ends the longest idle connection if over the limit, and the oldest lingering one if full. */
    void evict() {
        if (isOverLimit() && !idle.isEmpty()) {
            idle.iterator().next().shutDown();
        }
        if (!hasRoom() && !lingering.isEmpty()) {
            // It serves no further request, and new connections must not wait for its peer.
            lingering.iterator().next().closeNow();
        }
    }

    /**
     * Ends the idle connections. One whose next request has begun to arrive stays open: the request
     * gets its response, which is the last on the connection, or a timeout error.
     */
    void shutDownIdle() {
        for (ClientConnection connection : List.copyOf(idle)) {
            if (!connection.isReceivingRequest()) {
                connection.shutDown();
            }
        }
    }
}
