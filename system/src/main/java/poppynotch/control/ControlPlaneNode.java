package poppynotch.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.DocumentCodec;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.register.Ballot;
import poppynotch.register.Change;
import poppynotch.register.Outcome;
import poppynotch.register.RegisterMessage;
import poppynotch.register.RegisterValue;
import poppynotch.wire.EdgeLease;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;

/**
 * A core process without its sockets, disk and clock: its replica of the register, the registry of
 * servers, the edges' leases, and what other core processes, operators, servers and edges say and
 * are told. All of it belongs to one owner, which calls it from one thread.
 *
 * @param <C> what stands for an edge's connection
 */
public final class ControlPlaneNode<C> implements RegisterReplica.Host, LongPollService.Source {

    private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneNode.class);

    public static final long BEAT_MS = 200;

    /**
     * Without a quorum that confirms the value held for so long, this process vouches for nothing.
     */
    static final long FENCED_MS = 1000;

    /** What this process says of the registry counts as stale after a time without a quorum. */
    private static final long REGISTRY_STALE_MS = 2000;

    /** An operator's order without an outcome after this time is answered as unclear. */
    static final long ORDER_LIMIT_MS = 2500;

    private static final long CONTACT_MS = 2000;
    private static final long SEEDS_MS = 500;

    /**
     * What the process is given.
     *
     * @param maintenance decides how the set of acceptors should change
     * @param seeds control addresses of core processes by the settings
     * @param kept the acceptor's state on disk, if there is one
     */
    public record Start(
            String self,
            long incarnation,
            List<String> seeds,
            AcceptorSetPlanner maintenance,
            long heartbeatMs,
            Optional<AcceptorState> kept) {}

    /** An answer to a read of the configuration: its JSON, or empty if the newest isn't sure. */
    public interface ConfigReader extends Consumer<Optional<byte[]>> {}

    private final String self;
    private final LongSupplier clock;
    private final Executor owner;
    private final PeerNetwork peers;
    private final QuorumContact contact;
    private final ServerRegistry registry;
    private final EdgeDirectory edges = new EdgeDirectory();
    private final LongPollService<C> polls;
    private final RegistryReplicator servers;
    private final RegisterReplica register;
    private final RoleElection election;
    private final AcceptorSetManager acceptors;

    /** Those of the acceptors are known besides. */
    private List<String> seeds;

    private long nextBeatMs;
    private long lastBeatMs;
    private long nextSeedsMs;
    private boolean newsPending;
    private boolean fenced = true;
    private long fencedSinceMs;

    /**
     * A core process.
     *
     * @param contact the one that {@code peers} asks too
     * @param owner runs a task later on the owner's thread
     * @param replies sends a message to an edge
     */
    public ControlPlaneNode(
            Start start,
            LongSupplier clock,
            Executor owner,
            PeerNetwork peers,
            QuorumContact contact,
            AcceptorStorage storage,
            BiConsumer<C, Message> replies) {
        self = start.self();
        seeds = start.seeds();
        this.clock = clock;
        this.owner = owner;
        this.peers = peers;
        this.contact = contact;
        long now = clock.getAsLong();
        registry = new ServerRegistry(now, start.heartbeatMs());
        polls = new LongPollService<>(start.incarnation(), registry, edges, this, clock, replies);
        register =
                new RegisterReplica(
                        self,
                        start.incarnation(),
                        start.kept(),
                        AcceptorSet.of(List.of()),
                        storage,
                        this);
        servers =
                new RegistryReplicator(
                        self, registry, peers, register::acceptors, this::isFenced, this::news);
        election =
                new RoleElection(
                        self,
                        now,
                        start.incarnation(),
                        term -> peers.sendToAll(new Message.RoleClaim(term)));
        acceptors =
                new AcceptorSetManager(
                        self,
                        start.maintenance(),
                        register,
                        peers,
                        contact,
                        election,
                        this::isFenced);
    }

    // ---- time ----

    /** Time has passed. */
    public void tick() {
        long now = clock.getAsLong();
        if (now >= nextSeedsMs) {
            nextSeedsMs = now + SEEDS_MS;
            seeds.forEach(seed -> peers.know(seed, now));
            register.acceptors().everyone().forEach(acceptor -> peers.know(acceptor, now));
        }
        peers.tick(now);
        register.tick(now);
        watchQuorum(now);
        servers.tick(now);
        edges.tick(now);
        polls.tick(now);
        if (now >= nextBeatMs) {
            beat(now);
        }
        acceptors.tick(now);
    }

    /** The settings have changed. */
    public void seeds(List<String> changed) {
        seeds = changed;
        seeds.forEach(seed -> peers.know(seed, clock.getAsLong()));
    }

    /** Out of contact with a quorum that confirms the value held: it vouches for nothing. */
    public boolean isFenced() {
        return quorumAgeMs() > FENCED_MS;
    }

    private void watchQuorum(long now) {
        boolean before = fenced;
        fenced = isFenced();
        if (fenced && !before) {
            fencedSinceMs = now;
            LOG.info("out of contact with a quorum");
        } else if (!fenced && before) {
            LOG.info("in contact with a quorum");
            if (now - fencedSinceMs > REGISTRY_STALE_MS) {
                servers.catchUp(now);
            }
        }
    }

    private void beat(long now) {
        List<EdgeLease> leases = edges.drainDirect(now, lastBeatMs);
        lastBeatMs = now;
        nextBeatMs = now + BEAT_MS;
        peers.sendToAll(
                new Message.Heartbeat(
                        peers.nextBeat(now),
                        acceptors.isLeaving(),
                        register.chosen().map(known -> known.value().revision()).orElse(-1L),
                        held(),
                        register.accepted(),
                        register.highest(),
                        register.acceptors(),
                        registry.isComplete(now),
                        registry.digest(),
                        peers.inContact(now, CONTACT_MS),
                        registry.drainHeard(),
                        leases));
    }

    /** The ballot of the newest value known to be chosen. */
    private Ballot held() {
        return register.chosen().map(RegisterReplica.Chosen::ballot).orElse(Ballot.ZERO);
    }

    // ---- the end ----

    /** This process is about to end: its place among the acceptors goes to another. */
    public void leave() {
        acceptors.leave();
        beat(clock.getAsLong());
    }

    /** Whether it may end now without leaving a place empty that another could have. */
    public boolean mayEnd() {
        return acceptors.mayEnd(clock.getAsLong());
    }

    // ---- messages ----

    /** An edge's long poll. */
    public void poll(C from, Message.Poll poll) {
        polls.poll(from, poll);
    }

    /** An edge's connection has ended. */
    public void closed(C connection) {
        polls.closed(connection);
    }

    /** Another core process says that it is there. */
    public void hello(String sender) {
        peers.know(sender, clock.getAsLong());
    }

    /** A message of another core process. */
    public void received(String sender, Message message) {
        long now = clock.getAsLong();
        if (message instanceof Message.Heartbeat beat) {
            onBeat(now, sender, beat);
        } else if (message instanceof Message.HeartbeatReply echo) {
            onEcho(now, sender, echo);
        } else if (message instanceof Message.RegisterVote vote) {
            register.on(now, sender, vote.vote());
        } else if (message instanceof Message.ValueChosen learn) {
            register.learn(new RegisterReplica.Chosen(learn.ballot(), learn.value()), false);
        } else if (message instanceof Message.RoleClaim claim) {
            if (election.claimed(now, sender, claim.term())) {
                peers.send(sender, new Message.RoleGrant(claim.term()));
            }
        } else if (message instanceof Message.RoleGrant grant) {
            election.granted(sender, grant.term(), register.acceptors());
        } else if (message instanceof Message.FetchValue) {
            register.chosen()
                    .ifPresent(
                            chosen ->
                                    peers.send(
                                            sender,
                                            new Message.ValueChosen(
                                                    chosen.ballot(), chosen.value())));
        } else {
            onRegistry(now, sender, message);
        }
    }

    private void onRegistry(long now, String sender, Message message) {
        if (message instanceof Message.ServersChanged changed) {
            servers.takeIn(now, changed.servers());
            if (changed.request() != 0) {
                peers.send(sender, new Message.ServersAcknowledged(changed.request()));
            }
        } else if (message instanceof Message.ServersAcknowledged held) {
            servers.held(sender, held.request());
        } else if (message instanceof Message.FetchRegistry) {
            peers.send(sender, servers.snapshot(now));
        } else if (message instanceof Message.RegistrySnapshot snapshot) {
            servers.takeIn(now, snapshot);
        }
    }

    private void onBeat(long now, String sender, Message.Heartbeat beat) {
        peers.send(
                sender,
                new Message.HeartbeatReply(
                        beat.sequence(), register.mayVote(), register.accepted(), register.kept()));
        beat.cores().forEach(core -> peers.know(core, now));
        register.peerHolds(now, beat.accepted(), beat.promised(), beat.acceptors());
        long known = register.chosen().map(chosen -> chosen.value().revision()).orElse(-1L);
        if (beat.revision() > known
                || beat.revision() == known && beat.chosen().compareTo(held()) > 0) {
            peers.send(sender, new Message.FetchValue());
        }
        beat.edges().forEach(edge -> edges.relayed(now, edge));
        acceptors.told(now, sender, beat.leaving());
        servers.compare(now, sender, beat);
    }

    private void onEcho(long now, String sender, Message.HeartbeatReply echo) {
        long sentMs = peers.echoed(sender, echo.sequence());
        if (sentMs >= 0) {
            contact.echoed(sender, sentMs, echo.votes(), echo.accepted(), echo.kept());
            confirm(now);
        }
    }

    private void confirm(long now) {
        contact.confirm(now, held(), register.mayVote(), register.accepted());
    }

    private void news() {
        if (!newsPending) {
            newsPending = true;
            owner.execute(
                    () -> {
                        newsPending = false;
                        polls.news();
                    });
        }
    }

    // ---- servers ----

    /** A server registers; {@code acknowledged} is told once whether that is held. */
    public void register(ServerRecord server, Consumer<Boolean> acknowledged) {
        servers.register(clock.getAsLong(), server, acknowledged);
    }

    /** A server says that it ends. */
    public void serverLeaves(String id, Consumer<Boolean> acknowledged) {
        servers.leave(clock.getAsLong(), id, acknowledged);
    }

    // ---- operators ----

    /** An operator's order; {@code end} is told once what became of it. */
    public void change(OperatorChange order, Consumer<OperatorChangeResult> end) {
        long now = clock.getAsLong();
        if (isFenced()) {
            end.accept(new OperatorChangeResult.Unclear());
            return;
        }
        register.submit(
                now, order, now + ORDER_LIMIT_MS, outcome -> end.accept(order.resultOf(outcome)));
    }

    /** Reads the newest configuration by a round of its own. */
    public void readConfig(ConfigReader end) {
        long now = clock.getAsLong();
        register.submit(
                now,
                Change.READ,
                now + ORDER_LIMIT_MS,
                outcome ->
                        end.accept(
                                outcome instanceof Outcome.Chosen read
                                                && read.value().generation() > 0
                                        ? Optional.of(DocumentCodec.decode(read.value().document()))
                                        : Optional.empty()));
    }

    /** What this process knows, as JSON. */
    public String status() {
        return new StatusReport(
                        clock.getAsLong(), self, register, registry, edges, peers, contact, fenced)
                .json();
    }

    // ---- the register's host ----

    @Override
    public void send(String acceptor, RegisterMessage vote) {
        if (acceptor.equals(self)) {
            owner.execute(() -> register.on(clock.getAsLong(), self, vote));
        } else {
            peers.send(acceptor, new Message.RegisterVote(vote));
        }
    }

    @Override
    public void chosen(RegisterReplica.Chosen chosen, boolean own) {
        LOG.info("in force: {}", chosen.value());
        long now = clock.getAsLong();
        chosen.value().acceptors().everyone().forEach(acceptor -> peers.know(acceptor, now));
        if (own) {
            peers.sendToAll(new Message.ValueChosen(chosen.ballot(), chosen.value()));
        }
        news();
    }

    // ---- what polls are answered from ----

    @Override
    public Optional<RegisterValue> value() {
        return isFenced()
                ? Optional.empty()
                : register.chosen()
                        .map(RegisterReplica.Chosen::value)
                        .filter(value -> value.generation() > 0);
    }

    @Override
    public long quorumAgeMs() {
        AcceptorSet set = register.acceptors();
        if (set.members().isEmpty()) {
            return Integer.MAX_VALUE;
        }
        long now = clock.getAsLong();
        confirm(now);
        return contact.confirmedAgeMs(now, set);
    }

    @Override
    public List<String> cores() {
        return peers.inContact(clock.getAsLong(), CONTACT_MS);
    }

    /** The newest value known to be chosen; for checks. */
    public Optional<RegisterReplica.Chosen> known() {
        return register.chosen();
    }

    /** Who decides, as far as known; for checks. */
    public AcceptorSet acceptorSet() {
        return register.acceptors();
    }
}
