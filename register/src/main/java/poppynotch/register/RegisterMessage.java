package poppynotch.register;

/** The messages of the register's Paxos protocol between proposers and acceptors. */
public sealed interface RegisterMessage {

    /** A proposer's request to promise {@code ballot}: to reject every ballot below it. */
    record Prepare(Ballot ballot) implements RegisterMessage {}

    /**
     * An acceptor's promise of {@code ballot}.
     *
     * @param accepted the ballot under which it last accepted a value
     * @param value that value
     */
    record Promise(Ballot ballot, Ballot accepted, RegisterValue value)
            implements RegisterMessage {}

    /** A proposer's request to accept {@code value} under {@code ballot}. */
    record Accept(Ballot ballot, RegisterValue value) implements RegisterMessage {}

    /** An acceptor's confirmation: the value of {@code ballot} is accepted and on disk. */
    record Accepted(Ballot ballot) implements RegisterMessage {}

    /** An acceptor's rejection of {@code ballot}, as it has promised a higher one. */
    record Rejected(Ballot ballot, Ballot promised) implements RegisterMessage {}
}
