package poppynotch.router;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import poppynotch.pool.Slot;
import poppynotch.settings.ProcessSettings;

/**
 * The state that the client connections and exchanges of one edge share. Created by {@link
 * EdgeServer}, and by tests for an edge without a control plane; confined to the event loop.
 */
final class EdgeContext {

    /** Receives the events that concern other processes of the fleet. */
    interface FleetNotifier {

        /** Called before a request with a prompt is sent to a server. */
        void publishPrompt(String backend, Slot slot);

        /** Called when another server responds at the address of the server with this id. */
        void onMisdirected(String serverId);
    }

    private final EventLoop loop;

    /** Random and never 0; distinguishes this process from earlier ones of the same edge. */
    private final long incarnation = ThreadLocalRandom.current().nextLong() | 1;

    private final FleetState fleetState;
    private final UpstreamConnectionPool upstreamConnections;
    private final GracefulShutdown shutdown;
    private final RequestBodyMemory requestBodies = RequestBodyMemory.ofHeap();
    private final FleetNotifier fleetNotifier;
    private final Set<RequestExchange> activeExchanges = new LinkedHashSet<>();
    private final Set<ClientConnection> clientConnections = new LinkedHashSet<>();

    /** Creates the context of an edge whose connections are all registered with one event loop. */
    EdgeContext(EventLoop loop, ProcessSettings settings, FleetNotifier fleetNotifier) {
        this.loop = loop;
        this.fleetNotifier = fleetNotifier;
        fleetState = new FleetState(settings, incarnation);
        upstreamConnections = new UpstreamConnectionPool(loop, this::nowMs);
        shutdown = new GracefulShutdown(settings.limits().graceMs());
    }

    EventLoop loop() {
        return loop;
    }

    /** The incarnation number of this process; never 0. */
    long incarnation() {
        return incarnation;
    }

    /** The time of the edge's monotonic clock in ms. */
    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    FleetState fleetState() {
        return fleetState;
    }

    UpstreamConnectionPool upstreamConnections() {
        return upstreamConnections;
    }

    /** Allocates the bodies of client requests. */
    RequestBodyMemory requestBodies() {
        return requestBodies;
    }

    GracefulShutdown shutdown() {
        return shutdown;
    }

    /** The exchanges in flight; each exchange adds and removes itself. */
    Set<RequestExchange> activeExchanges() {
        return activeExchanges;
    }

    /** The open client connections; each connection adds and removes itself. */
    Set<ClientConnection> clientConnections() {
        return clientConnections;
    }

    FleetNotifier fleetNotifier() {
        return fleetNotifier;
    }
}
