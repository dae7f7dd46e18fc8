package poppynotch.register;

/**
 * A change function of CASPaxos, which computes a new value from the current one. It must depend on
 * that value alone, as it is evaluated again in every round of a proposal.
 */
@FunctionalInterface
public interface ChangeFunction {

    /** Decides whether to replace or keep {@code current}. */
    Decision apply(RegisterValue current);

    /** The result of a change function. */
    sealed interface Decision {

        /** Replaces the current value with {@code value}. */
        record Replace(RegisterValue value) implements Decision {}

        /** Keeps the current value. */
        record Keep() implements Decision {}
    }

    /** A change that only reads. */
    ChangeFunction READ = current -> new Decision.Keep();
}
