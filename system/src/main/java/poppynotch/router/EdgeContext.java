package poppynotch.router;

import io.netty.channel.EventLoop;
import java.util.Set;

/** What the parts of an edge share. */
interface EdgeContext {

    EventLoop loop();

    /** Milliseconds on the steady clock. */
    long now();

    FleetState state();

    UpstreamConnections connections();

    /** The requests in hand. */
    Set<Exchange> active();

    /** Whether the servers of a service run a model. */
    boolean hasEngine(String backend);

    /** The address of a server belongs to another one by now. */
    void misdirected(String serverId);

    /** Whether clients are to go elsewhere: the process ends. */
    boolean isDraining();

    Set<ClientConnection> clients();
}
