package poppynotch.register;

import java.util.Optional;

/**
 * The acceptor of one replica of the register, as in CASPaxos: it promises ballots and accepts
 * values.
 *
 * <p>A state machine without I/O and without threads; the owner calls it from one thread. The owner
 * must write the state of a {@link Reply} to disk before it sends the reply's message. A state that
 * could not be written may stay in memory: a promise or an acceptance that was never sent does no
 * harm.
 */
public final class Acceptor {

    /**
     * A reply to a proposer, and the state that must be on disk before the reply is sent.
     *
     * @param message the reply
     * @param stateToPersist null where the state has not changed
     */
    public record Reply(RegisterMessage message, AcceptorState stateToPersist) {}

    /** Null while this acceptor must not vote. */
    private AcceptorState state;

    /**
     * Creates an acceptor that continues from {@code state}. Where that is empty, it must not vote
     * until {@link #resumeFrom}.
     */
    public Acceptor(Optional<AcceptorState> state) {
        this.state = state.orElse(null);
    }

    /** Whether it may vote; false from a loss of its disk until {@link #resumeFrom}. */
    public boolean mayVote() {
        return state != null;
    }

    /** The latest state; empty while it must not vote. */
    public Optional<AcceptorState> state() {
        return Optional.ofNullable(state);
    }

    /** Allows it to vote from now on, for ballots from {@code recovered.promised()} upwards. */
    public void resumeFrom(AcceptorState recovered) {
        state = recovered;
    }

    /**
     * Stores a value that is known to be chosen, as if its Accept message had arrived late. A
     * replica that missed the Accept, or was not an acceptor at the time, thereby stores the value
     * too. The promised ballot never decreases.
     *
     * @return the state to write to disk; empty if nothing changed, or it must not vote
     */
    public Optional<AcceptorState> onValueChosen(Ballot ballot, RegisterValue value) {
        if (state == null || ballot.compareTo(state.accepted()) <= 0) {
            return Optional.empty();
        }
        state = new AcceptorState(Ballot.max(state.promised(), ballot), ballot, value);
        return Optional.of(state);
    }

    /**
     * Handles a proposer's request.
     *
     * @return the reply; empty while it must not vote, and for messages other than Prepare and
     *     Accept
     */
    public Optional<Reply> onRequest(RegisterMessage request) {
        if (state == null) {
            return Optional.empty();
        }
        if (request instanceof RegisterMessage.Prepare prepare) {
            return Optional.of(onPrepare(prepare.ballot()));
        }
        if (request instanceof RegisterMessage.Accept accept) {
            return Optional.of(onAccept(accept));
        }
        return Optional.empty();
    }

    private Reply onPrepare(Ballot ballot) {
        if (isBelowPromise(ballot)) {
            return reject(ballot);
        }
        boolean promiseRaised = ballot.compareTo(state.promised()) > 0;
        state = state.promise(ballot);
        return new Reply(
                new RegisterMessage.Promise(ballot, state.accepted(), state.value()),
                promiseRaised ? state : null);
    }

    private Reply onAccept(RegisterMessage.Accept accept) {
        Ballot ballot = accept.ballot();
        if (isBelowPromise(ballot)) {
            return reject(ballot);
        }
        state = new AcceptorState(ballot, ballot, accept.value());
        return new Reply(new RegisterMessage.Accepted(ballot), state);
    }

    private boolean isBelowPromise(Ballot ballot) {
        return ballot.compareTo(state.promised()) < 0;
    }

    private Reply reject(Ballot ballot) {
        return new Reply(new RegisterMessage.Rejected(ballot, state.promised()), null);
    }
}
