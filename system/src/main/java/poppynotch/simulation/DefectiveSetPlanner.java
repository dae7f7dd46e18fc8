package poppynotch.simulation;

import java.util.List;
import java.util.Optional;
import poppynotch.control.AcceptorSetPlanner;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.ChangeFunction;
import poppynotch.register.RegisterValue;

/** A planner of acceptor-set changes that has a {@link SeededDefect}. */
final class DefectiveSetPlanner extends AcceptorSetPlanner {

    private final SeededDefect defect;

    DefectiveSetPlanner(int toleratedLosses, SeededDefect defect) {
        super(toleratedLosses);
        this.defect = defect;
    }

    @Override
    public int toleratedLosses() {
        return defect == SeededDefect.ACKNOWLEDGED_BY_FOUNDERS ? 0 : super.toleratedLosses();
    }

    @Override
    public Optional<ChangeFunction> nextChange(
            long nowMs, RegisterValue value, Ballot valueBallot, List<ReplicaStatus> replicas) {
        if (defect == SeededDefect.PLACE_NEVER_HANDED_ON) {
            return Optional.empty();
        }
        Optional<ChangeFunction> next = super.nextChange(nowMs, value, valueBallot, replicas);
        return defect == SeededDefect.SET_CHANGE_OF_ANY_SET
                ? next.map(change -> withoutSetCheck(change, value))
                : next;
    }

    private static ChangeFunction withoutSetCheck(ChangeFunction change, RegisterValue planned) {
        AcceptorSet target =
                ((ChangeFunction.Decision.Replace) change.apply(planned)).value().acceptors();
        return current -> new ChangeFunction.Decision.Replace(current.withAcceptors(target));
    }
}
