package poppynotch.router;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import poppynotch.pool.Slot;
import poppynotch.settings.ProcessSettings;
import poppynotch.settings.SettingsResult;

/** An edge without a control plane, for tests of its parts. */
final class TestEdge implements EdgeContext {

    private final FleetState state;
    private final EventLoop loop;
    private final UpstreamConnectionPool connections;
    private final List<String> misdirected;
    private final Set<RequestExchange> active = new LinkedHashSet<>();
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    boolean draining;
    boolean takesNothingNew;

    TestEdge(EventLoop loop, String settings, List<String> misdirected) {
        this.loop = loop;
        this.misdirected = misdirected;
        state = new FleetState(((SettingsResult.Good) ProcessSettings.parse(settings)).settings());
        connections = new UpstreamConnectionPool(loop, this::now);
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public FleetState state() {
        return state;
    }

    @Override
    public UpstreamConnectionPool connections() {
        return connections;
    }

    @Override
    public Set<RequestExchange> active() {
        return active;
    }

    @Override
    public void announce(String backend, Slot slot) {
        // There is no other edge.
    }

    @Override
    public boolean hasEngine(String backend) {
        return false;
    }

    @Override
    public void misdirected(String serverId) {
        misdirected.add(serverId);
    }

    @Override
    public boolean takesNothingNew() {
        return takesNothingNew;
    }

    @Override
    public boolean isDraining() {
        return draining;
    }

    @Override
    public Set<ClientConnection> clients() {
        return clients;
    }
}
