package poppynotch.register;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The proposal of one change, as in CASPaxos. A round has a Prepare phase, which finds the newest
 * value, then an Accept phase for the result of the change function. A round that is rejected for a
 * higher ballot is retried after a random backoff, until the deadline.
 *
 * <p>The outcome is reported only once a value is chosen. A change that keeps the value needs no
 * Accept phase if a quorum has accepted that value under one ballot. Otherwise the value is
 * accepted again first, so that no other value that only a few acceptors have accepted can be
 * chosen later.
 *
 * <p>A state machine without I/O and without threads; the owner calls it from one thread, passes
 * the time, and discards it once it has ended.
 */
public final class Proposal {

    /**
     * Upper bound of the random backoff after the first rejected round; it doubles with each
     * further one, up to {@link #MAX_BACKOFF_MS}.
     */
    private static final int INITIAL_BACKOFF_MS = 15;

    private static final int MAX_BACKOFF_MS = 160;

    /** A phase without a quorum of replies is given up after this time, as messages may be lost. */
    private static final long PHASE_TIMEOUT_MS = 400;

    /** Sends messages to acceptors. */
    public interface MessageSender {
        /**
         * Sends a message to one acceptor, which may be in this process. A reply must not be
         * delivered before this call returns.
         */
        void send(String acceptor, RegisterMessage message);
    }

    /**
     * The state that a proposal begins with.
     *
     * @param ballots issues the ballots of this replica, each above all that the replica has seen
     * @param acceptors the latest known acceptor set; the rounds find newer ones
     * @param seed the seed of the random backoff
     */
    public record Start(BallotGenerator ballots, AcceptorSet acceptors, long seed) {}

    private enum Phase {
        PREPARING,
        ACCEPTING,
        BACKING_OFF,
        ENDED
    }

    private final ChangeFunction change;
    private final BallotGenerator ballots;
    private final MessageSender sender;
    private final long deadlineMs;
    private final Consumer<ProposalOutcome> onOutcome;
    private final SplittableRandom random;

    private Phase phase = Phase.BACKING_OFF;

    /** When the current phase times out, or the backoff ends. */
    private long phaseDeadlineMs;

    private int maxBackoffMs = INITIAL_BACKOFF_MS;

    /** The ballot of the latest round. */
    private Ballot ballot = Ballot.ZERO;

    private AcceptorSet acceptors;
    private final PromiseTally promises = new PromiseTally();
    private final Set<String> acceptedBy = new HashSet<>();
    private RegisterValue proposedValue;

    /** Whether the proposed value is the change's result, not the value found. */
    private boolean proposesReplacement;

    /**
     * Whether the proposed value is the one found, which must be chosen before a further round
     * applies the change to it.
     */
    private boolean completesFoundValue;

    /**
     * Creates a proposal; nothing is sent before {@link #start}.
     *
     * @param deadlineMs when to give up, on the clock of {@link #start} and {@link #tick}
     * @param onOutcome called exactly once, from within a method of this class
     */
    public Proposal(
            ChangeFunction change,
            Start start,
            long deadlineMs,
            MessageSender sender,
            Consumer<ProposalOutcome> onOutcome) {
        this.change = change;
        this.deadlineMs = deadlineMs;
        this.sender = sender;
        this.onOutcome = onOutcome;
        acceptors = start.acceptors();
        ballots = start.ballots();
        random = new SplittableRandom(start.seed());
    }

    /** Begins the first round. */
    public void start(long nowMs) {
        startRound(nowMs);
    }

    /** Whether the outcome was reported. */
    public boolean hasEnded() {
        return phase == Phase.ENDED;
    }

    /** Checks the deadlines; to be called at short intervals. */
    public void tick(long nowMs) {
        if (phase == Phase.ENDED) {
            return;
        }
        if (nowMs >= deadlineMs) {
            finish(new ProposalOutcome.Unknown());
        } else if (nowMs >= phaseDeadlineMs) {
            startRound(nowMs);
        }
    }

    /** Handles an acceptor's reply; replies to earlier rounds and phases are ignored. */
    public void onReply(long nowMs, String from, RegisterMessage reply) {
        if (reply instanceof RegisterMessage.Promise promise) {
            onPromise(nowMs, from, promise);
        } else if (reply instanceof RegisterMessage.Accepted accepted) {
            onAccepted(nowMs, from, accepted);
        } else if (reply instanceof RegisterMessage.Rejected rejected) {
            onRejected(nowMs, rejected);
        }
    }

    private void onPromise(long nowMs, String from, RegisterMessage.Promise promise) {
        if (phase == Phase.PREPARING && promise.ballot().equals(ballot)) {
            promises.add(from, promise);
            evaluatePromises(nowMs);
        }
    }

    private void onAccepted(long nowMs, String from, RegisterMessage.Accepted accepted) {
        if (phase == Phase.ACCEPTING && accepted.ballot().equals(ballot)) {
            acceptedBy.add(from);
            evaluateAcceptances(nowMs);
        }
    }

    private void onRejected(long nowMs, RegisterMessage.Rejected rejected) {
        boolean inRound = phase == Phase.PREPARING || phase == Phase.ACCEPTING;
        if (inRound && rejected.ballot().equals(ballot)) {
            ballots.observe(rejected.promised());
            phase = Phase.BACKING_OFF;
            phaseDeadlineMs = nowMs + 1 + random.nextInt(maxBackoffMs);
            maxBackoffMs = Math.min(2 * maxBackoffMs, MAX_BACKOFF_MS);
        }
    }

    private void startRound(long nowMs) {
        ballot = ballots.next();
        promises.clear();
        phase = Phase.PREPARING;
        phaseDeadlineMs = nowMs + PHASE_TIMEOUT_MS;
        acceptors.voters().forEach(this::sendPrepare);
    }

    private void sendPrepare(String acceptor) {
        sender.send(acceptor, new RegisterMessage.Prepare(ballot));
    }

    private void evaluatePromises(long nowMs) {
        if (!acceptors.isQuorum(promises.acceptors())) {
            return;
        }
        RegisterMessage.Promise newest = promises.withHighestAccepted();
        AcceptorSet newestAcceptors = newest.value().acceptors();
        if (!newestAcceptors.equals(acceptors)) {
            // The promises contain the set that succeeded the one known so far: ask its members.
            acceptors = newestAcceptors;
            acceptors.voters().stream()
                    .filter(acceptor -> !promises.contains(acceptor))
                    .forEach(this::sendPrepare);
            evaluatePromises(nowMs);
            return;
        }
        ChangeFunction.Decision decision = change.apply(newest.value());
        if (decision instanceof ChangeFunction.Decision.Replace replace) {
            replaceValue(nowMs, newest, replace.value());
        } else {
            keepValue(nowMs, newest);
        }
    }

    private void keepValue(long nowMs, RegisterMessage.Promise newest) {
        if (promises.isChosen(newest)) {
            finish(new ProposalOutcome.Chosen(newest.accepted(), newest.value(), false));
        } else {
            completesFoundValue = false;
            startAcceptPhase(nowMs, newest.value(), false);
        }
    }

    private void replaceValue(long nowMs, RegisterMessage.Promise newest, RegisterValue next) {
        boolean setChanges = !next.acceptors().equals(acceptors);
        if (setChanges && !promises.isChosen(newest)) {
            // An acceptor set must be chosen before a change to the next one is proposed.
            completesFoundValue = true;
            startAcceptPhase(nowMs, newest.value(), false);
        } else {
            completesFoundValue = false;
            startAcceptPhase(nowMs, next, true);
        }
    }

    private void startAcceptPhase(long nowMs, RegisterValue value, boolean isReplacement) {
        phase = Phase.ACCEPTING;
        phaseDeadlineMs = nowMs + PHASE_TIMEOUT_MS;
        proposedValue = value;
        proposesReplacement = isReplacement;
        acceptedBy.clear();
        Set<String> voters = new HashSet<>(acceptors.voters());
        voters.addAll(value.acceptors().voters());
        voters.forEach(
                acceptor -> sender.send(acceptor, new RegisterMessage.Accept(ballot, value)));
    }

    private void evaluateAcceptances(long nowMs) {
        if (!acceptors.isQuorum(acceptedBy) || !proposedValue.acceptors().isQuorum(acceptedBy)) {
            return;
        }
        if (completesFoundValue) {
            completesFoundValue = false;
            startRound(nowMs);
        } else {
            finish(new ProposalOutcome.Chosen(ballot, proposedValue, proposesReplacement));
        }
    }

    private void finish(ProposalOutcome outcome) {
        phase = Phase.ENDED;
        onOutcome.accept(outcome);
    }
}
