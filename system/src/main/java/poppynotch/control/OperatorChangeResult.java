package poppynotch.control;

/** The result of an operator's change. */
public sealed interface OperatorChangeResult {

    /**
     * The change is in the configuration, now or since it was first sent.
     *
     * @param generation of the configuration that is current
     */
    record Applied(long generation) implements OperatorChangeResult {}

    /**
     * The change builds on a configuration that is not current.
     *
     * @param currentGeneration the generation that is current
     */
    record Conflict(long currentGeneration) implements OperatorChangeResult {}

    /** The change is not valid and will never be in force. */
    record Invalid(String reason) implements OperatorChangeResult {}

    /** It is not known whether the change is in force, or will be. */
    record Unclear() implements OperatorChangeResult {}
}
