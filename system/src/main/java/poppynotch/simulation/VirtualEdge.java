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
import poppynotch.wire.ServerRecord;

/**
 * An edge without its data path: what it knows of the configuration, the servers and the quotas.
 */
final class VirtualEdge extends VirtualProcess implements ControlClient.Listener, ControlConnector {

    private static final long TICK_MS = 100;
    private static final long CONNECT_LIMIT_MS = 400;
    private static final long CONNECT_MS = 2;

    /** A connection to a core process. */
    final class Link implements Connection, ReplyTarget {
        private final VirtualControlPlane to;
        private final int coreLife;
        private final User user;
        private final int ofLife = life();
        private boolean open = true;

        Link(VirtualControlPlane to, User user) {
            this.to = to;
            this.user = user;
            coreLife = to.life();
        }

        @Override
        public void send(Message message) {
            if (open && message instanceof Message.Poll poll) {
                world.network().send(VirtualEdge.this, to, () -> to.core().poll(this, poll));
            }
        }

        @Override
        public void close() {
            if (open) {
                open = false;
                later(0, () -> user.closed(this));
                world.network().send(VirtualEdge.this, to, () -> to.core().closed(this));
            }
        }

        @Override
        public void reply(VirtualControlPlane from, Message message) {
            world.network()
                    .send(
                            from,
                            VirtualEdge.this,
                            () -> {
                                if (open && life() == ofLife) {
                                    user.received(this, message);
                                }
                            });
        }

        /** The core process has ended, and its machine says so. */
        void lookForReset() {
            if (open && to.life() != coreLife && to.isUp()) {
                open = false;
                user.closed(this);
            }
        }
    }

    private final SimulatedFleet world;
    private List<String> seeds;
    private final QuotaTraffic traffic;
    private final List<Link> links = new ArrayList<>();
    private ControlClient client;
    private RegisterValue value;
    private Collection<ServerRecord> servers = List.of();
    private QuotaBuckets quotas;
    private HysteresisCount sharers;

    VirtualEdge(String name, SimulatedFleet world, List<String> seeds, QuotaTraffic traffic) {
        super(name, world.time());
        this.world = world;
        this.seeds = seeds;
        this.traffic = traffic;
    }

    /** From its next start it begins with other seeds. */
    void seeds(List<String> changed) {
        seeds = changed;
    }

    @Override
    void begin() {
        value = null;
        servers = List.of();
        links.clear();
        quotas = new QuotaBuckets(traffic.tolerance());
        sharers = new HysteresisCount();
        client =
                new ControlClient(name(), name() + ":1", world.nextIncarnation(), time, this, this);
        client.know(seeds);
        every(
                TICK_MS,
                () -> {
                    List.copyOf(links).forEach(Link::lookForReset);
                    links.removeIf(link -> !link.open);
                    client.tick();
                });
    }

    /** The configuration in force. */
    Optional<RegisterValue> value() {
        return Optional.ofNullable(value);
    }

    Collection<ServerRecord> servers() {
        return servers;
    }

    /** Asks for tokens of a tenant; whether they are granted. */
    boolean take(Tenant tenant, long tokens) {
        return value != null && quotas.take(time.getAsLong(), tenant, tokens) == 0;
    }

    // ---- the connector ----

    @Override
    public void connect(String core, User user) {
        Optional<VirtualControlPlane> found = world.core(core);
        boolean open = found.isPresent() && world.network().isOpen(name(), core);
        if (!open || !found.get().isUp()) {
            later(open ? CONNECT_MS : CONNECT_LIMIT_MS, user::unreachable);
            return;
        }
        later(
                CONNECT_MS,
                () -> {
                    Link link = new Link(found.get(), user);
                    links.add(link);
                    user.connected(link);
                });
    }

    // ---- what the control plane tells ----

    @Override
    public void value(RegisterValue told) {
        world.checker().edgeTakes(this, value, told);
        value = told;
        traffic.tenant().ifPresent(tenant -> quotas.configure(time.getAsLong(), List.of(tenant)));
    }

    @Override
    public void servers(Collection<ServerRecord> told) {
        servers = List.copyOf(told);
    }

    @Override
    public void place(int edges, int number) {
        quotas.place(sharers.told(time.getAsLong(), edges));
    }

    @Override
    public void edges(List<String> addresses) {
        // Datagrams between edges are no part of control.
    }

    @Override
    public Map<String, Long> used() {
        return quotas.used(time.getAsLong());
    }

    @Override
    public long revision() {
        boolean goesBack = world.fault() == SeededDefect.EDGE_GOES_BACK;
        return value == null || goesBack ? -1 : value.revision();
    }

    @Override
    public void word(long upToMs, Map<String, Long> others, int reporting, boolean continuous) {
        world.checker().edgeVouchedFor(this, upToMs);
        quotas.word(time.getAsLong(), upToMs, others, reporting, continuous);
    }
}
