package poppynotch.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import poppynotch.control.AcceptorSetPlanner;
import poppynotch.control.ControlPlaneNode;
import poppynotch.control.PeerNetwork;
import poppynotch.control.QuorumContact;
import poppynotch.control.StateStorage;
import poppynotch.register.AcceptorRecovery;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.rollout.ExposureLimits;
import poppynotch.wire.Message;

/**
 * The machine of a control-plane replica: its disk, and a process that runs the real {@link
 * ControlPlaneNode} with a virtual network to its peers. The disk persists across restarts.
 */
final class VirtualControlPlane extends VirtualProcess implements PeerNetwork {

    private static final long TICK_INTERVAL_MS = 50;
    private static final long REGISTRATION_INTERVAL_MS = 1200;

    static final double EXPOSURE_SHARE = 0.1;
    static final double EXPOSURE_SLACK_REQUESTS = 50;

    /** Rounds of 500 ms that neither skip ballots nor start at once after a rejection. */
    private static final AcceptorRecovery.Settings STARVING_RECOVERY =
            new AcceptorRecovery.Settings(0, 500, 500, 500, 500);

    /** How many heartbeats have their send times stored; older ones are removed. */
    private static final int MAX_UNACKNOWLEDGED_HEARTBEATS = 64;

    /** A peer that is not added again within this time is removed. */
    private static final long PEER_EXPIRY_MS = 30_000;

    private final SimulatedFleet fleet;
    private final VirtualDisk disk;
    private final List<String> seeds;
    private final boolean bootstrap;
    private final DefectiveMessages defectiveMessages;

    /** The known peers, and when each was last added. */
    private final Map<String, Long> lastAddedMs = new HashMap<>();

    /** The addresses of the known peers and of this replica, sorted; null after a change. */
    private List<String> knownReplicas;

    /** When the latest heartbeats were sent, by sequence number. */
    private final Map<Long, Long> heartbeatSentMs = new LinkedHashMap<>();

    /** The start count of each peer's process to which the last hello was sent. */
    private final Map<String, Integer> helloStartCounts = new HashMap<>();

    private long heartbeatSequence;
    private QuorumContact contact;
    private ControlPlaneNode<ReplyTarget> node;

    /**
     * Creates a machine with an empty disk that has not started.
     *
     * @param bootstrap whether its first process initializes the disk as one of the founders
     */
    VirtualControlPlane(String name, SimulatedFleet fleet, List<String> seeds, boolean bootstrap) {
        super(name, fleet.time());
        this.fleet = fleet;
        this.seeds = seeds;
        this.bootstrap = bootstrap;
        disk = new VirtualDisk(fleet.time(), fleet.defect());
        defectiveMessages = new DefectiveMessages(fleet.defect(), this::receiveFromAll);
    }

    VirtualDisk disk() {
        return disk;
    }

    /** The node of the latest process. */
    ControlPlaneNode<ReplyTarget> node() {
        return node;
    }

    @Override
    void onStart() {
        lastAddedMs.clear();
        knownReplicas = null;
        heartbeatSentMs.clear();
        helloStartCounts.clear();
        boolean firstIncarnation = bootstrapDisk();
        contact = new QuorumContact(name());
        node =
                new ControlPlaneNode<>(
                        new ControlPlaneNode.Config(
                                name(),
                                fleet.nextIncarnation(),
                                seeds,
                                newSetPlanner(),
                                REGISTRATION_INTERVAL_MS,
                                disk.acceptor().read(),
                                disk.departures().read().orElse(List.of()),
                                firstIncarnation,
                                recoverySettings(),
                                new ExposureLimits(EXPOSURE_SHARE, EXPOSURE_SLACK_REQUESTS)),
                        time,
                        action -> runLater(0, action),
                        this,
                        contact,
                        new ControlPlaneNode.Storage(
                                storageOf(disk.acceptor()), storageOf(disk.departures())),
                        (target, message) -> target.onReply(this, message));
        node.updateSeeds(seeds);
        runPeriodically(TICK_INTERVAL_MS, node::tick);
    }

    /** A file whose callbacks run in the replica's process. */
    private <S> StateStorage<S> storageOf(VirtualFile<S> file) {
        return (state, onDurable) -> file.persist(state, () -> run(onDurable));
    }

    /** Initializes the disk of a founder's first process; returns whether it did. */
    private boolean bootstrapDisk() {
        boolean isFirstStart = startCount() == 1 && bootstrap;
        boolean bootstrapsAlways = fleet.defect() == SeededDefect.RECOVER_WITHOUT_COVER;
        if (disk.acceptor().read().isEmpty() && (isFirstStart || bootstrapsAlways)) {
            disk.acceptor().bootstrap(AcceptorState.initial(AcceptorSet.of(seeds)));
            return true;
        }
        return false;
    }

    private AcceptorRecovery.Settings recoverySettings() {
        return fleet.defect() == SeededDefect.RECOVERY_STARVES
                ? STARVING_RECOVERY
                : AcceptorRecovery.Settings.DEFAULT;
    }

    private AcceptorSetPlanner newSetPlanner() {
        return switch (fleet.defect()) {
            case PLACE_NEVER_HANDED_ON, ACKNOWLEDGED_BY_FOUNDERS, SET_CHANGE_OF_ANY_SET ->
                    new DefectiveSetPlanner(fleet.toleratedLosses(), fleet.defect());
            default -> new AcceptorSetPlanner(fleet.toleratedLosses());
        };
    }

    @Override
    void kill() {
        super.kill();
        disk.onProcessEnded();
    }

    private void receiveFromAll(Message message) {
        for (VirtualControlPlane sender : fleet.replicas()) {
            runLater(0, () -> node.onMessage(sender.name(), message));
        }
    }

    // ---- the peer network of the node ----

    @Override
    public void addPeer(String address, long nowMs) {
        if (!address.equals(name()) && lastAddedMs.put(address, nowMs) == null) {
            knownReplicas = null;
        }
    }

    @Override
    public List<String> knownReplicas() {
        if (knownReplicas == null) {
            Set<String> addresses = new TreeSet<>(lastAddedMs.keySet());
            addresses.add(name());
            knownReplicas = List.copyOf(addresses);
        }
        return knownReplicas;
    }

    @Override
    public List<String> reachableReplicas(long nowMs, long withinMs) {
        List<String> reachable = new ArrayList<>();
        for (String peer : knownReplicas()) {
            if (contact.contactAgeMs(nowMs, peer) <= withinMs) {
                reachable.add(peer);
            }
        }
        return reachable;
    }

    @Override
    public void send(String peer, Message message) {
        if (lastAddedMs.containsKey(peer)) {
            fleet.replica(peer)
                    .ifPresent(
                            receiver ->
                                    defectiveMessages
                                            .inPlaceOf(message)
                                            .forEach(sent -> send(receiver, sent)));
        }
    }

    private void send(VirtualControlPlane receiver, Message message) {
        fleet.network().send(this, receiver, () -> receiver.node.onMessage(name(), message));
    }

    @Override
    public void sendToAll(Message message) {
        List.copyOf(lastAddedMs.keySet()).forEach(peer -> send(peer, message));
    }

    @Override
    public long nextHeartbeatSequence(long nowMs) {
        heartbeatSequence++;
        heartbeatSentMs.put(heartbeatSequence, nowMs);
        if (heartbeatSentMs.size() > MAX_UNACKNOWLEDGED_HEARTBEATS) {
            heartbeatSentMs.remove(heartbeatSentMs.keySet().iterator().next());
        }
        return heartbeatSequence;
    }

    @Override
    public long onHeartbeatReply(String peer, long sequence) {
        return heartbeatSentMs.getOrDefault(sequence, -1L);
    }

    @Override
    public void tick(long nowMs) {
        if (lastAddedMs.values().removeIf(addedMs -> nowMs - addedMs > PEER_EXPIRY_MS)) {
            knownReplicas = null;
        }
        for (String peer : lastAddedMs.keySet()) {
            fleet.replica(peer)
                    .filter(other -> other.isUp() && !hasSentHello(other))
                    .filter(other -> fleet.network().isOpen(name(), peer))
                    .ifPresent(this::sendHello);
        }
    }

    private boolean hasSentHello(VirtualControlPlane peer) {
        return helloStartCounts.getOrDefault(peer.name(), -1) == peer.startCount();
    }

    private void sendHello(VirtualControlPlane peer) {
        helloStartCounts.put(peer.name(), peer.startCount());
        fleet.network().send(this, peer, () -> peer.node.onHello(name()));
        node.onPeerConnected(peer.name());
    }
}
