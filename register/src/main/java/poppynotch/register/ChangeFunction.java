package poppynotch.register;

/**
 * A change function of CASPaxos: what a proposer does to the current value. It must depend on that
 * value alone, as it is evaluated again in every round of a proposal.
 */
@FunctionalInterface
public interface ChangeFunction {

    /** Decides what becomes of {@code current}. */
    Decision apply(RegisterValue current);

    /** The result of a change function. */
    sealed interface Decision {

        /** The register shall hold {@code value} from now on. */
        record Replace(RegisterValue value) implements Decision {}

        /** The value stays. */
        record Keep() implements Decision {}
    }

    /** A change that only reads. */
    ChangeFunction READ = current -> new Decision.Keep();
}
