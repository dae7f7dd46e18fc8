package poppynotch.register;

/** What acceptors and proposers say to each other. */
public sealed interface RegisterMessage {

    /** Asks for the promise to take part in no round below {@code ballot}. */
    record Prepare(Ballot ballot) implements RegisterMessage {}

    /** The promise, with what was accepted last. */
    record Promise(Ballot ballot, Ballot accepted, RegisterValue value)
            implements RegisterMessage {}

    /** Asks to accept {@code value}. */
    record Accept(Ballot ballot, RegisterValue value) implements RegisterMessage {}

    /** The value of this ballot is accepted and on disk. */
    record Accepted(Ballot ballot) implements RegisterMessage {}

    /** A higher ballot was promised already. */
    record Rejected(Ballot ballot, Ballot promised) implements RegisterMessage {}
}
