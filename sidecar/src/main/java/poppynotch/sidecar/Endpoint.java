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

    /** The most recently used last. */
    private final Deque<EndpointConnection> idleConnections = new ArrayDeque<>();

    /** Raised when the endpoint's connections are of no more use; older ones are not used again. */
    private int generation;

    /** Its list wants nothing new to go there. */
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

    /** Takes over what a list says; connections to another process or address are closed. */
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
     * An idle connection that is as it was left, or null. Bytes that have arrived on one since
     * then, or its end, may not have been read yet: the connection is read now, as they must not be
     * taken for a response. Connections that are not as they were left are closed.
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
