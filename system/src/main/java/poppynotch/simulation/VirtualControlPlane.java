package poppynotch.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import poppynotch.control.AcceptorSetPlanner;
import poppynotch.control.ControlPlaneNode;
import poppynotch.control.PeerNetwork;
import poppynotch.control.QuorumContact;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.register.Ballot;
import poppynotch.register.RegisterMessage;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** A core machine: its disk outlives its processes. */
final class VirtualControlPlane extends VirtualProcess implements PeerNetwork {

    private static final long TICK_MS = 50;
    private static final long HEARTBEAT_MS = 1200;
    private static final int MOST_UNECHOED = 64;
    private static final long FORGET_MS = 30_000;

    private final SimulatedFleet world;
    private final VirtualDisk disk;
    private final List<String> seeds;
    private final boolean bootstrap;
    private final Map<String, Long> namedMs = new HashMap<>();
    private final Map<Long, Long> sentMs = new LinkedHashMap<>();
    private final Map<String, Integer> greeted = new HashMap<>();
    private long sequence;
    private QuorumContact contact;
    private ControlPlaneNode<ReplyTarget> core;

    VirtualControlPlane(String name, SimulatedFleet world, List<String> seeds, boolean bootstrap) {
        super(name, world.time());
        this.world = world;
        this.seeds = seeds;
        this.bootstrap = bootstrap;
        disk = new VirtualDisk(world.time(), world.fault() == SeededDefect.ANSWER_BEFORE_SYNC);
    }

    VirtualDisk disk() {
        return disk;
    }

    ControlPlaneNode<ReplyTarget> core() {
        return core;
    }

    @Override
    void begin() {
        namedMs.clear();
        sentMs.clear();
        greeted.clear();
        boolean first = life() == 1 && bootstrap;
        if (disk.read().isEmpty()
                && (first || world.fault() == SeededDefect.RECOVER_WITHOUT_COVER)) {
            disk.writeFirst(AcceptorState.initial(AcceptorSet.of(seeds)));
        }
        contact = new QuorumContact(name());
        core =
                new ControlPlaneNode<>(
                        new ControlPlaneNode.Start(
                                name(),
                                world.nextIncarnation(),
                                seeds,
                                maintenance(),
                                HEARTBEAT_MS,
                                disk.read()),
                        time,
                        action -> later(0, action),
                        this,
                        contact,
                        (state, kept) -> disk.persist(state, () -> run(kept)),
                        (target, message) -> target.reply(this, message));
        core.seeds(seeds);
        every(TICK_MS, core::tick);
    }

    private AcceptorSetPlanner maintenance() {
        return world.fault() == SeededDefect.PLACE_NEVER_HANDED_ON
                ? new DefectiveSetPlanner(world.tolerated())
                : new AcceptorSetPlanner(world.tolerated());
    }

    @Override
    void kill() {
        super.kill();
        disk.processEnds();
    }

    // ---- peers ----

    @Override
    public void know(String address, long nowMs) {
        if (!address.equals(name())) {
            namedMs.put(address, nowMs);
        }
    }

    @Override
    public List<String> known() {
        Set<String> all = new TreeSet<>(namedMs.keySet());
        all.add(name());
        return new ArrayList<>(all);
    }

    @Override
    public List<String> inContact(long nowMs, long withinMs) {
        return known().stream().filter(peer -> contact.ageMs(nowMs, peer) <= withinMs).toList();
    }

    @Override
    public void send(String peer, Message message) {
        Optional<VirtualControlPlane> found =
                namedMs.containsKey(peer) ? world.core(peer) : Optional.empty();
        found.ifPresent(
                to ->
                        altered(message)
                                .forEach(
                                        sent ->
                                                world.network()
                                                        .send(
                                                                this,
                                                                to,
                                                                () ->
                                                                        to.core.received(
                                                                                name(), sent))));
    }

    @Override
    public void sendToAll(Message message) {
        List.copyOf(namedMs.keySet()).forEach(peer -> send(peer, message));
    }

    @Override
    public long nextBeat(long nowMs) {
        sentMs.put(++sequence, nowMs);
        if (sentMs.size() > MOST_UNECHOED) {
            sentMs.remove(sentMs.keySet().iterator().next());
        }
        return sequence;
    }

    @Override
    public long echoed(String peer, long beat) {
        return sentMs.getOrDefault(beat, -1L);
    }

    @Override
    public void tick(long nowMs) {
        namedMs.values().removeIf(at -> nowMs - at > FORGET_MS);
        for (String peer : List.copyOf(namedMs.keySet())) {
            world.core(peer)
                    .filter(to -> to.isUp() && world.network().isOpen(name(), peer))
                    .filter(to -> greeted.getOrDefault(peer, -1) != to.life())
                    .ifPresent(
                            to -> {
                                greeted.put(peer, to.life());
                                world.network().send(this, to, () -> to.core.hello(name()));
                            });
        }
    }

    // ---- seeded faults ----

    private List<Message> altered(Message message) {
        return switch (world.fault()) {
            case VOUCH_WITHOUT_READ ->
                    message instanceof Message.HeartbeatReply echo
                            ? List.of(
                                    new Message.HeartbeatReply(
                                            echo.sequence(), true, Ballot.ZERO, echo.kept()))
                            : List.of(message);
            case ACKNOWLEDGED_BEFORE_QUORUM -> acceptedByAll(message);
            case ANNOUNCED_BEFORE_CHOSEN ->
                    message instanceof Message.RegisterVote vote
                                    && vote.vote() instanceof RegisterMessage.Accept accept
                            ? List.of(
                                    new Message.ValueChosen(accept.ballot(), accept.value()),
                                    message)
                            : List.of(message);
            case TOMBSTONE_DROPPED -> withoutTombstones(message);
            case DRAIN_HELD_BY_ONE ->
                    message instanceof Message.ServersChanged changed
                            ? heldAtOnce(changed)
                            : List.of(message);
            default -> List.of(message);
        };
    }

    /** A proposal is taken for accepted by all as soon as it is sent to one. */
    private List<Message> acceptedByAll(Message message) {
        if (message instanceof Message.RegisterVote vote
                && vote.vote() instanceof RegisterMessage.Accept accept) {
            Message accepted =
                    new Message.RegisterVote(new RegisterMessage.Accepted(accept.ballot()));
            for (VirtualControlPlane other : world.cores()) {
                later(0, () -> core.received(other.name(), accepted));
            }
        }
        return List.of(message);
    }

    private static List<Message> withoutTombstones(Message message) {
        if (message instanceof Message.ServersChanged changed) {
            return List.of(
                    new Message.ServersChanged(changed.request(), living(changed.servers())));
        }
        if (message instanceof Message.RegistrySnapshot snapshot) {
            return List.of(
                    new Message.RegistrySnapshot(snapshot.complete(), living(snapshot.servers())));
        }
        return List.of(message);
    }

    private static List<ServerRecord> living(List<ServerRecord> servers) {
        return servers.stream().filter(server -> server.state() != ServerState.LEFT).toList();
    }

    private List<Message> heldAtOnce(Message.ServersChanged changed) {
        for (VirtualControlPlane other : world.cores()) {
            later(
                    0,
                    () ->
                            core.received(
                                    other.name(),
                                    new Message.ServersAcknowledged(changed.request())));
        }
        return List.of();
    }
}
