package poppynotch.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The fleet of one simulation run: control-plane replicas, edges, servers and operators on one
 * virtual clock and network. It is confined to one thread, and its events run during calls of
 * {@link VirtualTime#runUntil}.
 */
final class SimulatedFleet {

    private static final int EDGE_COUNT = 3;
    private static final int SERVER_COUNT = 4;
    private static final int FOUNDER_COUNT = 3;
    private static final long CHECK_INTERVAL_MS = 50;
    private static final int MAX_START_DELAY_MS = 300;
    private static final int MAX_SERVER_START_DELAY_MS = 1000;
    private static final long TRAFFIC_START_MS = 5000;

    /** Difference between successive incarnations; the only one with non-unique ballots. */
    private static final long INCARNATION_STEP = 7919;

    private final ClusterSize size;
    private final SeededDefect defect;
    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final VirtualNetwork network;
    private final InvariantChecker checker;
    private final Map<String, VirtualControlPlane> replicas = new LinkedHashMap<>();
    private final List<VirtualEdge> edges = new ArrayList<>();
    private final List<VirtualServer> servers = new ArrayList<>();
    private final VirtualOperator operator;
    private final QuotaTraffic traffic;
    private Optional<VirtualRollouts> rollouts = Optional.empty();

    /** Faults for the replica that next acknowledges a call, by the class of the caller. */
    private final Map<Class<?>, Consumer<VirtualControlPlane>> armedFaults = new HashMap<>();

    private long incarnationCount;
    private int nextReplicaNumber;

    SimulatedFleet(long seed, ClusterSize size, SeededDefect defect, QuotaTraffic traffic) {
        this.size = size;
        this.defect = defect;
        this.traffic = traffic;
        random = new SplittableRandom(seed);
        network = new VirtualNetwork(time, random.split());
        checker = new InvariantChecker(this);
        operator = new VirtualOperator(this, random.split());
    }

    /** Creates all processes and schedules their starts. */
    void start() {
        List<String> founders = new ArrayList<>();
        for (int i = 0; i < FOUNDER_COUNT; i++) {
            founders.add(replicaAddress(i));
        }
        for (int i = 0; i < size.replicas(); i++) {
            addReplica(founders, true);
        }
        int edgeCount = traffic.tenant().isPresent() ? size.quotaEdges() : EDGE_COUNT;
        for (int i = 0; i < edgeCount; i++) {
            addEdge("edge" + i, founders);
        }
        if (traffic.tenant().isEmpty()) {
            new FreshnessProbe(this).start();
        }
        for (int i = 0; i < SERVER_COUNT; i++) {
            addServer();
        }
        operator.start();
        time.after(TRAFFIC_START_MS, () -> traffic.start(this, random.split()));
        checkPeriodically();
    }

    private void checkPeriodically() {
        time.after(CHECK_INTERVAL_MS, this::checkPeriodically);
        checker.checkEdges();
        checker.checkAcceptorSets();
        checker.checkVotes();
    }

    private static String replicaAddress(int number) {
        return "core" + number + ":1";
    }

    /**
     * Adds a replica with an empty disk at a new address; it starts at once unless bootstrapped.
     */
    VirtualControlPlane addReplica(List<String> seeds, boolean bootstrap) {
        String address = replicaAddress(nextReplicaNumber);
        nextReplicaNumber++;
        VirtualControlPlane replica = new VirtualControlPlane(address, this, seeds, bootstrap);
        replicas.put(replica.name(), replica);
        time.after(bootstrap ? random.nextInt(MAX_START_DELAY_MS) : 0, replica::start);
        return replica;
    }

    /** Kills a replica and removes its machine for good. */
    void removeReplica(String name) {
        replica(name).ifPresent(VirtualControlPlane::kill);
        replicas.remove(name);
    }

    private void addEdge(String name, List<String> seeds) {
        VirtualEdge edge = new VirtualEdge(name, this, seeds, traffic);
        edges.add(edge);
        time.after(random.nextInt(MAX_START_DELAY_MS), edge::start);
    }

    /** Adds a server without a version, which starts after a random delay. */
    VirtualServer addServer() {
        return addServer("");
    }

    /** Adds a server that reports a version and starts after a random delay. */
    VirtualServer addServer(String version) {
        VirtualServer server =
                new VirtualServer("i" + servers.size(), version, this, random.split());
        servers.add(server);
        time.after(random.nextInt(MAX_SERVER_START_DELAY_MS), server::start);
        return server;
    }

    /** Starts rollouts of new server versions and the requests to the servers. */
    void startRollouts() {
        VirtualRollouts started = new VirtualRollouts(this, random.split(), checker::reportRollout);
        rollouts = Optional.of(started);
        started.start();
        edges.stream().filter(VirtualEdge::isUp).forEach(edge -> edge.startRequests(started));
    }

    /** The rollouts of this run; empty unless the schedule has them. */
    Optional<VirtualRollouts> rollouts() {
        return rollouts;
    }

    int toleratedLosses() {
        return size.toleratedLosses();
    }

    SeededDefect defect() {
        return defect;
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

    /** All control-plane replicas that have not been removed, up or down. */
    List<VirtualControlPlane> replicas() {
        return List.copyOf(replicas.values());
    }

    Optional<VirtualControlPlane> replica(String name) {
        return Optional.ofNullable(replicas.get(name));
    }

    List<VirtualEdge> edges() {
        return edges;
    }

    List<VirtualServer> servers() {
        return servers;
    }

    /** Whether operators and servers can reach a replica. */
    boolean isReachableFromOutside(VirtualControlPlane replica) {
        return replica.isUp() && network.isOpen(FaultInjector.EXTERNAL_CALLERS, replica.name());
    }

    /**
     * Arms a fault that is injected once, into the replica that next acknowledges a call of {@code
     * caller}. It replaces any armed fault of the same caller.
     */
    void armFaultAtNextAcknowledgement(Class<?> caller, Consumer<VirtualControlPlane> fault) {
        armedFaults.put(caller, fault);
    }

    /** Called when a replica acknowledges a call; triggers the armed fault of the caller. */
    void onAcknowledged(Class<?> caller, VirtualControlPlane replica) {
        Consumer<VirtualControlPlane> fault = armedFaults.remove(caller);
        if (fault != null) {
            time.after(0, () -> fault.accept(replica));
        }
    }

    long nextIncarnation() {
        incarnationCount++;
        return defect == SeededDefect.BALLOTS_NOT_UNIQUE
                ? INCARNATION_STEP
                : incarnationCount * INCARNATION_STEP;
    }
}
