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
 * to the others, applies the changes they relay, fetches a peer's registry when the two differ
 * (anti-entropy), and acknowledges a drain or a removal only once a majority has received it.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread; callbacks run on that thread.
 * Time is passed in.
 */
final class RegistryReplicator {

    private static final Logger LOG = LoggerFactory.getLogger(RegistryReplicator.class);

    /** A change that no majority has acknowledged after this time is reported as not replicated. */
    private static final long REPLICATION_TIMEOUT_MS = 900;

    /** A peer counts for the majority if its last contact is no older than this. */
    private static final long MAX_CONTACT_AGE_MS = 2000;

    /** How many consecutive heartbeats may carry another digest before a registry is fetched. */
    private static final int TOLERATED_DIGEST_MISMATCHES = 2;

    private static final int MAX_TRACKED_DRAINS = 4096;

    /** A change that is reported as replicated once a majority has acknowledged it. */
    private static final class PendingReplication {
        private final Set<String> acknowledgedBy = new HashSet<>();
        private final Set<String> replicas;
        private final Consumer<Boolean> callback;
        private final long deadlineMs;

        PendingReplication(Set<String> replicas, Consumer<Boolean> callback, long deadlineMs) {
            this.replicas = replicas;
            this.callback = callback;
            this.deadlineMs = deadlineMs;
        }

        boolean hasMajority() {
            return 2 * replicas.stream().filter(acknowledgedBy::contains).count() > replicas.size();
        }
    }

    private final String self;
    private final ServerRegistry registry;
    private final PeerNetwork peers;
    private final Supplier<AcceptorSet> acceptors;
    private final BooleanSupplier quorumLeaseExpired;
    private final Runnable publishUpdate;

    /** By request number. */
    private final Map<Long, PendingReplication> pending = new HashMap<>();

    /** For each peer, the number of consecutive heartbeats with another registry digest. */
    private final Map<String, Integer> digestMismatches = new HashMap<>();

    /** Servers whose drain was acknowledged by a majority of the replicas, oldest first. */
    private final Set<String> replicatedDrains = new LinkedHashSet<>();

    private long nextRequest = 1;

    /**
     * Creates the replicator of one replica's registry.
     *
     * @param acceptors the acceptor set: its members count for the majority also when they are out
     *     of contact
     * @param quorumLeaseExpired whether this replica's quorum lease has expired, so that it may
     *     acknowledge nothing
     * @param publishUpdate notifies the edges of a change
     */
    RegistryReplicator(
            String self,
            ServerRegistry registry,
            PeerNetwork peers,
            Supplier<AcceptorSet> acceptors,
            BooleanSupplier quorumLeaseExpired,
            Runnable publishUpdate) {
        this.self = self;
        this.registry = registry;
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
     *     draining and no majority acknowledges that in time
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
     * @param callback called once: false if the quorum lease has expired, or if no majority
     *     acknowledges the removal in time
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

    /** Sends a change to all peers; {@code callback} gets whether a majority acknowledged it. */
    private void replicate(long nowMs, ServerRecord server, Consumer<Boolean> callback) {
        Set<String> replicas = new HashSet<>(peers.reachableReplicas(nowMs, MAX_CONTACT_AGE_MS));
        replicas.addAll(acceptors.get().voters());
        long request = nextRequest;
        nextRequest++;
        pending.put(
                request,
                new PendingReplication(replicas, callback, nowMs + REPLICATION_TIMEOUT_MS));
        peers.sendToAll(new Message.ServersChanged(request, List.of(server)));
        onAcknowledged(self, request);
    }

    /** Records a replica's acknowledgement; unknown and completed requests are ignored. */
    void onAcknowledged(String replica, long request) {
        PendingReplication change = pending.get(request);
        if (change == null) {
            return;
        }
        change.acknowledgedBy.add(replica);
        if (change.hasMajority()) {
            pending.remove(request);
            change.callback.accept(true);
        }
    }

    // ---- changes made elsewhere ----

    /** Applies changes that a peer relays. */
    void applyRelayed(long nowMs, List<ServerRecord> servers) {
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
