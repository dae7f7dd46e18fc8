package poppynotch.wire;

import java.util.List;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.RegisterMessage;
import poppynotch.register.RegisterValue;

/** Everything that processes of the fleet send to each other. */
public sealed interface Message {

    /** The first message on a connection between core processes. */
    record Hello(String sender, long incarnation) implements Message {}

    /**
     * A core process's heartbeat to another.
     *
     * @param sequence echoed by the receiver
     * @param revision of the newest value known to be chosen; -1 for none
     * @param chosen the ballot of that value
     * @param accepted the ballot that the sender's acceptor last accepted
     * @param promised the highest ballot that it has promised
     * @param acceptors who decides, as far as the sender knows
     * @param cores control addresses of all core processes heard of lately
     * @param heard registrations since the last heartbeat that changed nothing
     * @param registryDigest differs where registries differ
     * @param leaving the sender is about to end and gives its place among the acceptors away
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
            List<String> cores,
            List<Renewal> heard,
            List<EdgeLease> edges)
            implements Message {}

    /** A registration of a known server. */
    record Renewal(String id, long sequence) {}

    /**
     * The answer to a heartbeat.
     *
     * @param votes whether the sender's acceptor may vote; if not, it vouches for nothing
     * @param accepted the ballot that it accepted last, on disk or not yet
     * @param kept the ballot of the newest value that it has on disk
     */
    record HeartbeatReply(long sequence, boolean votes, Ballot accepted, Ballot kept)
            implements Message {}

    /** A vote for the register, or a question for one. */
    record RegisterVote(RegisterMessage vote) implements Message {}

    /** Asks for the role of looking after the set of acceptors. */
    record RoleClaim(long term) implements Message {}

    /** Grants that role for the length of a lease. */
    record RoleGrant(long term) implements Message {}

    /** A chosen value. */
    record ValueChosen(Ballot ballot, RegisterValue value) implements Message {}

    /** Asks for the newest chosen value. */
    record FetchValue() implements Message {}

    /** Changes of the registry; {@code request} is acknowledged unless it is 0. */
    record ServersChanged(long request, List<ServerRecord> servers) implements Message {}

    /** The receiver holds the changes of that request. */
    record ServersAcknowledged(long request) implements Message {}

    /** Asks for the whole registry. */
    record FetchRegistry() implements Message {}

    /** The whole registry of a core process. */
    record RegistrySnapshot(boolean complete, List<ServerRecord> servers) implements Message {}

    /**
     * An edge's long poll, which renews its lease.
     *
     * @param revision of the configuration in force at the edge; -1 for none
     * @param coreIncarnation the core life that {@code registryVersion} belongs to
     * @param address where the edge takes other edges' datagrams, as {@code HOST:PORT}
     * @param usage what tenants have used at this edge since its start, where it has changed
     */
    record Poll(
            String edge,
            long incarnation,
            String address,
            long poll,
            long revision,
            long coreIncarnation,
            long registryVersion,
            List<TenantUsage> usage)
            implements Message {}

    /**
     * The answer to a long poll.
     *
     * @param quorumAgeMs time since the core process last heard from a quorum
     * @param value the configuration, or null where the edge has the newest
     * @param wholeRegistry the servers are all that are known, not changes
     * @param registryComplete the core process surely knows all servers
     * @param edges how many edges hold a lease, and {@code number} which of them this one is
     * @param reporting how many edges have told their use lately
     * @param usage what tenants have used at all edges, as the core process has counted since its
     *     start
     * @param edgeAddresses where all edges take datagrams; empty where that has not changed
     */
    record PollReply(
            long poll,
            long coreIncarnation,
            int quorumAgeMs,
            RegisterValue value,
            boolean wholeRegistry,
            boolean registryComplete,
            long registryVersion,
            List<ServerRecord> servers,
            int edges,
            int number,
            int reporting,
            List<TenantUsage> usage,
            List<String> cores,
            List<String> edgeAddresses)
            implements Message {}

    /**
     * An edge's word to the others, by datagram, that it sends a prompt to a server. It may be
     * lost.
     *
     * @param freshTokens of the prompt that the server is taken to read anew
     */
    record PromptSent(String serverId, String backend, int freshTokens, List<PromptPart> parts)
            implements Message {}
}
