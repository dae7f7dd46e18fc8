package poppynotch.router;

import io.netty.channel.EventLoop;
import java.util.Set;
import poppynotch.pool.Slot;

/** What the parts of an edge share. */
interface EdgeContext {

    EventLoop loop();

    /** Milliseconds on the steady clock. */
    long now();

    FleetState state();

    UpstreamConnectionPool connections();

    /** The requests in hand. */
    Set<RequestExchange> active();

    /** A prompt goes to a server: the other edges are told. */
    void announce(String backend, Slot slot);

    /** Whether the servers of a service run a model. */
    boolean hasEngine(String backend);

    /** The address of a server belongs to another one by now. */
    void misdirected(String serverId);

    /** Whether clients are to go elsewhere: the process ends. */
    boolean isDraining();

    /** The process ends soon: what comes now might not be answered in time, and is refused. */
    boolean takesNothingNew();

    Set<ClientConnection> clients();
}
