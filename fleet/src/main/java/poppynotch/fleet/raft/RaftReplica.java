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
 * log is applied to, and the {@link LeaseService} that answers clients from it.
 *
 * <p>It does no I/O itself; executor, clock, store and network are passed in, so that it runs alike
 * on sockets and on a virtual clock. All calls belong on the executor's thread. The owner calls
 * {@link #advance} every 50 ms or so, and {@link #terminate} before it releases the store.
 */
public final class RaftReplica implements LeaseService.ReplicatedLog {

    /** The letter under which Raft messages travel; see {@code CompositePayload}. */
    public static final String LETTER = "k";

    /**
     * The group's timing. A leader that has had no contact with a majority for two seconds steps
     * down, and followers that have had none with a leader for as long elect one; heartbeats are
     * sent each second, which is the library's minimum.
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
     * A replica that has had no contact with a leader for this time, or up to twice as long by a
     * random draw, restarts its node from the store.
     */
    private static final double MIN_RESTART_TIMEOUT_MS = 5000;

    /** Sends messages to other members of the fleet. */
    public interface Network {
        /** Sends a message to the Raft server of this member name; it may be lost. */
        void send(String server, ByteBuffer message);

        /** Sends the response to a member's request; it may be lost. */
        void sendResponse(String member, long sequence, ByteBuffer response);

        /** Whether a member is present, as far as is known. */
        boolean isPresent(String member);
    }

    /** Where the replica's log is stored. */
    public interface Storage {
        /** Opens the store; called again only after the node that used it before was terminated. */
        OpenStore open();
    }

    /**
     * An open store.
     *
     * @param store receives what is to be persisted
     * @param restoredState the persisted state, or null for none
     */
    public record OpenStore(RaftStore store, RestoredRaftState restoredState) {}

    /**
     * What a replica runs on.
     *
     * @param nowMs a clock that never goes back, in milliseconds; no other clock is read
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

    /** When a leader was last in contact, or this replica was the leader itself. */
    private double lastLeaderContactMs;

    private double restartTimeoutMs;
    private long restartCount;
    private long unreadableCount;
    private long misaddressedCount;

    /**
     * Opens the store and starts to take part.
     *
     * @param generation the group's number; raised when it is founded anew after its log was lost
     * @param self this replica
     * @param initialMembers the group as it was founded; a replica that is not in it joins, and has
     *     no vote until the group gives it one; unused where the store has a log
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
        // The node applies its snapshot and the log behind it again.
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
     * Restarts the node from its store. The library's follower (0.7) does not stand for election
     * any more once a leader has overtaken a candidacy of its own, as the lease trial found with
     * drawn fault schedules (seed 1839): with enough of such followers no leader is ever elected.
     */
    private void restart() {
        restarting = true;
        restartCount++;
        node.terminate()
                .whenComplete(
                        (result, failure) -> environment.executor().execute(this::startAgain));
    }

    private void startAgain() {
        start();
        restarting = false;
    }

    /** Sends the node's messages through the fleet's membership messages. */
    private final class MessageTransport implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            RaftEndpointId receiver = (RaftEndpointId) to;
            try {
                byte[] bytes = RaftMessageCodec.encode(receiver.id(), message);
                // Sent twice, as heartbeats are a second apart and the loss of two deposes a
                // leader; receiving a message twice is harmless.
                environment.network().send(receiver.name(), ByteBuffer.wrap(bytes));
                environment.network().send(receiver.name(), ByteBuffer.wrap(bytes));
            } catch (IOException e) {
                throw new IllegalStateException("writing to memory cannot fail", e);
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

    // ---- Messages of other processes ----

    /** The handler of lease clients' requests, for the payload {@link LeaseCodec#LETTER}. */
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

    /** The handler of other replicas' messages, for the payload {@link #LETTER}. */
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
     * False for messages to an earlier replica of this name whose log was lost, from a sender that
     * is not the member it states, and of another generation of the group.
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

    /** Restarts the node where it is due, and advances the lease service; every 50 ms or so. */
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

    /** Terminates the node; once the future is complete, the store may be opened again. */
    public CompletableFuture<?> terminate() {
        return node.terminate();
    }

    /**
     * Transfers leadership to another voting replica that is present, as before a shutdown; the
     * future fails where that did not succeed, and is complete at once where there is no other.
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
     * @return the group's members after the change; fails where this replica is not the leader
     */
    public CompletableFuture<RaftGroupMembers> changeMembership(
            RaftEndpointId replica, MembershipChangeMode mode) {
        return node.changeMembership(replica, mode, node.getCommittedMembers().getLogIndex())
                .thenApply(ordered -> ordered.getResult());
    }

    /** The lease table as this replica has it, which may be behind the group's. */
    public LeaseTable table() {
        return table;
    }

    /** The service that answers lease clients. */
    public LeaseService service() {
        return service;
    }

    /** The group's members, as they were committed last. */
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

    /** How often the node was restarted for want of a leader. */
    public long restartCount() {
        return restartCount;
    }

    /** How many messages were rejected, as unreadable or not for this replica. */
    public long rejectedMessageCount() {
        return unreadableCount + misaddressedCount;
    }
}
