package poppynotch.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.AcceptorSet;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Keeps the server registries of all control-plane replicas consistent. It sends changes made here
 * to the others, applies the changes they relay, and fetches a peer's registry when the two differ
 * (anti-entropy).
 *
 * <p>A drain or a removal is acknowledged only once it is on the disks of a majority of the
 * replicas that includes a quorum of the acceptors. A replica sends all that it has on disk first
 * on each connection to a peer. So whichever replicas restart, and as many disks as are tolerated
 * are lost: a replica that is in contact with a quorum knows every acknowledged drain and removal.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread; callbacks run on that thread.
 * Time is passed in.
 */
final class RegistryReplicator {

    private static final Logger LOG = LoggerFactory.getLogger(RegistryReplicator.class);

    /** A change without enough acknowledgements after this time is reported as not replicated. */
    private static final long REPLICATION_TIMEOUT_MS = 900;

    /** A peer counts for the majority if its last contact is no older than this. */
    private static final long MAX_CONTACT_AGE_MS = 2000;

    /** How many consecutive heartbeats may carry another digest before a registry is fetched. */
    private static final int TOLERATED_DIGEST_MISMATCHES = 2;

    private static final int MAX_TRACKED_DRAINS = 4096;

    /** The request id of a change that needs no acknowledgement. */
    private static final long NO_ACKNOWLEDGEMENT = 0;

    /** A change that is reported as replicated once enough replicas have acknowledged it. */
    private static final class PendingReplication {
        private final Set<String> acknowledgedBy = new HashSet<>();
        private final Set<String> replicas;
        private final AcceptorSet acceptors;
        private final Consumer<Boolean> callback;
        private final long deadlineMs;

        PendingReplication(
                Set<String> replicas,
                AcceptorSet acceptors,
                Consumer<Boolean> callback,
                long deadlineMs) {
            this.replicas = replicas;
            this.acceptors = acceptors;
            this.callback = callback;
            this.deadlineMs = deadlineMs;
        }

        boolean isReplicated() {
            long acknowledged = replicas.stream().filter(acknowledgedBy::contains).count();
            return 2 * acknowledged > replicas.size() && acceptors.isQuorum(acknowledgedBy);
        }
    }

    private final String self;
    private final ServerRegistry registry;
    private final DepartureJournal departures;
    private final PeerNetwork peers;
    private final Supplier<AcceptorSet> acceptors;
    private final BooleanSupplier quorumLeaseExpired;
    private final Runnable publishUpdate;

    /** By request number. */
    private final Map<Long, PendingReplication> pending = new HashMap<>();

    /** For each peer, the number of consecutive heartbeats with another registry digest. */
    private final Map<String, Integer> digestMismatches = new HashMap<>();

    /** Draining servers whose drain is replicated, oldest first. */
    private final Set<String> replicatedDrains = new LinkedHashSet<>();

    private long nextRequest = 1;

    /**
     * Creates the replicator of one replica's registry.
     *
     * @param departureStorage persists the registry's departures; the present ones are on disk
     * @param acceptors the acceptor set: its members count for the majority also when they are out
     *     of contact
     * @param quorumLeaseExpired whether this replica's quorum lease has expired, so that it may
     *     acknowledge nothing
     * @param publishUpdate notifies the edges of a change
     */
    RegistryReplicator(
            String self,
            ServerRegistry registry,
            StateStorage<List<ServerRecord>> departureStorage,
            PeerNetwork peers,
            Supplier<AcceptorSet> acceptors,
            BooleanSupplier quorumLeaseExpired,
            Runnable publishUpdate) {
        this.self = self;
        this.registry = registry;
        departures = new DepartureJournal(registry, departureStorage);
        this.peers = peers;
        this.acceptors = acceptors;
        this.quorumLeaseExpired = quorumLeaseExpired;
        this.publishUpdate = publishUpdate;
    }

    // ---- changes made here ----

    /**
     * Registers a server or renews its registration.
     *
     * @param callback called once: false if the quorum lease has expired, or if the server is
     *     draining and that is not replicated in time
     */
    void register(long nowMs, ServerRecord server, Consumer<Boolean> callback) {
        if (quorumLeaseExpired.getAsBoolean()) {
            callback.accept(false);
            return;
        }
        boolean draining = server.state() == ServerState.DRAINING;
        ServerState before = registry.stateOf(server.id()).orElse(null);
        if (registry.apply(nowMs, server)) {
            logRegistration(server, before);
            publishUpdate.run();
            if (!draining) {
                replicatedDrains.remove(server.id());
                replicate(nowMs, server, replicated -> {});
            }
        }
        if (!draining || replicatedDrains.contains(server.id())) {
            callback.accept(true);
            return;
        }
        replicate(
                nowMs,
                server,
                replicated -> {
                    if (replicated) {
                        recordReplicatedDrain(server.id());
                    }
                    callback.accept(replicated);
                });
    }

    private static void logRegistration(ServerRecord server, ServerState before) {
        LOG.info(
                "Server registration changed: id={}, backend={}, address={}, state={} -> {},"
                        + " sequence={}",
                server.id(),
                server.backend(),
                server.address(),
                before == null ? "unknown" : before,
                server.state(),
                server.sequence());
    }

    private void recordReplicatedDrain(String id) {
        replicatedDrains.add(id);
        if (replicatedDrains.size() > MAX_TRACKED_DRAINS) {
            replicatedDrains.remove(replicatedDrains.iterator().next());
        }
    }

    /**
     * Deregisters a server that is shutting down.
     *
     * @param callback called once: false if the quorum lease has expired, or if the removal is not
     *     replicated in time
     */
    void deregister(long nowMs, String id, Consumer<Boolean> callback) {
        if (quorumLeaseExpired.getAsBoolean()) {
            callback.accept(false);
            return;
        }
        ServerState before = registry.stateOf(id).orElse(null);
        // Peers may list a server that is not known here: its removal is replicated too.
        ServerRecord tombstone = registry.deregister(nowMs, id);
        LOG.info(
                "Server deregistered: id={}, backend={}, state={} -> {}",
                id,
                tombstone.backend(),
                before == null ? "unknown" : before,
                tombstone.state());
        publishUpdate.run();
        replicate(nowMs, tombstone, callback);
    }

    /** Sends a change to all peers; {@code callback} gets whether it is replicated. */
    private void replicate(long nowMs, ServerRecord server, Consumer<Boolean> callback) {
        AcceptorSet currentAcceptors = acceptors.get();
        Set<String> replicas = new HashSet<>(peers.reachableReplicas(nowMs, MAX_CONTACT_AGE_MS));
        replicas.addAll(currentAcceptors.voters());
        long request = nextRequest;
        nextRequest++;
        pending.put(
                request,
                new PendingReplication(
                        replicas, currentAcceptors, callback, nowMs + REPLICATION_TIMEOUT_MS));
        peers.sendToAll(new Message.ServersChanged(request, List.of(server)));
        whenDurable(List.of(server), () -> onAcknowledged(self, request));
    }

    /** Runs an action once the departures among the servers are on disk here. */
    private void whenDurable(List<ServerRecord> servers, Runnable action) {
        if (servers.stream().anyMatch(ServerRegistry::isDeparture)) {
            departures.whenDurable(action);
        } else {
            departures.flush();
            action.run();
        }
    }

    /** Records a replica's acknowledgement; unknown and completed requests are ignored. */
    void onAcknowledged(String replica, long request) {
        PendingReplication change = pending.get(request);
        if (change == null) {
            return;
        }
        change.acknowledgedBy.add(replica);
        if (change.isReplicated()) {
            pending.remove(request);
            change.callback.accept(true);
        }
    }

    // ---- changes made elsewhere ----

    /** Applies changes that a peer relays, and acknowledges them once they are as durable here. */
    void onServersChanged(long nowMs, String sender, Message.ServersChanged changed) {
        applyRelayed(nowMs, changed.servers());
        whenDurable(
                changed.servers(),
                () -> {
                    if (changed.requestId() != NO_ACKNOWLEDGEMENT) {
                        peers.send(sender, new Message.ServersAcknowledged(changed.requestId()));
                    }
                });
    }

    /** Sends the departures known here to a peer to which a connection was opened. */
    void onPeerConnected(String peer) {
        List<ServerRecord> known = registry.departures();
        if (!known.isEmpty()) {
            peers.send(peer, new Message.ServersChanged(NO_ACKNOWLEDGEMENT, known));
        }
    }

    private void applyRelayed(long nowMs, List<ServerRecord> servers) {
        boolean changed = false;
        for (ServerRecord server : servers) {
            // Each replica expires servers by its own leases.
            if (server.state() != ServerState.EXPIRED) {
                changed |= registry.applyRelayed(nowMs, server);
            }
        }
        if (changed) {
            publishUpdate.run();
        }
    }

    /** Applies a peer's complete registry. */
    void applySnapshot(long nowMs, Message.RegistrySnapshot snapshot) {
        applyRelayed(nowMs, snapshot.servers());
        departures.flush();
        if (snapshot.complete()) {
            registry.markComplete(nowMs);
        }
    }

    /** This replica's complete registry, for a peer. */
    Message.RegistrySnapshot snapshot(long nowMs) {
        boolean complete = !quorumLeaseExpired.getAsBoolean() && registry.isComplete(nowMs);
        return new Message.RegistrySnapshot(complete, registry.directlyObserved());
    }

    /**
     * Applies the renewals in a peer's heartbeat. Fetches the peer's registry if the digests have
     * differed for several heartbeats, or if it is complete and this one is not.
     */
    void onHeartbeat(long nowMs, String sender, Message.Heartbeat heartbeat) {
        heartbeat
                .renewals()
                .forEach(renewal -> registry.renewRelayed(nowMs, renewal.id(), renewal.sequence()));
        boolean differs = heartbeat.registryDigest() != registry.digest();
        int mismatches = differs ? digestMismatches.merge(sender, 1, Integer::sum) : 0;
        if (!differs) {
            digestMismatches.remove(sender);
        }
        if (mismatches > TOLERATED_DIGEST_MISMATCHES
                || (!registry.isComplete(nowMs) && heartbeat.registryComplete())) {
            digestMismatches.remove(sender);
            peers.send(sender, new Message.FetchRegistry());
        }
    }

    /**
     * Fetches the registries of all peers after a loss of contact, in which servers may have been
     * registered and removed at other replicas.
     */
    void resynchronize(long nowMs) {
        registry.markIncomplete(nowMs);
        peers.sendToAll(new Message.FetchRegistry());
    }

    /** Expires servers' leases, and pending replications that are past their deadline. */
    void tick(long nowMs) {
        if (registry.tick(nowMs)) {
            departures.flush();
            publishUpdate.run();
        }
        if (pending.isEmpty()) {
            return;
        }
        List<PendingReplication> timedOut =
                pending.values().stream().filter(change -> nowMs >= change.deadlineMs).toList();
        pending.values().removeAll(timedOut);
        timedOut.forEach(change -> change.callback.accept(false));
    }
}
