package poppynotch.simulation;

import java.util.List;
import java.util.Optional;
import poppynotch.control.AcceptorSetPlanner;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.ChangeFunction;

/** A planner of the acceptor set with a {@link SeededDefect}. */
final class DefectiveSetPlanner extends AcceptorSetPlanner {

    private final SeededDefect defect;

    DefectiveSetPlanner(int toleratedMachines, SeededDefect defect) {
        super(toleratedMachines);
        this.defect = defect;
    }

    @Override
    public int toleratedLosses() {
        return defect == SeededDefect.ACKNOWLEDGED_BY_FOUNDERS ? 0 : super.toleratedLosses();
    }

    @Override
    public Optional<ChangeFunction> nextChange(
            long nowMs, AcceptorSet current, Ballot valueBallot, List<ReplicaStatus> replicas) {
        return defect == SeededDefect.PLACE_NEVER_HANDED_ON
                ? Optional.empty()
                : super.nextChange(nowMs, current, valueBallot, replicas);
    }
}
