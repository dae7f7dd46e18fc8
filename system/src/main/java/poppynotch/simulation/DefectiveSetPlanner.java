package poppynotch.simulation;

import java.util.List;
import java.util.Optional;
import poppynotch.control.AcceptorSetPlanner;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.Change;

/** Maintenance that hands no place among the acceptors on. */
final class DefectiveSetPlanner extends AcceptorSetPlanner {

    DefectiveSetPlanner(int toleratedMachines) {
        super(toleratedMachines);
    }

    @Override
    public Optional<Change> due(long nowMs, AcceptorSet current, Ballot held, List<Core> cores) {
        return Optional.empty();
    }
}
