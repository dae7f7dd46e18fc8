package poppynotch.wire;

import java.util.List;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.RegisterMessage;
import poppynotch.register.RegisterValue;

/**
 * The messages between control-plane replicas, between edges and control-plane replicas, and
 * between edges. All are immutable. {@link MessageCodec} encodes the components in the order of
 * their declaration.
 */
public sealed interface Message {

    /** The first message on a connection between control-plane replicas. */
    record Hello(String sender, long incarnation) implements Message {}

    /**
     * A control-plane replica's heartbeat to another.
     *
     * @param sequence echoed in the reply
     * @param leaving whether the sender is shutting down and gives up its membership of the
     *     acceptor set
     * @param revision revision of the newest value that the sender knows to be chosen; -1 for none
     * @param chosen the ballot of that value
     * @param accepted the ballot that the sender's acceptor last accepted
     * @param promised the highest ballot that the sender's acceptor has promised
     * @param acceptors the acceptor set known to the sender
     * @param registryComplete whether the sender is certain to know all servers
     * @param registryDigest digest for the comparison of registries
     * @param controlAddresses control addresses of all control-plane replicas recently in contact
     * @param renewals registrations since the last heartbeat in which only the sequence changed
     * @param edgeLeases leases of edges known to the sender
     * @param rolloutReports reports of edges that the sender has received since its last heartbeat
     */
    record Heartbeat(
            long sequence,
            boolean leaving,
            long revision,
            Ballot chosen,
            Ballot accepted,
            Ballot promised,
            AcceptorSet acceptors,
            boolean registryComplete,
            long registryDigest,
            List<String> controlAddresses,
            List<Renewal> renewals,
            List<EdgeLease> edgeLeases,
            List<RolloutReport> rolloutReports)
            implements Message {}

    /**
     * A repeated registration of a known server.
     *
     * @param id id of the server's incarnation
     * @param sequence sequence number of the registration
     */
    record Renewal(String id, long sequence) {}

    /**
     * The reply to a heartbeat.
     *
     * @param sequence sequence number of the heartbeat
     * @param mayVote whether the sender's acceptor may vote; if not, the reply does not confirm
     *     that a value is current
     * @param accepted the ballot that the acceptor accepted last, whether on disk or not
     * @param durable the ballot of the newest value that the acceptor has on disk
     */
    record HeartbeatReply(long sequence, boolean mayVote, Ballot accepted, Ballot durable)
            implements Message {}

    /** A message of the register's Paxos protocol. */
    record RegisterEnvelope(RegisterMessage message) implements Message {}

    /** Claims the control plane's singleton role in {@code term}. */
    record RoleClaim(long term) implements Message {}

    /** Grants the control plane's singleton role for the duration of a lease. */
    record RoleGrant(long term) implements Message {}

    /** Announces a chosen value. */
    record ValueChosen(Ballot ballot, RegisterValue value) implements Message {}

    /** Requests the newest chosen value. */
    record FetchValue() implements Message {}

    /**
     * Changes of the registry.
     *
     * @param requestId identifies the request in the acknowledgement; 0 if none is requested
     */
    record ServersChanged(long requestId, List<ServerRecord> servers) implements Message {}

    /** Acknowledges that the changes of a {@link ServersChanged} request are stored. */
    record ServersAcknowledged(long requestId) implements Message {}

    /** Requests the full registry. */
    record FetchRegistry() implements Message {}

    /**
     * The full registry of a control-plane replica.
     *
     * @param complete whether the sender is certain to know all servers
     */
    record RegistrySnapshot(boolean complete, List<ServerRecord> servers) implements Message {}

    /**
     * An edge's long poll, which renews its lease.
     *
     * @param edge name of the edge
     * @param incarnation incarnation of the edge's process
     * @param address {@code HOST:PORT} at which the edge receives other edges' datagrams
     * @param pollId number of this poll, echoed in the reply
     * @param revision revision of the edge's active configuration; -1 for none
     * @param controlIncarnation incarnation of the replica that {@code registryVersion} refers to
     * @param registryVersion version of the registry that the edge has received
     * @param usage usage of the tenants at this edge since its start, where it has changed
     * @param rolloutReports the edge's reports on running rollouts, where they have changed
     */
    record Poll(
            String edge,
            long incarnation,
            String address,
            long pollId,
            long revision,
            long controlIncarnation,
            long registryVersion,
            List<TenantUsage> usage,
            List<RolloutReport> rolloutReports)
            implements Message {}

    /**
     * The reply to a long poll.
     *
     * @param pollId number of the poll
     * @param controlIncarnation incarnation of the replying control-plane replica
     * @param quorumAgeMs time since the replica was last in contact with a quorum
     * @param value the configuration, or null if the edge has the newest one
     * @param fullRegistry whether {@code servers} is the full registry, else it has the changes
     * @param registryComplete whether the replica is certain to know all servers
     * @param registryVersion version of the replica's registry after these changes
     * @param edgeCount number of edges that hold a lease
     * @param edgeIndex index of the polling edge among them
     * @param reportingEdgeCount number of edges that have reported their usage recently
     * @param usage usage of the tenants at all edges, counted by the replica since its start
     * @param controlAddresses control addresses of control-plane replicas
     * @param edgeAddresses datagram addresses of all edges; empty if they have not changed
     */
    record PollReply(
            long pollId,
            long controlIncarnation,
            int quorumAgeMs,
            RegisterValue value,
            boolean fullRegistry,
            boolean registryComplete,
            long registryVersion,
            List<ServerRecord> servers,
            int edgeCount,
            int edgeIndex,
            int reportingEdgeCount,
            List<TenantUsage> usage,
            List<String> controlAddresses,
            List<String> edgeAddresses)
            implements Message {

        /** A copy with servers that include versions and a value that includes rollouts. */
        PollReply withVersions(List<ServerRecord> withVersions, RegisterValue withRollouts) {
            return new PollReply(
                    pollId,
                    controlIncarnation,
                    quorumAgeMs,
                    withRollouts,
                    fullRegistry,
                    registryComplete,
                    registryVersion,
                    withVersions,
                    edgeCount,
                    edgeIndex,
                    reportingEdgeCount,
                    usage,
                    controlAddresses,
                    edgeAddresses);
        }
    }

    /**
     * An edge's notification to other edges that it sends a prompt to a server. It is sent as a
     * datagram and may be lost.
     *
     * @param serverId id of the server's incarnation
     * @param freshTokens number of prompt tokens that the server is expected to prefill, as they
     *     are not in its prefix cache
     */
    record PromptSent(
            String serverId, String backend, int freshTokens, List<PromptSegment> segments)
            implements Message {}
}
