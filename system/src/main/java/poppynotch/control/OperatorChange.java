package poppynotch.control;

import poppynotch.register.Change;
import poppynotch.register.Outcome;

/** An operator's change of the register, and what the operator is told of it. */
public interface OperatorChange extends Change {

    /** What the operator is told, once the proposal of this change has ended. */
    OperatorChangeResult resultOf(Outcome outcome);
}
