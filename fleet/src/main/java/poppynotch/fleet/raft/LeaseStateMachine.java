package poppynotch.fleet.raft;

import io.microraft.statemachine.StateMachine;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import poppynotch.fleet.lease.LeaseCommand;
import poppynotch.fleet.lease.LeaseService;
import poppynotch.fleet.lease.LeaseTable;

/**
 * MicroRaft's state machine over a {@link LeaseTable}: applies committed commands, takes and
 * installs snapshots, and reports both to the {@link LeaseService}. It also tracks whether a new
 * leader has applied all entries of earlier terms.
 *
 * <p>Owned by {@link RaftReplica}; MicroRaft calls it on the replica's executor thread.
 */
final class LeaseStateMachine implements StateMachine {

    private final RaftEndpointId self;
    private final LeaseTable table;
    private final LeaseService service;
    private final DoubleSupplier nowMs;
    private final Random random;

    /**
     * The first entry of this replica's term as leader; once it is applied, all entries before it
     * are applied too.
     */
    private LeaseCommand firstCommandOfTerm;

    private boolean upToDate;

    LeaseStateMachine(
            RaftEndpointId self,
            LeaseTable table,
            LeaseService service,
            DoubleSupplier nowMs,
            Random random) {
        this.self = self;
        this.table = table;
        this.service = service;
        this.nowMs = nowMs;
        this.random = random;
    }

    /** Whether this replica, if it is the leader, has applied all entries of earlier terms. */
    boolean isUpToDate() {
        return upToDate;
    }

    @Override
    public Object runOperation(long commitIndex, Object operation) {
        LeaseCommand command = (LeaseCommand) operation;
        upToDate |= command.equals(firstCommandOfTerm);
        LeaseTable.Outcome outcome = table.apply(command);
        service.onApplied(nowMs.getAsDouble(), command, outcome);
        return outcome;
    }

    @Override
    public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
        chunks.accept(table.leases());
    }

    @Override
    @SuppressWarnings("unchecked")
    public void installSnapshot(long commitIndex, List<Object> chunks) {
        table.restore((Map<String, LeaseTable.Lease>) chunks.get(0));
        service.onSnapshotInstalled(nowMs.getAsDouble());
    }

    @Override
    public Object getNewTermOperation() {
        upToDate = false;
        // The random instance id distinguishes it from the first command of any other term.
        firstCommandOfTerm =
                new LeaseCommand(LeaseCommand.Kind.READ, "", self.id(), random.nextLong(), 0, 0);
        return firstCommandOfTerm;
    }
}
