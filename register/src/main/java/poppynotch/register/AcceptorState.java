package poppynotch.register;

/**
 * The durable state of an acceptor. It is immutable.
 *
 * @param promised the acceptor rejects every ballot below this one
 * @param accepted the ballot under which it accepted {@code value}
 * @param value the latest accepted value
 */
public record AcceptorState(Ballot promised, Ballot accepted, RegisterValue value) {

    /** The state of an acceptor that has promised and accepted nothing. */
    public static AcceptorState initial(AcceptorSet initialAcceptors) {
        return new AcceptorState(Ballot.ZERO, Ballot.ZERO, RegisterValue.initial(initialAcceptors));
    }

    /** The state after a promise of {@code ballot}. */
    AcceptorState promise(Ballot ballot) {
        return new AcceptorState(ballot, accepted, value);
    }
}
