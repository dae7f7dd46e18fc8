package poppynotch.register;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One change of the register in two rounds of votes: promises that tell the newest value, then
 * acceptance of what the change makes of it. It is told the time and does no I/O. Rounds that lose
 * against a higher ballot are tried again after a random pause, until the deadline.
 *
 * <p>A value is answered for only once it is chosen. A change that keeps the value is answered for
 * without a second round if a whole quorum holds that value under one ballot; else the value is
 * accepted anew first, so that no other value accepted by a few can come back.
 */
public final class ProposalRound {

    /** A pause between rounds that lost, in ms: the first is up to this, later ones up to more. */
    private static final int FIRST_PAUSE_MS = 15;

    private static final int MOST_PAUSE_MS = 160;

    /** A round without a quorum of answers is begun anew after this time, as messages get lost. */
    private static final long ROUND_MS = 400;

    /** Sends votes to acceptors; nothing may come back before the call returns. */
    public interface Port {
        /** Sends a vote to one acceptor, which may be in this process. */
        void send(String acceptor, RegisterMessage vote);
    }

    private enum Phase {
        PREPARING,
        ACCEPTING,
        PAUSING,
        ENDED
    }

    private final Change change;
    private final long proposer;
    private final Port port;
    private final long deadlineMs;
    private final Consumer<Outcome> end;
    private final SplittableRandom random;

    private Phase phase = Phase.PAUSING;
    private Ballot ballot;
    private AcceptorSet acceptors;
    private final Map<String, RegisterMessage.Promise> promises = new HashMap<>();
    private final Set<String> accepted = new HashSet<>();
    private RegisterValue proposed;
    private boolean replacing;

    /**
     * The value of this round is the one found, to be chosen before the change is applied to it.
     */
    private boolean settling;

    private long phaseEndsMs;
    private int pauseMs = FIRST_PAUSE_MS;

    /**
     * Prepares a proposal; nothing is sent before {@link #start}.
     *
     * @param acceptors who has a vote as far as known; newer sets are found by the rounds
     * @param highest the highest ballot known so far
     * @param proposer unique to this life of this process
     * @param deadlineMs when to give up, on the clock of {@link #start} and {@link #tick}
     * @param end told once
     */
    public ProposalRound(
            Change change,
            AcceptorSet acceptors,
            Ballot highest,
            long proposer,
            long deadlineMs,
            Port port,
            Consumer<Outcome> end,
            long seed) {
        this.change = change;
        this.acceptors = acceptors;
        this.ballot = highest;
        this.proposer = proposer;
        this.deadlineMs = deadlineMs;
        this.port = port;
        this.end = end;
        random = new SplittableRandom(seed);
    }

    /** Begins the first round. */
    public void start(long nowMs) {
        prepare(nowMs);
    }

    /** The ballot of the latest round: the next proposal begins above it. */
    public Ballot ballot() {
        return ballot;
    }

    public boolean hasEnded() {
        return phase == Phase.ENDED;
    }

    /** Time has passed. */
    public void tick(long nowMs) {
        if (phase == Phase.ENDED) {
            return;
        }
        if (nowMs >= deadlineMs) {
            finish(new Outcome.Unclear());
        } else if (nowMs >= phaseEndsMs) {
            prepare(nowMs);
        }
    }

    /** An acceptor has answered. */
    public void on(long nowMs, String from, RegisterMessage vote) {
        if (vote instanceof RegisterMessage.Promise promise
                && phase == Phase.PREPARING
                && promise.ballot().equals(ballot)) {
            promises.put(from, promise);
            weighPromises(nowMs);
        } else if (vote instanceof RegisterMessage.Accepted yes
                && phase == Phase.ACCEPTING
                && yes.ballot().equals(ballot)) {
            accepted.add(from);
            weighAcceptances(nowMs);
        } else if (vote instanceof RegisterMessage.Rejected no
                && no.ballot().equals(ballot)
                && (phase == Phase.PREPARING || phase == Phase.ACCEPTING)) {
            ballot = Ballot.max(ballot, no.promised());
            phase = Phase.PAUSING;
            phaseEndsMs = nowMs + 1 + random.nextInt(pauseMs);
            pauseMs = Math.min(2 * pauseMs, MOST_PAUSE_MS);
        }
    }

    private void prepare(long nowMs) {
        ballot = ballot.next(proposer);
        promises.clear();
        phase = Phase.PREPARING;
        phaseEndsMs = nowMs + ROUND_MS;
        acceptors
                .everyone()
                .forEach(acceptor -> port.send(acceptor, new RegisterMessage.Prepare(ballot)));
    }

    private void weighPromises(long nowMs) {
        if (!acceptors.isQuorum(promises.keySet())) {
            return;
        }
        RegisterMessage.Promise newest = newest();
        AcceptorSet deciding = newest.value().acceptors();
        if (!deciding.equals(acceptors)) {
            // A quorum of the set known so far tells of the set that has followed it.
            acceptors = deciding;
            deciding.everyone().stream()
                    .filter(acceptor -> !promises.containsKey(acceptor))
                    .forEach(acceptor -> port.send(acceptor, new RegisterMessage.Prepare(ballot)));
            weighPromises(nowMs);
            return;
        }
        Change.Decision decision = change.decide(newest.value());
        if (decision instanceof Change.Decision.Keep) {
            keep(nowMs, newest);
            return;
        }
        RegisterValue next = ((Change.Decision.Replace) decision).value();
        boolean setChanges = !next.acceptors().equals(acceptors);
        if (setChanges && !isChosen(newest)) {
            // A set of acceptors must be chosen before the next one builds on it.
            settling = true;
            accept(nowMs, newest.value(), false);
        } else {
            settling = false;
            accept(nowMs, next, true);
        }
    }

    private void keep(long nowMs, RegisterMessage.Promise newest) {
        if (isChosen(newest)) {
            finish(new Outcome.Chosen(newest.accepted(), newest.value(), false));
        } else {
            settling = false;
            accept(nowMs, newest.value(), false);
        }
    }

    private RegisterMessage.Promise newest() {
        return promises.values().stream()
                .max((a, b) -> a.accepted().compareTo(b.accepted()))
                .orElseThrow();
    }

    /** Whether a quorum holds it under one ballot. */
    private boolean isChosen(RegisterMessage.Promise newest) {
        Set<String> holders = new HashSet<>();
        promises.forEach(
                (from, promise) -> {
                    if (promise.accepted().equals(newest.accepted())) {
                        holders.add(from);
                    }
                });
        return newest.value().acceptors().isQuorum(holders);
    }

    private void accept(long nowMs, RegisterValue value, boolean isNew) {
        phase = Phase.ACCEPTING;
        phaseEndsMs = nowMs + ROUND_MS;
        proposed = value;
        replacing = isNew;
        accepted.clear();
        Set<String> voters = new HashSet<>(acceptors.everyone());
        voters.addAll(value.acceptors().everyone());
        voters.forEach(acceptor -> port.send(acceptor, new RegisterMessage.Accept(ballot, value)));
    }

    private void weighAcceptances(long nowMs) {
        if (!acceptors.isQuorum(accepted) || !proposed.acceptors().isQuorum(accepted)) {
            return;
        }
        if (settling) {
            settling = false;
            prepare(nowMs);
        } else {
            finish(new Outcome.Chosen(ballot, proposed, replacing));
        }
    }

    private void finish(Outcome outcome) {
        phase = Phase.ENDED;
        end.accept(outcome);
    }
}
