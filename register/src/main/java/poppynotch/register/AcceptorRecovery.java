package poppynotch.register;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Recovery of an acceptor that has lost its disk, and with it its promises and accepted value.
 *
 * <p>It collects promises of a new ballot from other acceptors until they intersect every quorum
 * that the lost votes may have been part of. Then no lower ballot can complete with those votes,
 * and every value that was chosen with them is known. All promises must be of one ballot: an
 * acceptor that has promised only a lower one may still accept a ballot that others reject.
 *
 * <p>Proposers issue higher ballots in the meantime. A round therefore begins well above the
 * highest ballot that this replica knows ({@link Settings#ballotLead}), sends its ballot again to
 * acceptors that have not replied, and is followed by the next round soon after a rejection.
 *
 * <p>A state machine without I/O and without threads; the owner calls it from one thread, passes
 * the time, and discards it once {@link #onReply} has returned a state.
 */
public final class AcceptorRecovery {

    /**
     * The ballots, timeouts and backoff of rounds.
     *
     * @param ballotLead how many ballots a round skips, so that proposers that have not seen its
     *     ballot yet stay below it
     * @param resendIntervalMs time after which an acceptor without a reply is sent the ballot again
     * @param roundTimeoutMs time after which a round without a rejection is followed by the next
     * @param initialBackoffMs upper bound of the random backoff after the first rejected round; it
     *     doubles with each further one
     * @param maxBackoffMs the highest upper bound of the backoff
     */
    public record Settings(
            long ballotLead,
            long resendIntervalMs,
            long roundTimeoutMs,
            int initialBackoffMs,
            int maxBackoffMs) {

        /** The settings of replicas in production. */
        public static final Settings DEFAULT = new Settings(1024, 150, 1000, 20, 160);
    }

    /**
     * A round that ended without enough promises.
     *
     * @param round counts the rounds of this recovery from 1
     * @param promisedBy the acceptors that promised its ballot
     * @param rejectedBy the acceptors that had promised a higher ballot, with that ballot;
     *     acceptors in neither collection have not replied
     */
    public record FailedRound(
            int round, Ballot ballot, Set<String> promisedBy, Map<String, Ballot> rejectedBy) {}

    private final String self;
    private final BallotGenerator ballots;
    private final Proposal.MessageSender sender;
    private final Settings settings;
    private final SplittableRandom random;
    private final Consumer<FailedRound> onRoundFailed;

    private final PromiseTally promises = new PromiseTally();
    private final Map<String, Ballot> rejections = new HashMap<>();

    /** The acceptor set that the owner passed last. */
    private AcceptorSet knownAcceptors = AcceptorSet.of(Set.of());

    /** The acceptor set of the round: the known one, or a newer one that its promises contain. */
    private AcceptorSet acceptors = knownAcceptors;

    /** The ballot of the round. */
    private Ballot ballot = Ballot.ZERO;

    private int rounds;
    private int maxBackoffMs;
    private long nextRoundMs = Long.MIN_VALUE;
    private long nextResendMs;

    /**
     * Creates a recovery; nothing is sent before {@link #tick}.
     *
     * @param self the address of the acceptor that recovers
     * @param ballots the ballots of this replica
     * @param seed the seed of the random backoff
     * @param onRoundFailed called from within {@link #tick}
     */
    public AcceptorRecovery(
            String self,
            BallotGenerator ballots,
            Proposal.MessageSender sender,
            Settings settings,
            long seed,
            Consumer<FailedRound> onRoundFailed) {
        this.self = self;
        this.ballots = ballots;
        this.sender = sender;
        this.settings = settings;
        this.onRoundFailed = onRoundFailed;
        random = new SplittableRandom(seed);
        maxBackoffMs = settings.initialBackoffMs();
    }

    /** How many rounds have begun. */
    public int rounds() {
        return rounds;
    }

    /**
     * Begins the next round or sends the ballot of this one again, as far as due; to be called at
     * short intervals.
     *
     * @param known the acceptor set as far as this replica knows; a round finds newer ones
     */
    public void tick(long nowMs, AcceptorSet known) {
        boolean setChanged = !known.equals(knownAcceptors);
        knownAcceptors = known;
        if (setChanged || nowMs >= nextRoundMs) {
            startRound(nowMs);
        } else if (nowMs >= nextResendMs) {
            sendToMissing(nowMs);
        }
    }

    private void startRound(long nowMs) {
        if (rounds > 0) {
            onRoundFailed.accept(
                    new FailedRound(
                            rounds,
                            ballot,
                            Set.copyOf(promises.acceptors()),
                            Map.copyOf(rejections)));
        }
        rounds++;
        acceptors = knownAcceptors;
        ballot = ballots.next(settings.ballotLead());
        promises.clear();
        rejections.clear();
        nextRoundMs = nowMs + settings.roundTimeoutMs();
        sendToMissing(nowMs);
    }

    /** Sends the ballot to the acceptors that have not replied to it. */
    private void sendToMissing(long nowMs) {
        nextResendMs = nowMs + settings.resendIntervalMs();
        for (String acceptor : acceptors.voters()) {
            boolean replied = promises.contains(acceptor) || rejections.containsKey(acceptor);
            if (!replied && !acceptor.equals(self)) {
                sender.send(acceptor, new RegisterMessage.Prepare(ballot));
            }
        }
    }

    /**
     * Handles an acceptor's reply; replies to earlier rounds are ignored.
     *
     * @return the recovered state, once enough acceptors have promised
     */
    public Optional<AcceptorState> onReply(long nowMs, String from, RegisterMessage reply) {
        if (reply instanceof RegisterMessage.Rejected rejected) {
            onRejected(nowMs, from, rejected);
        } else if (reply instanceof RegisterMessage.Promise promise
                && promise.ballot().equals(ballot)) {
            promises.add(from, promise);
            return evaluatePromises(nowMs);
        }
        return Optional.empty();
    }

    /** Promises of others still count: they may suffice without the acceptor that rejects. */
    private void onRejected(long nowMs, String from, RegisterMessage.Rejected rejected) {
        ballots.observe(rejected.promised());
        if (!rejected.ballot().equals(ballot)) {
            return;
        }
        if (rejections.isEmpty()) {
            nextRoundMs = Math.min(nextRoundMs, nowMs + 1 + random.nextInt(maxBackoffMs));
            maxBackoffMs = Math.min(2 * maxBackoffMs, settings.maxBackoffMs());
        }
        rejections.put(from, rejected.promised());
    }

    private Optional<AcceptorState> evaluatePromises(long nowMs) {
        if (!acceptors.intersectsQuorumsOf(self, promises.acceptors())) {
            return Optional.empty();
        }
        RegisterMessage.Promise newest = promises.withHighestAccepted();
        AcceptorSet newestAcceptors = newest.value().acceptors();
        if (!newestAcceptors.equals(acceptors)) {
            // The promises contain an acceptor set that succeeded the one known so far.
            acceptors = newestAcceptors;
            sendToMissing(nowMs);
            return evaluatePromises(nowMs);
        }
        return Optional.of(new AcceptorState(ballot, newest.accepted(), newest.value()));
    }
}
