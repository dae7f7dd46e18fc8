package poppynotch.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.Acceptor;
import poppynotch.register.AcceptorRecovery;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.register.Ballot;
import poppynotch.register.BallotGenerator;
import poppynotch.register.ChangeFunction;
import poppynotch.register.Proposal;
import poppynotch.register.ProposalOutcome;
import poppynotch.register.RegisterMessage;
import poppynotch.register.RegisterValue;

/**
 * One process's replica of the replicated register (a Paxos register that holds the configuration
 * and the acceptor set). It combines the process's acceptor, a queue of its own proposals that run
 * one at a time, the newest value known to be chosen, and the repair of values that were accepted
 * but never announced.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread; callbacks run on that thread.
 * Time is passed in, messages go out through {@link Host}, and the acceptor's state is persisted by
 * a {@link StateStorage}.
 */
public final class RegisterReplica {

    private static final Logger LOG = LoggerFactory.getLogger(RegisterReplica.class);

    /** A value that was chosen under a ballot. */
    public record ChosenValue(Ballot ballot, RegisterValue value) {}

    /** The services that the replica requires from its process. */
    public interface Host extends Proposal.MessageSender {

        /**
         * Called when a newer value is known to be chosen.
         *
         * @param proposedHere whether it was chosen by a proposal of this process
         */
        void onValueChosen(ChosenValue chosen, boolean proposedHere);
    }

    private record PendingChange(
            ChangeFunction change, long deadlineMs, Consumer<ProposalOutcome> onOutcome) {}

    /**
     * A value that acceptors have accepted, but that was not announced as chosen, is read from the
     * register after this time plus a random time below {@link #REPAIR_JITTER_MS}. The sum is well
     * below the quorum lease, {@link QuorumLease#DURATION_MS}.
     */
    private static final long REPAIR_DELAY_MS = 200;

    private static final int REPAIR_JITTER_MS = 200;

    /** A replica that knows no value reads the register after a random time below this. */
    private static final int FIRST_READ_JITTER_MS = 200;

    private static final long READ_TIMEOUT_MS = 1500;

    /** Capacity of the proposal queue; further changes end at once with an unknown outcome. */
    private static final int MAX_PENDING_CHANGES = 64;

    private static final long NO_READ_SCHEDULED = Long.MIN_VALUE;

    private final String self;
    private final AcceptorRecovery.Settings recoverySettings;
    private final Host host;
    private final StateStorage<AcceptorState> storage;
    private final Acceptor acceptor;
    private final SplittableRandom random;
    private final Deque<PendingChange> pending = new ArrayDeque<>();

    /** The latest proposal of this process, running or ended; null before the first. */
    private Proposal activeProposal;

    /** The recovery of the acceptor's vote; null when none is in progress. */
    private AcceptorRecovery recovery;

    private long recoveryStartedMs;

    private AcceptorSet acceptors;
    private final BallotGenerator ballots;

    /** The newest value known to be chosen; null if none is known. */
    private ChosenValue chosen;

    private long repairReadAtMs = NO_READ_SCHEDULED;
    private boolean repairReadInProgress;

    /** The highest ballot accepted by a peer's acceptor since the last successful repair read. */
    private Ballot acceptedByPeers = Ballot.ZERO;

    private Ballot persistedBallot = Ballot.ZERO;

    /**
     * Creates a replica that continues from a persisted state. Without one, it must recover its
     * vote before it takes part in decisions.
     *
     * @param incarnation a number that differs for each start of the process; part of its ballots
     *     and the seed of its random delays
     * @param acceptors the acceptor set known at the start, if no state is persisted; it may be
     *     empty
     * @param recoverySettings settings for the recovery of a lost vote
     */
    public RegisterReplica(
            String self,
            long incarnation,
            Optional<AcceptorState> persisted,
            AcceptorSet acceptors,
            AcceptorRecovery.Settings recoverySettings,
            StateStorage<AcceptorState> storage,
            Host host) {
        this.self = self;
        this.recoverySettings = recoverySettings;
        this.storage = storage;
        this.host = host;
        this.acceptors = persisted.map(state -> state.value().acceptors()).orElse(acceptors);
        acceptor = new Acceptor(persisted);
        ballots =
                new BallotGenerator(
                        incarnation, persisted.map(AcceptorState::promised).orElse(Ballot.ZERO));
        persisted.ifPresent(state -> persistedBallot = state.accepted());
        random = new SplittableRandom(incarnation);
    }

    // ---- state ----

    /** The latest known acceptor set. */
    public AcceptorSet acceptors() {
        return acceptors;
    }

    /** The newest value known to be chosen. */
    public Optional<ChosenValue> chosen() {
        return Optional.ofNullable(chosen);
    }

    /** The ballot of the newest value known to be chosen; zero if none is known. */
    Ballot chosenBallot() {
        return chosen == null ? Ballot.ZERO : chosen.ballot();
    }

    /** The generation of the newest value known to be chosen; 0 if none is known. */
    long chosenGeneration() {
        return chosen == null ? 0 : chosen.value().generation();
    }

    /** The revision of the newest value known to be chosen; -1 if none is known. */
    long chosenRevision() {
        return chosen == null ? -1 : chosen.value().revision();
    }

    /** The ballot that this process's acceptor accepted last; zero if none. */
    public Ballot acceptedBallot() {
        return acceptor.state().map(AcceptorState::accepted).orElse(Ballot.ZERO);
    }

    /** The ballot of the newest value that this process has on disk; zero while it may not vote. */
    public Ballot persistedBallot() {
        return acceptor.mayVote() ? persistedBallot : Ballot.ZERO;
    }

    /** The highest ballot that this process has promised, has issued or has seen in a message. */
    public Ballot highestBallot() {
        return ballots.highest();
    }

    /** Whether this process's acceptor may vote; false from a loss of its disk to its recovery. */
    public boolean mayVote() {
        return acceptor.mayVote();
    }

    // ---- proposals ----

    /**
     * Queues a change of the register, which is proposed after the pending ones.
     *
     * @param onOutcome called once, at the deadline at the latest; at once with {@link
     *     ProposalOutcome.Unknown} if too many changes are pending or no acceptors are known
     */
    public void submit(
            long nowMs,
            ChangeFunction change,
            long deadlineMs,
            Consumer<ProposalOutcome> onOutcome) {
        if (pending.size() >= MAX_PENDING_CHANGES || acceptors.members().isEmpty()) {
            onOutcome.accept(new ProposalOutcome.Unknown());
            return;
        }
        pending.add(new PendingChange(change, deadlineMs, onOutcome));
        startNextProposal(nowMs);
    }

    private void startNextProposal(long nowMs) {
        while ((activeProposal == null || activeProposal.hasEnded()) && !pending.isEmpty()) {
            PendingChange next = pending.poll();
            if (nowMs >= next.deadlineMs()) {
                next.onOutcome().accept(new ProposalOutcome.Unknown());
                continue;
            }
            activeProposal =
                    new Proposal(
                            next.change(),
                            new Proposal.Start(ballots, acceptors, random.nextLong()),
                            next.deadlineMs(),
                            host,
                            outcome -> onProposalEnded(outcome, next));
            activeProposal.start(nowMs);
        }
    }

    private void onProposalEnded(ProposalOutcome outcome, PendingChange change) {
        if (outcome instanceof ProposalOutcome.Chosen success) {
            onValueChosen(new ChosenValue(success.ballot(), success.value()), true);
        }
        change.onOutcome().accept(outcome);
    }

    // ---- messages ----

    /** Handles a register message: a request to this acceptor, or a reply to this proposer. */
    public void onRegisterMessage(long nowMs, String from, RegisterMessage message) {
        if (message instanceof RegisterMessage.Prepare
                || message instanceof RegisterMessage.Accept) {
            acceptor.onRequest(message).ifPresent(reply -> sendReply(from, reply));
            acceptor.state().ifPresent(state -> ballots.observe(state.promised()));
            return;
        }
        if (message instanceof RegisterMessage.Rejected rejected) {
            ballots.observe(rejected.promised());
        }
        if (recovery != null) {
            recovery.onReply(nowMs, from, message)
                    .ifPresent(state -> onVoteRecovered(nowMs, state));
        }
        if (activeProposal != null) {
            activeProposal.onReply(nowMs, from, message);
            startNextProposal(nowMs);
        }
    }

    private void sendReply(String to, Acceptor.Reply reply) {
        if (reply.message() instanceof RegisterMessage.Rejected) {
            host.send(to, reply.message());
        } else {
            // Even a reply that changes no state waits until earlier promises are on disk.
            persist(reply.stateToPersist(), () -> host.send(to, reply.message()));
        }
    }

    private void persist(AcceptorState state, Runnable onPersisted) {
        storage.persist(
                state,
                () -> {
                    if (state != null) {
                        persistedBallot = Ballot.max(persistedBallot, state.accepted());
                    }
                    onPersisted.run();
                });
    }

    private void onVoteRecovered(long nowMs, AcceptorState state) {
        LOG.info(
                "Acceptor recovered: acceptor={}, state=not voting -> voting, cause=promises of"
                        + " other acceptors, ballot={}, accepted={}, rounds={}, elapsedMs={}",
                self,
                state.promised(),
                state.accepted(),
                recovery.rounds(),
                nowMs - recoveryStartedMs);
        recovery = null;
        acceptor.resumeFrom(state);
        acceptors = state.value().acceptors();
        ballots.observe(state.promised());
        persist(state, () -> {});
    }

    /**
     * Records that a value was chosen; one that is older than the newest known is ignored.
     *
     * @param proposedHere whether it was chosen by a proposal of this process
     */
    public void onValueChosen(ChosenValue learned, boolean proposedHere) {
        if (chosen != null && learned.value().revision() < chosen.value().revision()) {
            return;
        }
        ballots.observe(learned.ballot());
        boolean newer = chosen == null || learned.value().revision() > chosen.value().revision();
        if (!newer && learned.ballot().compareTo(chosen.ballot()) <= 0) {
            return;
        }
        chosen = learned;
        acceptors = learned.value().acceptors();
        // A replica that missed the Accept message, or was not an acceptor then, stores it here.
        acceptor.onValueChosen(learned.ballot(), learned.value())
                .ifPresent(state -> persist(state, () -> {}));
        host.onValueChosen(learned, proposedHere);
    }

    /**
     * Checks whether the value that this acceptor accepted last is on disk at a quorum of that
     * value's acceptor set, which means that it is chosen. This way a restarted replica knows a
     * chosen value without a proposal, also while no acceptor can write promises to its disk.
     *
     * @param peersPersisting returns the voting peers whose newest value on disk has a given ballot
     */
    void onPersistedByPeers(Function<Ballot, Set<String>> peersPersisting) {
        AcceptorState state = acceptor.state().orElse(null);
        boolean isPersisted = state != null && persistedBallot.equals(state.accepted());
        if (!isPersisted || state.accepted().compareTo(chosenBallot()) <= 0) {
            return;
        }
        Set<String> persistedAt = new HashSet<>(peersPersisting.apply(state.accepted()));
        persistedAt.add(self);
        if (state.value().acceptors().isQuorum(persistedAt)) {
            onValueChosen(new ChosenValue(state.accepted(), state.value()), false);
        }
    }

    /**
     * Records the state of a peer's acceptor, as received in a heartbeat.
     *
     * @param accepted the ballot that it accepted last
     * @param promised the highest ballot that it has promised
     * @param knownAcceptors the latest acceptor set known to the peer
     */
    public void onPeerState(Ballot accepted, Ballot promised, AcceptorSet knownAcceptors) {
        ballots.observe(promised);
        if (acceptors.members().isEmpty() && !knownAcceptors.members().isEmpty()) {
            acceptors = knownAcceptors;
        }
        if (accepted.compareTo(acceptedByPeers) > 0) {
            acceptedByPeers = accepted;
        }
    }

    // ---- time ----

    /** Advances the recovery of the vote, the active proposal and the repair. */
    public void tick(long nowMs) {
        if (!acceptor.mayVote() && !acceptors.members().isEmpty()) {
            if (recovery == null) {
                startRecovery(nowMs);
            }
            recovery.tick(nowMs, acceptors);
        }
        if (activeProposal != null) {
            activeProposal.tick(nowMs);
        }
        startNextProposal(nowMs);
        repair(nowMs);
    }

    private void startRecovery(long nowMs) {
        recoveryStartedMs = nowMs;
        recovery =
                new AcceptorRecovery(
                        self,
                        ballots,
                        host,
                        recoverySettings,
                        random.nextLong(),
                        this::logFailedRecoveryRound);
        LOG.info(
                "Acceptor recovery started: acceptor={}, state=not voting, cause=no state on disk,"
                        + " acceptors={}, highestBallot={}",
                self,
                acceptors,
                ballots.highest());
    }

    private void logFailedRecoveryRound(AcceptorRecovery.FailedRound failed) {
        LOG.info(
                "Acceptor recovery round failed: acceptor={}, round={}, ballot={}, promisedBy={},"
                        + " rejectedBy={}, highestBallot={}",
                self,
                failed.round(),
                failed.ballot(),
                failed.promisedBy(),
                failed.rejectedBy(),
                ballots.highest());
    }

    /**
     * Reads the register if no value is known, or if acceptors have accepted a newer value that was
     * not announced as chosen. The read starts after a random delay, so that the replicas do not
     * start it simultaneously.
     */
    private void repair(long nowMs) {
        Ballot newest = Ballot.max(acceptedByPeers, acceptedBallot());
        boolean behind = chosen == null || newest.compareTo(chosen.ballot()) > 0;
        if (!behind) {
            repairReadAtMs = NO_READ_SCHEDULED;
            return;
        }
        if (repairReadInProgress || acceptors.members().isEmpty()) {
            return;
        }
        if (repairReadAtMs == NO_READ_SCHEDULED) {
            repairReadAtMs = nowMs + repairDelayMs();
        } else if (nowMs >= repairReadAtMs) {
            startRepairRead(nowMs);
        }
    }

    private long repairDelayMs() {
        return chosen == null
                ? random.nextInt(FIRST_READ_JITTER_MS)
                : REPAIR_DELAY_MS + random.nextInt(REPAIR_JITTER_MS);
    }

    private void startRepairRead(long nowMs) {
        repairReadInProgress = true;
        submit(nowMs, ChangeFunction.READ, nowMs + READ_TIMEOUT_MS, this::onRepairReadEnded);
    }

    private void onRepairReadEnded(ProposalOutcome outcome) {
        repairReadInProgress = false;
        repairReadAtMs = NO_READ_SCHEDULED;
        if (outcome instanceof ProposalOutcome.Chosen) {
            acceptedByPeers = Ballot.ZERO;
        }
    }
}
