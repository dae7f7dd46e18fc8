package poppynotch.simulation;

import java.util.List;
import java.util.Optional;
import poppynotch.control.AcceptorSetPlanner;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.ChangeFunction;

/** A planner with {@link SeededDefect#PLACE_NEVER_HANDED_ON}: it never changes the acceptor set. */
final class DefectiveSetPlanner extends AcceptorSetPlanner {

    DefectiveSetPlanner(int toleratedMachines) {
        super(toleratedMachines);
    }

    @Override
    public Optional<ChangeFunction> nextChange(
            long nowMs, AcceptorSet current, Ballot durableBallot, List<ReplicaStatus> replicas) {
        return Optional.empty();
    }
}
