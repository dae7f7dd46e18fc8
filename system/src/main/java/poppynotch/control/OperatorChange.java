package poppynotch.control;

import poppynotch.register.Change;
import poppynotch.register.Outcome;

/**
 * A change of the register that an operator has submitted, with the result that the operator gets.
 */
public interface OperatorChange extends Change {

    /** The operator's result, once the proposal of this change has ended with {@code outcome}. */
    OperatorChangeResult resultOf(Outcome outcome);
}
