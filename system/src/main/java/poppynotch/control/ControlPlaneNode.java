package poppynotch.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.DocumentCodec;
import poppynotch.register.AcceptorRecovery;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.register.ChangeFunction;
import poppynotch.register.ProposalOutcome;
import poppynotch.register.RegisterMessage;
import poppynotch.register.RegisterValue;
import poppynotch.rollout.ExposureLimits;
import poppynotch.rollout.RolloutRequest;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;

/**
 * One replica of the control plane without sockets, disk and clock: a deterministic state machine
 * that {@link ControlPlaneServer} runs on real I/O and the simulation on virtual I/O.
 *
 * <p>It wires the parts of the replica and is their only entry point: the replicated register that
 * holds the configuration ({@link RegisterReplica}), the registry of model servers ({@link
 * RegistryReplicator}), the edges' leases ({@link EdgeDirectory}) and long polls ({@link
 * LongPollService}), the heartbeats between replicas ({@link HeartbeatExchange}) and the
 * maintenance of the acceptor set ({@link AcceptorSetManager}).
 *
 * <p>Not thread-safe. One owner calls all methods from one thread (for {@link ControlPlaneServer}
 * an event loop), and {@link #tick} every few tens of milliseconds. Callbacks run on that thread,
 * some of them before the call that they were passed to returns. The node holds nothing that must
 * be released.
 *
 * @param <C> the handle of an edge's connection; used as a map key
 */
public final class ControlPlaneNode<C> {

    private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneNode.class);

    /** Time between two heartbeats to the other replicas. */
    public static final long HEARTBEAT_INTERVAL_MS = 200;

    /** A peer whose last heartbeat reply is older than this is not reported as reachable. */
    static final long MAX_CONTACT_AGE_MS = 2000;

    /** A change or read without an outcome after this time is answered as unclear. */
    static final long CHANGE_TIMEOUT_MS = 2500;

    /** If the quorum lease was expired for longer than this, the registry is considered stale. */
    private static final long REGISTRY_STALE_AFTER_MS = 2000;

    private static final long SEED_REFRESH_INTERVAL_MS = 500;

    /**
     * Immutable configuration of a node.
     *
     * @param self this replica's control address, {@code HOST:PORT}; its name among the acceptors
     * @param incarnation a number that differs for each start of the process
     * @param seeds control addresses of replicas from the settings
     * @param acceptorSetPlanner decides how the set of acceptors should change
     * @param serverHeartbeatMs the interval at which model servers renew their registration
     * @param persistedState the acceptor's state as read from disk, if there is one
     * @param persistedDepartures the servers that drain or have left, as read from disk
     * @param firstIncarnation whether that state was just created, so that no earlier incarnation
     *     of this replica can have granted the singleton role
     * @param recovery settings for the recovery of the acceptor's vote if that state is lost
     * @param exposureLimits how much traffic a version that is not proven may receive
     */
    public record Config(
            String self,
            long incarnation,
            List<String> seeds,
            AcceptorSetPlanner acceptorSetPlanner,
            long serverHeartbeatMs,
            Optional<AcceptorState> persistedState,
            List<ServerRecord> persistedDepartures,
            boolean firstIncarnation,
            AcceptorRecovery.Settings recovery,
            ExposureLimits exposureLimits) {}

    /**
     * The disk of a node.
     *
     * @param acceptor persists the acceptor's state
     * @param departures persists the servers that drain or have left
     */
    public record Storage(
            StateStorage<AcceptorState> acceptor, StateStorage<List<ServerRecord>> departures) {}

    /**
     * Receives the result of a read of the configuration: its JSON, or empty if the newest version
     * could not be determined in time or none has been written yet.
     */
    public interface ConfigCallback extends Consumer<Optional<byte[]>> {}

    private final String self;
    private final LongSupplier clock;
    private final Executor owner;
    private final PeerNetwork peers;
    private final QuorumLease quorumLease;
    private final ServerRegistry registry;
    private final EdgeDirectory edges = new EdgeDirectory();
    private final LongPollService<C> polls;
    private final RegistryReplicator servers;
    private final RegisterReplica register;
    private final AcceptorSetManager acceptorSetManager;
    private final InitialGrowthGate growthGate;
    private final RolloutReportStore rolloutReports = new RolloutReportStore();
    private final RolloutController rollouts;
    private final HeartbeatExchange heartbeats;
    private final PeerMessageHandler peerMessages;
    private final StatusReport statusReport;

    /** Addresses from the settings; the acceptors' addresses are known from the register. */
    private List<String> seedAddresses;

    private long nextSeedRefreshMs;
    private long nextHeartbeatMs;
    private boolean updatePending;

    /**
     * Creates a node that has had no contact with its peers yet.
     *
     * @param clock a monotonic clock in milliseconds
     * @param owner runs a task later on the owner's thread
     * @param peers the network to the other replicas
     * @param contact the contact state that {@code peers} reads as well
     * @param storage persists what must survive a restart
     * @param replies sends a message to an edge's connection
     */
    public ControlPlaneNode(
            Config config,
            LongSupplier clock,
            Executor owner,
            PeerNetwork peers,
            QuorumContact contact,
            Storage storage,
            BiConsumer<C, Message> replies) {
        self = config.self();
        seedAddresses = config.seeds();
        this.clock = clock;
        this.owner = owner;
        this.peers = peers;
        long nowMs = clock.getAsLong();
        registry = new ServerRegistry(nowMs, config.serverHeartbeatMs());
        registry.restore(nowMs, config.persistedDepartures());
        polls =
                new LongPollService<>(
                        config.incarnation(),
                        registry,
                        edges,
                        rolloutReports,
                        new PollSource(),
                        clock,
                        replies);
        register = newRegister(config, storage.acceptor());
        quorumLease = new QuorumLease(register, contact, clock);
        servers =
                new RegistryReplicator(
                        self,
                        registry,
                        storage.departures(),
                        peers,
                        register::acceptors,
                        quorumLease::isExpired,
                        this::publishUpdate);
        RoleElection election =
                new RoleElection(
                        self,
                        nowMs,
                        config.firstIncarnation(),
                        config.incarnation(),
                        term -> peers.sendToAll(new Message.RoleClaim(term)));
        acceptorSetManager =
                new AcceptorSetManager(
                        self,
                        config.acceptorSetPlanner(),
                        register,
                        peers,
                        contact,
                        election,
                        quorumLease::isExpired);
        rollouts = newRollouts(config, election);
        growthGate =
                new InitialGrowthGate(
                        register, config.acceptorSetPlanner().toleratedLosses(), nowMs);
        heartbeats = newHeartbeats();
        peerMessages = new PeerMessageHandler(peers, register, election, servers, heartbeats);
        statusReport =
                new StatusReport(self, register, registry, edges, peers, contact, quorumLease);
    }

    private RegisterReplica newRegister(Config config, StateStorage<AcceptorState> storage) {
        return new RegisterReplica(
                self,
                config.incarnation(),
                config.persistedState(),
                AcceptorSet.of(List.of()),
                config.recovery(),
                storage,
                new RegisterHost());
    }

    private RolloutController newRollouts(Config config, RoleElection election) {
        return new RolloutController(
                register,
                registry,
                edges,
                rolloutReports,
                election,
                quorumLease::isExpired,
                config.exposureLimits());
    }

    private HeartbeatExchange newHeartbeats() {
        return new HeartbeatExchange(
                peers,
                register,
                quorumLease,
                servers,
                registry,
                new HeartbeatExchange.Edges(edges, rolloutReports),
                acceptorSetManager);
    }

    // ---- time ----

    /** Runs everything that is due: reconnects, proposals, expired leases, polls, heartbeats. */
    public void tick() {
        long nowMs = clock.getAsLong();
        if (nowMs >= nextSeedRefreshMs) {
            nextSeedRefreshMs = nowMs + SEED_REFRESH_INTERVAL_MS;
            seedAddresses.forEach(seed -> peers.addPeer(seed, nowMs));
            register.acceptors().voters().forEach(acceptor -> peers.addPeer(acceptor, nowMs));
        }
        peers.tick(nowMs);
        register.tick(nowMs);
        checkQuorumLease(nowMs);
        servers.tick(nowMs);
        edges.tick(nowMs);
        polls.tick(nowMs);
        if (nowMs >= nextHeartbeatMs) {
            sendHeartbeat(nowMs);
        }
        acceptorSetManager.tick(nowMs);
        rollouts.tick(nowMs);
        growthGate.tick(nowMs);
    }

    private void checkQuorumLease(long nowMs) {
        OptionalLong regainedAfterMs = quorumLease.checkExpiry(nowMs);
        if (regainedAfterMs.isPresent() && regainedAfterMs.getAsLong() > REGISTRY_STALE_AFTER_MS) {
            servers.resynchronize(nowMs);
        }
    }

    private void sendHeartbeat(long nowMs) {
        nextHeartbeatMs = nowMs + HEARTBEAT_INTERVAL_MS;
        heartbeats.send(nowMs);
    }

    /** Replaces the seed addresses after a change of the settings. */
    public void updateSeeds(List<String> newAddresses) {
        seedAddresses = newAddresses;
        seedAddresses.forEach(seed -> peers.addPeer(seed, clock.getAsLong()));
    }

    /**
     * Whether no quorum has confirmed this replica's newest value within the quorum lease. Such a
     * replica sends edges no configuration and acknowledges no change.
     */
    public boolean isQuorumLeaseExpired() {
        return quorumLease.isExpired();
    }

    // ---- shutdown ----

    /**
     * Starts a graceful shutdown: another replica replaces this one in the acceptor set, if there
     * is one. The peers are notified by a heartbeat at once.
     */
    public void startLeaving() {
        acceptorSetManager.startLeaving();
        sendHeartbeat(clock.getAsLong());
    }

    /**
     * Whether the process may end now: it is no longer an acceptor, may not vote, or there is no
     * replica that could replace it.
     */
    public boolean mayShutDown() {
        return acceptorSetManager.mayShutDown(clock.getAsLong());
    }

    // ---- messages ----

    /** Handles an edge's long poll; it is answered at once or when there is an update. */
    public void onPoll(C from, Message.Poll poll) {
        polls.onPoll(from, poll);
    }

    /** Discards the state of an edge's connection that has closed. */
    public void onConnectionClosed(C connection) {
        polls.onConnectionClosed(connection);
    }

    /** Handles the first message on a connection from another replica. */
    public void onHello(String sender) {
        peers.addPeer(sender, clock.getAsLong());
    }

    /** A connection to another replica was opened; nothing but the hello was sent on it yet. */
    public void onPeerConnected(String peer) {
        servers.onPeerConnected(peer);
    }

    /** Handles a message of another replica; types that replicas do not exchange are ignored. */
    public void onMessage(String sender, Message message) {
        peerMessages.onMessage(clock.getAsLong(), sender, message);
    }

    /** Schedules one answer to the waiting polls for all updates of the current task. */
    private void publishUpdate() {
        if (!updatePending) {
            updatePending = true;
            owner.execute(
                    () -> {
                        updatePending = false;
                        polls.publishUpdate();
                    });
        }
    }

    // ---- model servers ----

    /**
     * Registers a server or renews its registration.
     *
     * @param callback called once: true if the registration is accepted and, for a draining server,
     *     replicated to a majority
     */
    public void register(ServerRecord server, Consumer<Boolean> callback) {
        servers.register(clock.getAsLong(), server, callback);
    }

    /**
     * Deregisters a server that is shutting down.
     *
     * @param callback called once: true if the removal is replicated to a majority
     */
    public void deregister(String id, Consumer<Boolean> callback) {
        servers.deregister(clock.getAsLong(), id, callback);
    }

    // ---- operators ----

    /**
     * Submits an operator's change.
     *
     * @param callback called once with the result, after {@value #CHANGE_TIMEOUT_MS} ms at the
     *     latest; a replica whose quorum lease has expired reports an unclear result at once
     */
    public void submitChange(OperatorChange change, Consumer<OperatorChangeResult> callback) {
        long nowMs = clock.getAsLong();
        if (quorumLease.isExpired()) {
            callback.accept(new OperatorChangeResult.Unclear());
            return;
        }
        long deadlineMs = nowMs + CHANGE_TIMEOUT_MS;
        growthGate.whenOpen(
                nowMs,
                deadlineMs,
                () ->
                        register.submit(
                                clock.getAsLong(),
                                change,
                                deadlineMs,
                                outcome -> callback.accept(change.resultOf(outcome))),
                () -> callback.accept(new OperatorChangeResult.Unclear()));
    }

    /** Submits an operator's request to roll out a new version, like {@link #submitChange}. */
    public void submitRollout(RolloutRequest request, Consumer<OperatorChangeResult> callback) {
        submitChange(rollouts.order(clock.getAsLong(), request), callback);
    }

    /** Reads the latest rollout of a service with a proposal (a linearizable read). */
    public void readRollout(String backend, Consumer<RolloutReadResult> callback) {
        long nowMs = clock.getAsLong();
        register.submit(
                nowMs,
                ChangeFunction.READ,
                nowMs + CHANGE_TIMEOUT_MS,
                outcome -> callback.accept(RolloutReadResult.of(outcome, backend)));
    }

    /** Reads the newest configuration with a proposal (a linearizable read). */
    public void readConfig(ConfigCallback callback) {
        long nowMs = clock.getAsLong();
        register.submit(
                nowMs,
                ChangeFunction.READ,
                nowMs + CHANGE_TIMEOUT_MS,
                outcome -> callback.accept(documentOf(outcome)));
    }

    private static Optional<byte[]> documentOf(ProposalOutcome readOutcome) {
        return readOutcome instanceof ProposalOutcome.Chosen read && read.value().generation() > 0
                ? Optional.of(DocumentCodec.decode(read.value().document()))
                : Optional.empty();
    }

    /**
     * The state known to this replica, as JSON for operators.
     *
     * @param apiCallsByStatus how many calls of the control API were answered with each HTTP status
     */
    public String status(Map<Integer, Long> apiCallsByStatus) {
        long nowMs = clock.getAsLong();
        return statusReport.json(nowMs, apiCallsByStatus, rollouts.statuses(nowMs));
    }

    // ---- checks by the simulation ----

    /** Whether this replica's acceptor may vote; false from a loss of its disk to its recovery. */
    public boolean mayVote() {
        return register.mayVote();
    }

    /** The newest value that this replica knows to be chosen. */
    public Optional<RegisterReplica.ChosenValue> chosenValue() {
        return register.chosen();
    }

    /** The acceptor set as far as this replica knows. */
    public AcceptorSet acceptorSet() {
        return register.acceptors();
    }

    /** Connects the register to the network and to the long polls. */
    private final class RegisterHost implements RegisterReplica.Host {

        @Override
        public void send(String acceptor, RegisterMessage message) {
            if (acceptor.equals(self)) {
                // Later, in a task of its own: no reply may arrive before this call returns.
                owner.execute(() -> register.onRegisterMessage(clock.getAsLong(), self, message));
            } else {
                peers.send(acceptor, new Message.RegisterEnvelope(message));
            }
        }

        @Override
        public void onValueChosen(RegisterReplica.ChosenValue chosen, boolean proposedHere) {
            LOG.info(
                    "Register value chosen: ballot={}, value={}, proposedHere={}",
                    chosen.ballot(),
                    chosen.value(),
                    proposedHere);
            long nowMs = clock.getAsLong();
            rollouts.onValueChosen(nowMs, chosen.value());
            chosen.value().acceptors().voters().forEach(acceptor -> peers.addPeer(acceptor, nowMs));
            if (proposedHere) {
                peers.sendToAll(new Message.ValueChosen(chosen.ballot(), chosen.value()));
            }
            publishUpdate();
        }
    }

    /** Supplies the state that the replies to long polls contain. */
    private final class PollSource implements LongPollService.Source {

        @Override
        public Optional<RegisterValue> confirmedValue() {
            return quorumLease.isExpired()
                    ? Optional.empty()
                    : register.chosen()
                            .map(RegisterReplica.ChosenValue::value)
                            .filter(value -> value.generation() > 0);
        }

        @Override
        public long quorumAgeMs() {
            return quorumLease.ageMs();
        }

        @Override
        public List<String> reachableReplicas() {
            return peers.reachableReplicas(clock.getAsLong(), MAX_CONTACT_AGE_MS);
        }
    }
}
