package poppynotch.control;

/** The result of an operator's change. */
public sealed interface OperatorChangeResult {

    /**
     * The change is applied, by this submission or an earlier one of the same change.
     *
     * @param generation the generation of the current configuration, which may be a later one
     */
    record Applied(long generation) implements OperatorChangeResult {}

    /**
     * The change is based on a configuration that is not current, or conflicts with a running
     * rollout.
     *
     * @param currentGeneration the generation of the current configuration
     */
    record Conflict(long currentGeneration) implements OperatorChangeResult {}

    /** The change is invalid and will never be applied. */
    record Invalid(String reason) implements OperatorChangeResult {}

    /** It is not known whether the change is applied, or will be. */
    record Unclear() implements OperatorChangeResult {}
}
