package poppynotch.sidecar;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import poppynotch.balancer.ServerState;

/**
 * One endpoint as the last list describes it, and the idle connections to it. It is owned by {@link
 * EndpointPool} and used on the sidecar's event loop only.
 */
final class Endpoint {

    private final String id;
    private InetSocketAddress address;
    private double startedMs;

    /** The most recently used connection is last. */
    private final Deque<EndpointConnection> idleConnections = new ArrayDeque<>();

    /** Incremented when open connections must not be reused; they keep their generation. */
    private int generation;

    /** The last list allows no new requests to the endpoint. */
    private boolean draining;

    Endpoint(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    InetSocketAddress address() {
        return address;
    }

    int generation() {
        return generation;
    }

    boolean isDraining() {
        return draining;
    }

    /** Applies an entry of a list; connections to an earlier process or address are closed. */
    void update(ServerList.Entry entry) {
        if (!entry.address().equals(address) || entry.server().startedMs() != startedMs) {
            invalidateConnections();
        }
        address = entry.address();
        startedMs = entry.server().startedMs();
        draining = entry.server().state() != ServerState.READY;
    }

    /** Closes the idle connections now, and the busy ones once they are idle. */
    void invalidateConnections() {
        generation++;
        closeIdleConnections();
    }

    /** Closes the idle connections. */
    void closeIdleConnections() {
        for (EndpointConnection connection : List.copyOf(idleConnections)) {
            connection.close();
        }
    }

    void addIdle(EndpointConnection connection) {
        idleConnections.addLast(connection);
    }

    void removeIdle(EndpointConnection connection) {
        idleConnections.remove(connection);
    }

    /**
     * Returns the most recently used idle connection that can be reused, or null. Bytes that
     * arrived on an idle connection, or its close, may not have been read yet and must not be taken
     * for a response, so each candidate is read first, and closed if it cannot be reused.
     */
    EndpointConnection findUsableIdle() {
        EndpointConnection last = idleConnections.peekLast();
        while (last != null && !last.isUsable()) {
            last.close();
            last = idleConnections.peekLast();
        }
        return last;
    }
}
