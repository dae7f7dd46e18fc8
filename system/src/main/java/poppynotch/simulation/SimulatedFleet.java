package poppynotch.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Core processes, edges, servers and an operator on one virtual clock and network. */
final class SimulatedFleet {

    private static final int EDGES = 3;
    private static final int SERVERS = 4;
    private static final int FOUNDERS = 3;
    private static final long STEP_MS = 50;

    private final ClusterSize size;
    private final SeededDefect fault;
    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final VirtualNetwork network;
    private final InvariantChecker checker;
    private final Map<String, VirtualControlPlane> cores = new LinkedHashMap<>();
    private final List<VirtualEdge> edges = new ArrayList<>();
    private final List<VirtualServer> servers = new ArrayList<>();
    private final VirtualOperator operator;
    private final QuotaTraffic traffic;
    private final Map<Class<?>, Consumer<VirtualControlPlane>> strikes = new HashMap<>();
    private long incarnations;
    private int named;

    SimulatedFleet(long seed, ClusterSize size, SeededDefect fault, QuotaTraffic traffic) {
        this.size = size;
        this.fault = fault;
        this.traffic = traffic;
        random = new SplittableRandom(seed);
        network = new VirtualNetwork(time, random.split());
        checker = new InvariantChecker(this);
        operator = new VirtualOperator(this, random.split());
    }

    /** Starts everything. */
    void begin() {
        List<String> founders = new ArrayList<>();
        for (int i = 0; i < FOUNDERS; i++) {
            founders.add(coreName(i));
        }
        for (int i = 0; i < size.cores(); i++) {
            addCore(founders, true);
        }
        for (int i = 0; i < (traffic.tenant().isPresent() ? size.quotaEdges() : EDGES); i++) {
            VirtualEdge edge = new VirtualEdge("edge" + i, this, founders, traffic);
            edges.add(edge);
            time.after(random.nextInt(300), edge::start);
        }
        if (traffic.tenant().isEmpty()) {
            new FreshnessProbe(this).start();
        }
        for (int i = 0; i < SERVERS; i++) {
            addServer();
        }
        operator.begin();
        time.after(5000, () -> traffic.begin(this, random.split()));
        watch();
    }

    private void watch() {
        time.after(STEP_MS, this::watch);
        checker.look();
    }

    private static String coreName(int number) {
        return "core" + number + ":1";
    }

    /** A core machine with an empty disk at a new address; it starts at once. */
    VirtualControlPlane addCore(List<String> seeds, boolean bootstrap) {
        VirtualControlPlane core =
                new VirtualControlPlane(coreName(named++), this, seeds, bootstrap);
        cores.put(core.name(), core);
        time.after(bootstrap ? random.nextInt(300) : 0, core::start);
        return core;
    }

    /** A core machine is gone for good. */
    void removeCore(String name) {
        core(name).ifPresent(VirtualControlPlane::kill);
        cores.remove(name);
    }

    /** A server that begins to register. */
    VirtualServer addServer() {
        VirtualServer server = new VirtualServer("i" + servers.size(), this, random.split());
        servers.add(server);
        time.after(random.nextInt(1000), server::begin);
        return server;
    }

    ClusterSize size() {
        return size;
    }

    int tolerated() {
        return size.tolerated();
    }

    SeededDefect fault() {
        return fault;
    }

    VirtualTime time() {
        return time;
    }

    VirtualNetwork network() {
        return network;
    }

    InvariantChecker checker() {
        return checker;
    }

    VirtualOperator operator() {
        return operator;
    }

    QuotaTraffic traffic() {
        return traffic;
    }

    /** All core machines that are not gone for good. */
    List<VirtualControlPlane> cores() {
        return List.copyOf(cores.values());
    }

    Optional<VirtualControlPlane> core(String name) {
        return Optional.ofNullable(cores.get(name));
    }

    List<VirtualEdge> edges() {
        return edges;
    }

    List<VirtualServer> servers() {
        return servers;
    }

    /** Whether operators and servers reach a core machine. */
    boolean isReachableFromOutside(VirtualControlPlane core) {
        return core.isUp() && network.isOpen(FaultInjector.OUTSIDE, core.name());
    }

    /** What happens to the core process that next acknowledges a call of such a caller; once. */
    void strikeAtNextAcknowledgement(Class<?> caller, Consumer<VirtualControlPlane> strike) {
        strikes.put(caller, strike);
    }

    /** A core process acknowledges a call. */
    void acknowledged(Class<?> caller, VirtualControlPlane core) {
        Consumer<VirtualControlPlane> strike = strikes.remove(caller);
        if (strike != null) {
            time.after(0, () -> strike.accept(core));
        }
    }

    long nextIncarnation() {
        incarnations++;
        return fault == SeededDefect.BALLOTS_NOT_UNIQUE ? 7919 : incarnations * 7919;
    }
}
