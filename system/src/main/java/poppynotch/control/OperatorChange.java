package poppynotch.control;

import poppynotch.register.ChangeFunction;
import poppynotch.register.ProposalOutcome;

/**
 * A change of the register that an operator has submitted, and that has a result for the operator.
 */
public interface OperatorChange extends ChangeFunction {

    /** The operator's result, once the proposal of this change has ended with {@code outcome}. */
    OperatorChangeResult resultOf(ProposalOutcome outcome);
}
