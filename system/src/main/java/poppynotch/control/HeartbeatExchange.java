package poppynotch.control;

import java.util.List;
import poppynotch.wire.EdgeLease;
import poppynotch.wire.Message;

/**
 * The heartbeats between control-plane replicas. A heartbeat carries the sender's state of the
 * register, the digest of its registry, renewals of servers, leases of edges and their reports on
 * rollouts. The reply carries the state of the peer's acceptor, which may confirm the sender's
 * value as current.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread.
 */
final class HeartbeatExchange {

    private final PeerNetwork peers;
    private final RegisterReplica register;
    private final QuorumLease quorumLease;
    private final RegistryReplicator servers;
    private final ServerRegistry registry;
    private final EdgeDirectory edges;
    private final AcceptorSetManager acceptorSetManager;
    private final RolloutReportStore rolloutReports;
    private long lastSentMs;

    /** The state of the edges that replicas relay to each other. */
    record Edges(EdgeDirectory directory, RolloutReportStore rolloutReports) {}

    HeartbeatExchange(
            PeerNetwork peers,
            RegisterReplica register,
            QuorumLease quorumLease,
            RegistryReplicator servers,
            ServerRegistry registry,
            Edges edges,
            AcceptorSetManager acceptorSetManager) {
        this.peers = peers;
        this.register = register;
        this.quorumLease = quorumLease;
        this.servers = servers;
        this.registry = registry;
        this.edges = edges.directory();
        rolloutReports = edges.rolloutReports();
        this.acceptorSetManager = acceptorSetManager;
    }

    /** Sends a heartbeat to all peers, with what has changed since the last one. */
    void send(long nowMs) {
        List<EdgeLease> edgeLeases = edges.drainDirectLeases(nowMs, lastSentMs);
        lastSentMs = nowMs;
        peers.sendToAll(
                new Message.Heartbeat(
                        peers.nextHeartbeatSequence(nowMs),
                        acceptorSetManager.isLeaving(),
                        register.chosenRevision(),
                        register.chosenBallot(),
                        register.acceptedBallot(),
                        register.highestBallot(),
                        register.acceptors(),
                        registry.isComplete(nowMs),
                        registry.digest(),
                        peers.reachableReplicas(nowMs, ControlPlaneNode.MAX_CONTACT_AGE_MS),
                        registry.drainRenewals(),
                        edgeLeases,
                        rolloutReports.drainUnrelayed()));
    }

    /** Answers a peer's heartbeat, applies it, and fetches the peer's value if that is newer. */
    void onHeartbeat(long nowMs, String sender, Message.Heartbeat heartbeat) {
        peers.send(
                sender,
                new Message.HeartbeatReply(
                        heartbeat.sequence(),
                        register.mayVote(),
                        register.acceptedBallot(),
                        register.persistedBallot()));
        heartbeat.controlAddresses().forEach(replica -> peers.addPeer(replica, nowMs));
        register.onPeerState(heartbeat.accepted(), heartbeat.promised(), heartbeat.acceptors());
        if (hasNewerValue(heartbeat)) {
            peers.send(sender, new Message.FetchValue());
        }
        heartbeat.edgeLeases().forEach(lease -> edges.onRelayedLease(nowMs, lease));
        rolloutReports.onRelayed(heartbeat.rolloutReports());
        acceptorSetManager.onPeerLeaving(nowMs, sender, heartbeat.leaving());
        servers.onHeartbeat(nowMs, sender, heartbeat);
    }

    private boolean hasNewerValue(Message.Heartbeat heartbeat) {
        long known = register.chosenRevision();
        return heartbeat.revision() > known
                || (heartbeat.revision() == known
                        && heartbeat.chosen().compareTo(register.chosenBallot()) > 0);
    }

    /** Records a peer's reply; replies to heartbeats that are no longer tracked are ignored. */
    void onHeartbeatReply(long nowMs, String sender, Message.HeartbeatReply reply) {
        long sentMs = peers.onHeartbeatReply(sender, reply.sequence());
        if (sentMs >= 0) {
            quorumLease.onHeartbeatReply(nowMs, sender, sentMs, reply);
        }
    }
}
