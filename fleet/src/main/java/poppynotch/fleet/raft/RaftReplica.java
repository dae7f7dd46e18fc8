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
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Collection;
import java.util.List;
import java.util.Map;
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
 * One keeper: its part of the group's log, kept by MicroRaft, and the steward that serves from it.
 * It does no I/O itself; its executor, clock, store and links are given, so that it runs alike on
 * sockets and on a virtual clock. All calls belong on the executor's thread.
 */
public final class RaftReplica implements LeaseService.Log {

    /** The letter under which keepers' messages to each other travel. */
    public static final String LETTER = "k";

    /**
     * The group's times. A leader that hears from no majority for two seconds stands down, and
     * followers that hear from no leader for as long elect one; heartbeats come each second, as the
     * library has it at least.
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

    /** Whoever hears of no leader for so long, and up to twice that, begins anew from its disk. */
    private static final double LEAST_SILENCE_MS = 5000;

    /** How messages get to other processes. */
    public interface Links {
        /** Sends to the keeper of this name; it may be lost. */
        void send(String keeper, ByteBuffer message);

        /** Answers a question; the answer may be lost. */
        void reply(String member, long sequence, ByteBuffer answer);

        /** Whether a member is there, as far as is known. */
        boolean isPresent(String member);
    }

    /** Where a keeper's part of the log is kept. */
    public interface Disk {
        /** What is kept, and where to keep more; once more after the one before was closed. */
        Kept open();
    }

    /**
     * A disk that is open.
     *
     * @param store keeps what is given to it
     * @param restored what was kept, or null for nothing
     */
    public record Kept(RaftStore store, RestoredRaftState restored) {}

    /**
     * What a keeper is made of.
     *
     * @param nowMs a clock that never goes back, in milliseconds; no other clock is read
     */
    public record Parts(
            RaftNodeExecutor executor,
            Random random,
            DoubleSupplier nowMs,
            Links links,
            Disk disk) {}

    private final RaftEndpointId self;
    private final Parts parts;
    private final LeaseTable ledger;
    private final LeaseService steward;
    private final long group;
    private final List<RaftEndpoint> initial;
    private RaftNode node;
    private boolean restarting;

    /** When it heard from a leader last, or led; and how long a silence it bears. */
    private double leaderMs;

    private double silenceMs;

    /** The first entry of its own term as a leader; once that is carried out, all before it is. */
    private LeaseCommand firstOfTerm;

    private boolean upToDate;
    private long restarts;
    private long unreadable;
    private long strays;

    /**
     * Starts to take part.
     *
     * @param group the group's number; grows when it is founded anew after its log was lost
     * @param self who this keeper is
     * @param initial the group as it was founded; whoever is not in it joins, and has no vote until
     *     the group gives it one; unused where the disk holds a log
     * @param restored what its store holds, or null
     */
    public RaftReplica(
            long group,
            RaftEndpointId self,
            Collection<RaftEndpointId> initial,
            LeaseSettings terms,
            Parts parts) {
        this.group = group;
        this.self = self;
        this.initial = List.copyOf(initial);
        this.parts = parts;
        ledger = new LeaseTable(group);
        steward =
                new LeaseService(
                        terms,
                        ledger,
                        this,
                        (to, sequence, answer) ->
                                parts.links().reply(to, sequence, LeaseCodec.answer(answer)));
        start();
    }

    private void start() {
        leaderMs = parts.nowMs().getAsDouble();
        silenceMs = LEAST_SILENCE_MS * (1 + parts.random().nextDouble());
        // The log tells again all that its snapshot does not.
        ledger.restore(Map.of());
        Kept kept = parts.disk().open();
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId("duties-" + group)
                        .setConfig(CONFIG)
                        .setExecutor(parts.executor())
                        .setTransport(new Sending())
                        .setStateMachine(new Applying())
                        .setStore(kept.store())
                        .setModelFactory(RaftCodec.MODEL)
                        .setClock(new Monotonic(parts.nowMs()))
                        .setRandom(parts.random());
        if (kept.restored() != null) {
            builder.setRestoredState(kept.restored());
        } else {
            builder.setLocalEndpoint(self).setInitialGroupMembers(initial);
        }
        node = builder.build();
        node.start();
    }

    /**
     * Begins anew from its disk. The library's follower (0.7) does not stand for election any more
     * once a leader has overtaken a try of its own, as drawn schedules found (seed 1839 of duties):
     * with enough of such followers no leader is ever found.
     */
    private void restart() {
        restarting = true;
        restarts++;
        node.terminate()
                .whenComplete(
                        (ended, failure) ->
                                parts.executor()
                                        .execute(
                                                () -> {
                                                    start();
                                                    restarting = false;
                                                }));
    }

    /** The library wants a clock of days; only differences of its times are used. */
    private static final class Monotonic extends Clock {
        private final DoubleSupplier nowMs;

        Monotonic(DoubleSupplier nowMs) {
            this.nowMs = nowMs;
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli((long) nowMs.getAsDouble());
        }
    }

    /** Takes a message from another keeper to it. */
    private final class Sending implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            try {
                byte[] bytes = RaftMessageCodec.encode(((RaftEndpointId) to).id(), message);
                // Twice, as heartbeats come each second and two lost ones depose a leader; once is
                // as good.
                parts.links().send(((RaftEndpointId) to).name(), ByteBuffer.wrap(bytes));
                parts.links().send(((RaftEndpointId) to).name(), ByteBuffer.wrap(bytes));
            } catch (IOException e) {
                throw new IllegalStateException("writing to memory cannot fail", e);
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return parts.links().isPresent(((RaftEndpointId) endpoint).name());
        }
    }

    /** The ledger as MicroRaft's state machine. */
    private final class Applying implements StateMachine {
        @Override
        public Object runOperation(long commitIndex, Object operation) {
            LeaseCommand command = (LeaseCommand) operation;
            upToDate |= command.equals(firstOfTerm);
            LeaseTable.Outcome outcome = ledger.apply(command);
            steward.applied(parts.nowMs().getAsDouble(), command, outcome);
            return outcome;
        }

        @Override
        public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
            chunks.accept(ledger.duties());
        }

        @Override
        @SuppressWarnings("unchecked")
        public void installSnapshot(long commitIndex, List<Object> chunks) {
            ledger.restore((Map<String, LeaseTable.Lease>) chunks.get(0));
            steward.restored(parts.nowMs().getAsDouble());
        }

        @Override
        public Object getNewTermOperation() {
            upToDate = false;
            firstOfTerm =
                    new LeaseCommand(
                            LeaseCommand.Kind.LOOK, "", self.id(), parts.random().nextLong(), 0, 0);
            return firstOfTerm;
        }
    }

    // ---- what the steward asks of the log ----

    @Override
    public boolean leads() {
        return upToDate
                && node.getStatus() == RaftNodeStatus.ACTIVE
                && self.equals(node.getTerm().getLeaderEndpoint());
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
    public void propose(LeaseCommand command, Consumer<LeaseTable.Outcome> then) {
        node.<LeaseTable.Outcome>replicate(command)
                .whenComplete(
                        (ordered, failure) ->
                                then.accept(failure == null ? ordered.getResult() : null));
    }

    // ---- what comes from other processes ----

    /** Questions for duties. */
    public PiggybackPayload desk() {
        return new PiggybackPayload() {
            @Override
            public ByteBuffer asked(double now, String from, long sequence, ByteBuffer question) {
                try {
                    LeaseClient.Question asked = LeaseCodec.question(question);
                    steward.asked(now, from, sequence, asked.command(), asked.preference());
                } catch (IOException e) {
                    unreadable++;
                }
                return Message.NOTHING;
            }
        };
    }

    /** Messages of other keepers. */
    public PiggybackPayload post() {
        return new PiggybackPayload() {
            @Override
            public ByteBuffer asked(double now, String from, long sequence, ByteBuffer message) {
                try {
                    RaftMessageCodec.Addressed addressed =
                            RaftMessageCodec.decode(Message.bytes(message));
                    // One that is for the keeper before this one, or says that it is from another
                    // than it is.
                    if (addressed.to().equals(self.id())
                            && ((RaftEndpointId) addressed.message().getSender())
                                    .name()
                                    .equals(from)
                            && addressed.message().getGroupId().equals(node.getGroupId())) {
                        boolean led =
                                addressed.message() instanceof AppendEntriesRequest
                                        || addressed.message() instanceof InstallSnapshotRequest;
                        leaderMs = led ? now : leaderMs;
                        node.handle(addressed.message());
                    } else {
                        strays++;
                    }
                } catch (IOException | IllegalArgumentException e) {
                    unreadable++;
                }
                return Message.NOTHING;
            }
        };
    }

    /** Does what is due; called every 50 ms or so. */
    public void advance() {
        double now = parts.nowMs().getAsDouble();
        leaderMs = self.equals(node.getTerm().getLeaderEndpoint()) ? now : leaderMs;
        if (!restarting && now - leaderMs > silenceMs) {
            restart();
        }
        steward.advance(now);
    }

    /** Ends it; its store can be opened again after that. */
    public CompletableFuture<?> end() {
        return node.terminate();
    }

    /**
     * Hands leadership to another keeper, as before an end; the end of the future tells whether it
     * did.
     */
    public CompletableFuture<?> handOver() {
        Collection<RaftEndpoint> others =
                node.getCommittedMembers().getVotingMembers().stream()
                        .filter(
                                member ->
                                        !member.equals(self)
                                                && parts.links()
                                                        .isPresent(
                                                                ((RaftEndpointId) member).name()))
                        .toList();
        return others.isEmpty()
                ? CompletableFuture.completedFuture(null)
                : node.transferLeadership(others.iterator().next());
    }

    /** Adds, promotes or removes a keeper; the group's members as they are then. */
    public CompletableFuture<RaftGroupMembers> change(
            RaftEndpointId keeper, MembershipChangeMode mode) {
        return node.changeMembership(keeper, mode, node.getCommittedMembers().getLogIndex())
                .thenApply(ordered -> ordered.getResult());
    }

    /** The ledger as this keeper has it, which may be behind. */
    public LeaseTable ledger() {
        return ledger;
    }

    /** What it does for those who ask. */
    public LeaseService steward() {
        return steward;
    }

    /** The group as it was agreed on last. */
    public List<RaftEndpointId> members() {
        return node.getCommittedMembers().getMembers().stream()
                .map(member -> (RaftEndpointId) member)
                .toList();
    }

    /** Whether the group counts its vote. */
    public boolean votes() {
        return node.getEffectiveMembers().getVotingMembers().contains(self);
    }

    /** Who it is. */
    public RaftEndpointId self() {
        return self;
    }

    /** How often it began anew as it heard of no leader. */
    public long restarts() {
        return restarts;
    }

    /** Messages that could not be read, and such that were for another. */
    public long unreadable() {
        return unreadable + strays;
    }
}
