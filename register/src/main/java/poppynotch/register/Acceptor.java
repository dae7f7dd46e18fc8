package poppynotch.register;

import java.util.Optional;

/**
 * One replica of the register. It does no I/O: its answers must not leave before the state that
 * goes with them is on disk. A state that could not be written may stay here, as a vote that nobody
 * has heard of harms nothing.
 */
public final class Acceptor {

    /**
     * An answer, and the state to be kept before it is sent.
     *
     * @param state null where nothing has changed
     */
    public record Answer(RegisterMessage vote, AcceptorState state) {}

    /** Null while it must not vote. */
    private AcceptorState state;

    /**
     * An acceptor that goes on from {@code state}, or that must not vote yet where that is empty.
     */
    public Acceptor(Optional<AcceptorState> state) {
        this.state = state.orElse(null);
    }

    /** Whether it may vote: not after its disk was lost, until it has recovered. */
    public boolean mayVote() {
        return state != null;
    }

    /** The latest state, empty while it must not vote. */
    public Optional<AcceptorState> state() {
        return Optional.ofNullable(state);
    }

    /** From now on it votes, and only above what {@code recovered} holds. */
    public void recover(AcceptorState recovered) {
        state = recovered;
    }

    /**
     * Takes in a value that is known to be chosen, as if its acceptance had come late: a replica
     * that missed the vote, or has none, so holds the value too. What was promised stays promised.
     *
     * @return the state to be kept; empty if it held the value already or must not vote
     */
    public Optional<AcceptorState> adopt(Ballot ballot, RegisterValue value) {
        if (state == null || ballot.compareTo(state.accepted()) <= 0) {
            return Optional.empty();
        }
        state = new AcceptorState(Ballot.max(state.promised(), ballot), ballot, value);
        return Optional.of(state);
    }

    /** The answer to a proposer; empty while it must not vote or for what is no question. */
    public Optional<Answer> on(RegisterMessage vote) {
        if (state == null) {
            return Optional.empty();
        }
        if (vote instanceof RegisterMessage.Prepare prepare) {
            return Optional.of(prepare(prepare));
        }
        if (vote instanceof RegisterMessage.Accept accept) {
            return Optional.of(accept(accept));
        }
        return Optional.empty();
    }

    private Answer prepare(RegisterMessage.Prepare prepare) {
        if (prepare.ballot().compareTo(state.promised()) < 0) {
            return new Answer(
                    new RegisterMessage.Rejected(prepare.ballot(), state.promised()), null);
        }
        boolean isNew = prepare.ballot().compareTo(state.promised()) > 0;
        state = state.promise(prepare.ballot());
        return new Answer(
                new RegisterMessage.Promise(prepare.ballot(), state.accepted(), state.value()),
                isNew ? state : null);
    }

    private Answer accept(RegisterMessage.Accept accept) {
        if (accept.ballot().compareTo(state.promised()) < 0) {
            return new Answer(
                    new RegisterMessage.Rejected(accept.ballot(), state.promised()), null);
        }
        state = new AcceptorState(accept.ballot(), accept.ballot(), accept.value());
        return new Answer(new RegisterMessage.Accepted(accept.ballot()), state);
    }
}
