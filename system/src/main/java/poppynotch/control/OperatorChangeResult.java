package poppynotch.control;

/** What an operator's call is answered with. */
public sealed interface OperatorChangeResult {

    /** The change is in the configuration, now or since it was first sent. */
    record Taken(long generation) implements OperatorChangeResult {}

    /** It builds on a version that is not current. */
    record Conflict(long current) implements OperatorChangeResult {}

    /** It is not valid; it will never be in force. */
    record Invalid(String reason) implements OperatorChangeResult {}

    /** Whether it is in force, or will be, is not known. */
    record Unclear() implements OperatorChangeResult {}
}
