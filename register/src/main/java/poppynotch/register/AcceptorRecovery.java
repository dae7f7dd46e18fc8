package poppynotch.register;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

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

    /**
     * A round that ended without enough promises.
     *
     * @param round counts the rounds of this recovery from 1
     * @param promisedBy the acceptors that promised its ballot
     * @param rejectedBy the acceptors that had promised a higher ballot, with that ballot; those in
     *     neither have not replied
     */
    public record FailedRound(
            int round, Ballot ballot, Set<String> promisedBy, Map<String, Ballot> rejectedBy) {}

    private final String self;
    private final long proposer;
    private final ProposalRound.MessageSender sender;
    private final Consumer<FailedRound> onRoundFailed;
    private final PromiseTally promises = new PromiseTally();
    private final Map<String, Ballot> rejections = new HashMap<>();
    private AcceptorSet acceptors;
    private Ballot ballot;
    private Ballot roundBallot;
    private long roundDeadlineMs;
    private int rounds;

    /**
     * Creates a recovery; nothing is sent before {@link #tick}.
     *
     * @param self address of the acceptor that recovers
     * @param acceptors the acceptor set as far as known; its rounds find newer ones
     * @param highest the highest ballot known so far
     * @param proposer unique to this incarnation of this process
     * @param onRoundFailed called from within {@link #tick}, for the log
     */
    public AcceptorRecovery(
            String self,
            AcceptorSet acceptors,
            Ballot highest,
            long proposer,
            ProposalRound.MessageSender sender,
            Consumer<FailedRound> onRoundFailed) {
        this.self = self;
        this.acceptors = acceptors;
        this.ballot = highest;
        this.proposer = proposer;
        this.sender = sender;
        this.onRoundFailed = onRoundFailed;
    }

    /** How many rounds have begun. */
    public int rounds() {
        return rounds;
    }

    /** Begins a round if there is none yet or the last one has timed out. */
    public void tick(long nowMs) {
        if (nowMs >= roundDeadlineMs) {
            if (rounds > 0) {
                onRoundFailed.accept(
                        new FailedRound(
                                rounds,
                                roundBallot,
                                Set.copyOf(promises.acceptors()),
                                Map.copyOf(rejections)));
            }
            rounds++;
            roundDeadlineMs = nowMs + ROUND_TIMEOUT_MS;
            ballot = ballot.next(proposer);
            roundBallot = ballot;
            promises.clear();
            rejections.clear();
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
            rejections.put(from, rejected.promised());
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
