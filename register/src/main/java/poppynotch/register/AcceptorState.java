package poppynotch.register;

/**
 * What an acceptor must not forget.
 *
 * @param promised no round below this ballot gets its vote
 * @param accepted the ballot under which it accepted {@code value}
 * @param value the latest accepted value
 */
public record AcceptorState(Ballot promised, Ballot accepted, RegisterValue value) {

    /** The state of an acceptor that has voted for nothing. */
    public static AcceptorState initial(AcceptorSet founders) {
        return new AcceptorState(Ballot.ZERO, Ballot.ZERO, RegisterValue.initial(founders));
    }

    AcceptorState promise(Ballot ballot) {
        return new AcceptorState(ballot, accepted, value);
    }
}
