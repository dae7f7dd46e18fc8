package poppynotch.register;

import java.util.Optional;

/**
 * Recovery of an acceptor that has lost its disk, and with it its promises and accepted value.
 *
 * <p>It collects promises of a new ballot from other acceptors until they intersect every quorum
 * that the lost votes may have been part of. Then no lower ballot can complete with those votes,
 * and whatever was chosen with them is known.
 *
 * <p>A state machine without I/O and without threads; the owner calls it from one thread, passes
 * the time, and discards it once {@link #onReply} has returned a state.
 */
public final class AcceptorRecovery {

    /** A round without enough promises is restarted after this time, as messages get lost. */
    private static final long ROUND_TIMEOUT_MS = 500;

    private final String self;
    private final long proposer;
    private final ProposalRound.MessageSender sender;
    private final PromiseTally promises = new PromiseTally();
    private AcceptorSet acceptors;
    private Ballot ballot;
    private long roundDeadlineMs;

    /**
     * Creates a recovery; nothing is sent before {@link #tick}.
     *
     * @param self address of the acceptor that recovers
     * @param acceptors the acceptor set as far as known; its rounds find newer ones
     * @param highest the highest ballot known so far
     * @param proposer unique to this incarnation of this process
     */
    public AcceptorRecovery(
            String self,
            AcceptorSet acceptors,
            Ballot highest,
            long proposer,
            ProposalRound.MessageSender sender) {
        this.self = self;
        this.acceptors = acceptors;
        this.ballot = highest;
        this.proposer = proposer;
        this.sender = sender;
    }

    /** Begins a round if there is none yet or the last one has timed out. */
    public void tick(long nowMs) {
        if (nowMs >= roundDeadlineMs) {
            roundDeadlineMs = nowMs + ROUND_TIMEOUT_MS;
            ballot = ballot.next(proposer);
            promises.clear();
            acceptors.voters().forEach(this::sendPrepare);
        }
    }

    private void sendPrepare(String acceptor) {
        if (!acceptor.equals(self)) {
            sender.send(acceptor, new RegisterMessage.Prepare(ballot));
        }
    }

    /**
     * Handles an acceptor's reply.
     *
     * @return the recovered state, once enough acceptors have promised
     */
    public Optional<AcceptorState> onReply(String from, RegisterMessage reply) {
        if (reply instanceof RegisterMessage.Rejected rejected) {
            ballot = Ballot.max(ballot, rejected.promised());
            return Optional.empty();
        }
        if (reply instanceof RegisterMessage.Promise promise && promise.ballot().equals(ballot)) {
            promises.add(from, promise);
            return evaluatePromises();
        }
        return Optional.empty();
    }

    private Optional<AcceptorState> evaluatePromises() {
        if (!acceptors.intersectsQuorumsOf(self, promises.acceptors())) {
            return Optional.empty();
        }
        RegisterMessage.Promise newest = promises.withHighestAccepted();
        AcceptorSet newestAcceptors = newest.value().acceptors();
        if (!newestAcceptors.equals(acceptors)) {
            // The promises reveal an acceptor set that succeeded the one known so far.
            acceptors = newestAcceptors;
            acceptors.voters().stream()
                    .filter(acceptor -> !promises.contains(acceptor))
                    .forEach(this::sendPrepare);
            return evaluatePromises();
        }
        return Optional.of(new AcceptorState(ballot, newest.accepted(), newest.value()));
    }
}
