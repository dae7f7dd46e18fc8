package poppynotch.control;

/** What an operator's call is answered with. */
public sealed interface OrderResult {

    /** The change is in the configuration, now or since it was first sent. */
    record Taken(long generation) implements OrderResult {}

    /** It builds on a version that is not current. */
    record Conflict(long current) implements OrderResult {}

    /** It is not valid; it will never be in force. */
    record Invalid(String reason) implements OrderResult {}

    /** Whether it is in force, or will be, is not known. */
    record Unclear() implements OrderResult {}
}
