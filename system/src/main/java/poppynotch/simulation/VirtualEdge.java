package poppynotch.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import poppynotch.config.Tenant;
import poppynotch.pool.HysteresisCount;
import poppynotch.pool.QuotaBuckets;
import poppynotch.register.RegisterValue;
import poppynotch.router.ControlClient;
import poppynotch.router.ControlConnector;
import poppynotch.wire.Message;
import poppynotch.wire.RolloutReport;
import poppynotch.wire.ServerRecord;

/**
 * An edge process without the data path. It runs the real {@link ControlClient} and stores the
 * configuration, servers and quotas that the client reports.
 */
final class VirtualEdge extends VirtualProcess implements ControlClient.Listener, ControlConnector {

    private static final long TICK_INTERVAL_MS = 100;
    private static final long CONNECT_TIMEOUT_MS = 400;
    private static final long CONNECT_MS = 2;
    private static final long REQUEST_INTERVAL_MS = 25;

    /** A connection to a control-plane replica. */
    private final class Link implements Connection, ReplyTarget {
        private final VirtualControlPlane replica;
        private final int replicaStartCount;
        private final ConnectionListener listener;
        private final int edgeStartCount = startCount();
        private boolean open = true;

        Link(VirtualControlPlane replica, ConnectionListener listener) {
            this.replica = replica;
            this.listener = listener;
            replicaStartCount = replica.startCount();
        }

        @Override
        public void send(Message message) {
            if (open && message instanceof Message.Poll poll) {
                fleet.network()
                        .send(VirtualEdge.this, replica, () -> replica.node().onPoll(this, poll));
            }
        }

        @Override
        public void close() {
            if (open) {
                open = false;
                runLater(0, () -> listener.onClosed(this));
                fleet.network()
                        .send(
                                VirtualEdge.this,
                                replica,
                                () -> replica.node().onConnectionClosed(this));
            }
        }

        @Override
        public void onReply(VirtualControlPlane from, Message message) {
            fleet.network()
                    .send(
                            from,
                            VirtualEdge.this,
                            () -> {
                                if (open && startCount() == edgeStartCount) {
                                    listener.onMessage(this, message);
                                }
                            });
        }

        /** Closes the link if the replica has restarted, as its machine would reset it. */
        void detectReset() {
            if (open && replica.startCount() != replicaStartCount && replica.isUp()) {
                open = false;
                listener.onClosed(this);
            }
        }
    }

    private final SimulatedFleet fleet;
    private List<String> seeds;
    private final QuotaTraffic traffic;
    private final List<Link> links = new ArrayList<>();
    private ControlClient client;

    /** The configuration in force; null before the first one. */
    private RegisterValue value;

    private Collection<ServerRecord> servers = List.of();
    private QuotaBuckets quotas;
    private HysteresisCount sharingEdgeCount;
    private VirtualRolloutTraffic rolloutTraffic;

    VirtualEdge(String name, SimulatedFleet fleet, List<String> seeds, QuotaTraffic traffic) {
        super(name, fleet.time());
        this.fleet = fleet;
        this.seeds = seeds;
        this.traffic = traffic;
    }

    /** Sets the control addresses that the next process starts with. */
    void seeds(List<String> nextSeeds) {
        seeds = nextSeeds;
    }

    @Override
    void onStart() {
        value = null;
        servers = List.of();
        links.clear();
        quotas = new QuotaBuckets(traffic.tolerance());
        sharingEdgeCount = new HysteresisCount();
        long incarnation = fleet.nextIncarnation();
        rolloutTraffic = new VirtualRolloutTraffic(this, fleet, incarnation);
        client = new ControlClient(name(), name() + ":1", incarnation, time, this, this);
        client.addSeeds(seeds);
        runPeriodically(TICK_INTERVAL_MS, this::tick);
        fleet.rollouts().ifPresent(this::startRequests);
    }

    private void tick() {
        List.copyOf(links).forEach(Link::detectReset);
        links.removeIf(link -> !link.open);
        client.tick();
    }

    /** Starts to send requests to the servers of one service periodically. */
    void startRequests(VirtualRollouts rollouts) {
        runPeriodically(
                REQUEST_INTERVAL_MS,
                () -> {
                    if (value != null) {
                        rolloutTraffic.onRequest(rollouts);
                    }
                });
    }

    /** The number of attempts in flight at servers of other versions than {@code version}. */
    int inFlightAtOthers(String version) {
        return rolloutTraffic.inFlightAtOthers(version);
    }

    /** The generation of the configuration in force; 0 without one. */
    long generation() {
        return value == null ? 0 : value.generation();
    }

    Collection<ServerRecord> servers() {
        return servers;
    }

    /** Requests tokens of a tenant's quota; returns whether they are granted. */
    boolean takeQuota(Tenant tenant, long tokens) {
        return value != null && quotas.acquire(time.getAsLong(), tenant, tokens) == 0;
    }

    // ---- connections for the control client ----

    @Override
    public void connect(String address, ConnectionListener listener) {
        Optional<VirtualControlPlane> replica = fleet.replica(address);
        boolean open = replica.isPresent() && fleet.network().isOpen(name(), address);
        if (!open || !replica.get().isUp()) {
            runLater(open ? CONNECT_MS : CONNECT_TIMEOUT_MS, listener::onConnectFailed);
            return;
        }
        runLater(
                CONNECT_MS,
                () -> {
                    Link link = new Link(replica.get(), listener);
                    links.add(link);
                    listener.onConnected(link);
                });
    }

    // ---- updates from the control client ----

    @Override
    public void onConfiguration(RegisterValue newValue) {
        fleet.checker().onEdgeConfigured(this, value, newValue);
        value = newValue;
        rolloutTraffic.apply(newValue.rollouts(), newValue.revision());
        traffic.tenant().ifPresent(tenant -> quotas.configure(time.getAsLong(), List.of(tenant)));
    }

    @Override
    public void onServersChanged(Collection<ServerRecord> newServers) {
        servers = List.copyOf(newServers);
    }

    @Override
    public void onEdgePosition(int edges, int number) {
        quotas.setEdgeCount(sharingEdgeCount.update(time.getAsLong(), edges));
    }

    @Override
    public void onEdgeAddressesChanged(List<String> addresses) {
        // Datagrams between edges are not simulated.
    }

    @Override
    public void onConfirmed(long upToMs) {
        rolloutTraffic.onConfirmed(upToMs);
    }

    @Override
    public List<RolloutReport> rolloutReports() {
        return rolloutTraffic.reports();
    }

    @Override
    public Map<String, Long> usageSinceStart() {
        return quotas.useToReport(time.getAsLong());
    }

    @Override
    public long receivedRevision() {
        boolean acceptsOlderValues = fleet.defect() == SeededDefect.EDGE_GOES_BACK;
        return value == null || acceptsOlderValues ? -1 : value.revision();
    }

    @Override
    public void onUsageByOthers(
            long upToMs, Map<String, Long> others, int reporting, boolean continuous) {
        fleet.checker().onEdgeConfirmed(this, upToMs);
        quotas.onUpdate(time.getAsLong(), upToMs, others, reporting, continuous);
    }
}
