package poppynotch.fleet.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import poppynotch.fleet.lease.LeaseClient;
import poppynotch.fleet.lease.LeaseCommand;
import poppynotch.fleet.lease.LeaseService;
import poppynotch.fleet.lease.LeaseSettings;
import poppynotch.fleet.lease.LeaseTable;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.wire.LeaseCodec;

/**
 * One replica of the Raft group that holds the lease table: a MicroRaft node, the table that its
 * log is applied to, and the {@link LeaseService} that serves clients from the table.
 *
 * <p>It does no I/O itself; executor, clock, store and network are passed in, so that the same code
 * runs on sockets and in simulations. All methods must be called on the executor's thread. The
 * owner calls {@link #advance} about every 50 ms, and {@link #terminate} before it releases the
 * store.
 */
public final class RaftReplica implements LeaseService.ReplicatedLog {

    /** The letter that identifies Raft messages in a {@code CompositePayload}. */
    public static final String LETTER = "k";

    /**
     * The timing of the group. A leader without contact with a majority for two seconds steps down,
     * and followers without contact with a leader for two seconds start an election. Heartbeats are
     * sent every second, which is the library's minimum interval.
     */
    private static final RaftConfig CONFIG =
            RaftConfig.newBuilder()
                    .setLeaderElectionTimeoutMillis(500)
                    .setLeaderHeartbeatPeriodSecs(1)
                    .setLeaderHeartbeatTimeoutSecs(2)
                    .setCommitCountToTakeSnapshot(2000)
                    .setAppendEntriesRequestBatchSize(50)
                    .setMaxPendingLogEntryCount(5000)
                    .build();

    /**
     * The minimum time without contact with a leader after which a replica restarts its node from
     * the store. The actual time-out is random, up to twice as long.
     */
    private static final double MIN_RESTART_TIMEOUT_MS = 5000;

    /** Sends messages to other members of the fleet. */
    public interface Network {
        /** Sends a message to the Raft server with this member name; the message may be lost. */
        void send(String server, ByteBuffer message);

        /** Sends the response to a member's request; the response may be lost. */
        void sendResponse(String member, long sequence, ByteBuffer response);

        /** Whether a member is present according to the local membership view. */
        boolean isPresent(String member);
    }

    /** The storage of the replica's log. */
    public interface Storage {
        /** Opens the store; called again only after the node that used it was terminated. */
        OpenStore open();
    }

    /**
     * An open store.
     *
     * @param store receives the state to be persisted
     * @param restoredState the persisted state, or null if there is none
     */
    public record OpenStore(RaftStore store, RestoredRaftState restoredState) {}

    /**
     * The runtime environment of a replica.
     *
     * @param nowMs a monotonic clock in milliseconds; no other clock is read
     */
    public record Environment(
            RaftNodeExecutor executor,
            Random random,
            DoubleSupplier nowMs,
            Network network,
            Storage storage) {}

    private final RaftEndpointId self;
    private final Environment environment;
    private final LeaseTable table;
    private final LeaseService service;
    private final LeaseStateMachine stateMachine;
    private final long generation;
    private final List<RaftEndpoint> initialMembers;
    private RaftNode node;
    private boolean restarting;

    /** When this replica was last in contact with a leader, or was the leader itself. */
    private double lastLeaderContactMs;

    private double restartTimeoutMs;
    private long restartCount;
    private long unreadableCount;
    private long misaddressedCount;

    /**
     * Opens the store and starts the node.
     *
     * @param generation the generation of the group, raised each time that the group is founded
     *     anew after its log was lost
     * @param self the id of this replica
     * @param initialMembers the founding members of the group; a replica that is not among them
     *     joins, and has no vote until the group promotes it; unused if the store has a log
     */
    public RaftReplica(
            long generation,
            RaftEndpointId self,
            Collection<RaftEndpointId> initialMembers,
            LeaseSettings settings,
            Environment environment) {
        this.generation = generation;
        this.self = self;
        this.initialMembers = List.copyOf(initialMembers);
        this.environment = environment;
        table = new LeaseTable(generation);
        service =
                new LeaseService(
                        settings,
                        table,
                        this,
                        (member, sequence, response) ->
                                environment
                                        .network()
                                        .sendResponse(
                                                member,
                                                sequence,
                                                LeaseCodec.encodeAnswer(response)));
        stateMachine =
                new LeaseStateMachine(
                        self, table, service, environment.nowMs(), environment.random());
        start();
    }

    private void start() {
        lastLeaderContactMs = nowMs();
        restartTimeoutMs = MIN_RESTART_TIMEOUT_MS * (1 + environment.random().nextDouble());
        // The new node applies its snapshot and the later log entries again.
        table.restore(Map.of());
        OpenStore opened = environment.storage().open();
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId("duties-" + generation)
                        .setConfig(CONFIG)
                        .setExecutor(environment.executor())
                        .setTransport(new MessageTransport())
                        .setStateMachine(stateMachine)
                        .setStore(opened.store())
                        .setModelFactory(RaftCodec.MODEL)
                        .setClock(new ElapsedTimeClock(environment.nowMs()))
                        .setRandom(environment.random());
        if (opened.restoredState() != null) {
            builder.setRestoredState(opened.restoredState());
        } else {
            builder.setLocalEndpoint(self).setInitialGroupMembers(initialMembers);
        }
        node = builder.build();
        node.start();
    }

    private double nowMs() {
        return environment.nowMs().getAsDouble();
    }

    /**
     * Restarts the node from its store. A follower of MicroRaft 0.7 never becomes a candidate again
     * once another leader was elected during its own candidacy, which the lease trial found with
     * random fault schedules (seed 1839): with enough such followers no leader is ever elected.
     */
    private void restart() {
        restarting = true;
        restartCount++;
        node.terminate()
                .whenComplete(
                        (result, failure) -> environment.executor().execute(this::completeRestart));
    }

    private void completeRestart() {
        start();
        restarting = false;
    }

    /** Sends the node's messages as payloads of the fleet's membership messages. */
    private final class MessageTransport implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            RaftEndpointId receiver = (RaftEndpointId) to;
            try {
                byte[] bytes = RaftMessageCodec.encode(receiver.id(), message);
                // Sent twice because heartbeats are a second apart and the loss of two makes a
                // leader step down; duplicate messages are harmless.
                environment.network().send(receiver.name(), ByteBuffer.wrap(bytes));
                environment.network().send(receiver.name(), ByteBuffer.wrap(bytes));
            } catch (IOException e) {
                throw new IllegalStateException("failed to encode a Raft message in memory", e);
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return environment.network().isPresent(((RaftEndpointId) endpoint).name());
        }
    }

    // ---- LeaseService.ReplicatedLog ----

    @Override
    public boolean isLeader() {
        return stateMachine.isUpToDate()
                && node.getStatus() == RaftNodeStatus.ACTIVE
                && isTermLeader();
    }

    private boolean isTermLeader() {
        return self.equals(node.getTerm().getLeaderEndpoint());
    }

    @Override
    public long term() {
        return node.getTerm().getTerm();
    }

    @Override
    public String leader() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null ? "" : ((RaftEndpointId) leader).name();
    }

    @Override
    public void propose(LeaseCommand command, Consumer<LeaseTable.Outcome> onOutcome) {
        node.<LeaseTable.Outcome>replicate(command)
                .whenComplete(
                        (ordered, failure) ->
                                onOutcome.accept(failure == null ? ordered.getResult() : null));
    }

    // ---- Messages from other processes ----

    /** The handler of lease clients' requests, for payloads of {@link LeaseCodec#LETTER}. */
    public PiggybackPayload leaseRequestHandler() {
        return new LeaseRequestHandler();
    }

    private final class LeaseRequestHandler implements PiggybackPayload {
        @Override
        public ByteBuffer onQuestion(double now, String from, long sequence, ByteBuffer bytes) {
            try {
                LeaseClient.Request request = LeaseCodec.decodeQuestion(bytes);
                service.onRequest(now, from, sequence, request);
            } catch (IOException e) {
                unreadableCount++;
            }
            return Message.EMPTY_PAYLOAD;
        }
    }

    /** The handler of other replicas' messages, for payloads of {@link #LETTER}. */
    public PiggybackPayload raftMessageHandler() {
        return new RaftMessageHandler();
    }

    private final class RaftMessageHandler implements PiggybackPayload {
        @Override
        public ByteBuffer onQuestion(double now, String from, long sequence, ByteBuffer bytes) {
            try {
                RaftMessageCodec.Addressed addressed =
                        RaftMessageCodec.decode(Message.toBytes(bytes));
                if (isForThisReplica(addressed, from)) {
                    onRaftMessage(now, addressed.message());
                } else {
                    misaddressedCount++;
                }
            } catch (IOException | IllegalArgumentException e) {
                unreadableCount++;
            }
            return Message.EMPTY_PAYLOAD;
        }
    }

    /**
     * Whether a message is addressed to this replica. It is not if it is addressed to an earlier
     * replica of this name whose log was lost, if its sender is not the member that it states, or
     * if it belongs to another generation of the group.
     */
    private boolean isForThisReplica(RaftMessageCodec.Addressed addressed, String from) {
        RaftEndpointId sender = (RaftEndpointId) addressed.message().getSender();
        return addressed.to().equals(self.id())
                && sender.name().equals(from)
                && addressed.message().getGroupId().equals(node.getGroupId());
    }

    private void onRaftMessage(double nowMs, RaftMessage message) {
        if (message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest) {
            lastLeaderContactMs = nowMs;
        }
        node.handle(message);
    }

    /** Restarts the node if that is due and advances the lease service; about every 50 ms. */
    public void advance() {
        double nowMs = nowMs();
        if (isTermLeader()) {
            lastLeaderContactMs = nowMs;
        }
        if (!restarting && nowMs - lastLeaderContactMs > restartTimeoutMs) {
            restart();
        }
        service.advance(nowMs);
    }

    /** Terminates the node; the store may be opened again once the future is complete. */
    public CompletableFuture<?> terminate() {
        return node.terminate();
    }

    /**
     * Transfers leadership to another voting replica that is present, for example before a
     * shutdown. The future fails if the transfer fails, and is already complete if there is no such
     * replica.
     */
    public CompletableFuture<?> transferLeadership() {
        Optional<RaftEndpoint> successor =
                node.getCommittedMembers().getVotingMembers().stream()
                        .filter(member -> !member.equals(self) && isPresent(member))
                        .findFirst();
        return successor.isEmpty()
                ? CompletableFuture.completedFuture(null)
                : node.transferLeadership(successor.get());
    }

    private boolean isPresent(RaftEndpoint member) {
        return environment.network().isPresent(((RaftEndpointId) member).name());
    }

    /**
     * Adds, promotes or removes a replica.
     *
     * @return the group's members after the change; fails if this replica is not the leader
     */
    public CompletableFuture<RaftGroupMembers> changeMembership(
            RaftEndpointId replica, MembershipChangeMode mode) {
        return node.changeMembership(replica, mode, node.getCommittedMembers().getLogIndex())
                .thenApply(ordered -> ordered.getResult());
    }

    /** The lease table of this replica, which may lag behind the leader's. */
    public LeaseTable table() {
        return table;
    }

    /** The service that answers lease clients. */
    public LeaseService service() {
        return service;
    }

    /** The last committed members of the group. */
    public List<RaftEndpointId> members() {
        return node.getCommittedMembers().getMembers().stream()
                .map(member -> (RaftEndpointId) member)
                .toList();
    }

    /** Whether this replica is a voting member of the group. */
    public boolean isVoting() {
        return node.getEffectiveMembers().getVotingMembers().contains(self);
    }

    /** This replica's id. */
    public RaftEndpointId self() {
        return self;
    }

    /** How often the node was restarted because it had no contact with a leader. */
    public long restartCount() {
        return restartCount;
    }

    /** The number of messages rejected as unreadable or as not addressed to this replica. */
    public long rejectedMessageCount() {
        return unreadableCount + misaddressedCount;
    }
}
