package poppynotch.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import poppynotch.register.Acceptor;
import poppynotch.register.AcceptorRecovery;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.register.Ballot;
import poppynotch.register.Change;
import poppynotch.register.Outcome;
import poppynotch.register.ProposalRound;
import poppynotch.register.RegisterMessage;
import poppynotch.register.RegisterValue;

/**
 * One core process's part in the register: its acceptor, its proposals one after the other, the
 * newest value that it knows to be chosen, and the repair of what others left half done. It is told
 * the time and does no I/O of its own.
 */
public final class RegisterReplica {

    /** A chosen value. */
    public record Chosen(Ballot ballot, RegisterValue value) {}

    /** What it needs of the process around it. */
    public interface Host extends ProposalRound.Port {
        /** A newer value is known to be chosen, by a proposal of this process if {@code own}. */
        void chosen(Chosen chosen, boolean own);
    }

    private record Pending(Change change, long deadlineMs, Consumer<Outcome> end) {}

    /**
     * A value that others accepted and nobody has announced is looked into after this time, and
     * some more. Both together stay well below the time after which a process vouches no more.
     */
    private static final long REPAIR_MS = 200;

    private static final int REPAIR_SPREAD_MS = 200;
    private static final int FIRST_READ_SPREAD_MS = 200;
    private static final long READ_LIMIT_MS = 1500;

    /** Orders that wait for their turn; more are not taken. */
    private static final int MOST_PENDING = 64;

    private final String self;
    private final long incarnation;
    private final Host host;
    private final AcceptorStorage storage;
    private final Acceptor acceptor;
    private final SplittableRandom random;
    private final Deque<Pending> pending = new ArrayDeque<>();
    private ProposalRound active;
    private AcceptorRecovery recovery;
    private AcceptorSet acceptors;
    private Ballot highest = Ballot.ZERO;
    private Chosen chosen;
    private long readAtMs = Long.MIN_VALUE;
    private boolean reading;
    private Ballot acceptedElsewhere = Ballot.ZERO;
    private Ballot kept = Ballot.ZERO;

    /**
     * A replica that goes on from a kept state, or must recover its vote first where there is none.
     *
     * @param acceptors who decides, as far as known at the start; may be empty of members
     */
    public RegisterReplica(
            String self,
            long incarnation,
            Optional<AcceptorState> kept,
            AcceptorSet acceptors,
            AcceptorStorage storage,
            Host host) {
        this.self = self;
        this.incarnation = incarnation;
        this.storage = storage;
        this.host = host;
        this.acceptors = kept.map(state -> state.value().acceptors()).orElse(acceptors);
        acceptor = new Acceptor(kept);
        kept.ifPresent(
                state -> {
                    highest = state.promised();
                    this.kept = state.accepted();
                });
        random = new SplittableRandom(incarnation);
    }

    /** Who decides, as far as known. */
    public AcceptorSet acceptors() {
        return acceptors;
    }

    /** The newest value known to be chosen. */
    public Optional<Chosen> chosen() {
        return Optional.ofNullable(chosen);
    }

    /** The ballot that this process's acceptor accepted last. */
    public Ballot accepted() {
        return acceptor.state().map(AcceptorState::accepted).orElse(Ballot.ZERO);
    }

    /** The ballot of the newest value that this process has on disk; zero while it may not vote. */
    public Ballot kept() {
        return acceptor.mayVote() ? kept : Ballot.ZERO;
    }

    /** The highest ballot that it has promised or heard of. */
    public Ballot highest() {
        return highest;
    }

    public boolean mayVote() {
        return acceptor.mayVote();
    }

    /** Changes the register; {@code end} is told once, at the deadline at the latest. */
    public void submit(long nowMs, Change change, long deadlineMs, Consumer<Outcome> end) {
        if (pending.size() >= MOST_PENDING || acceptors.members().isEmpty()) {
            end.accept(new Outcome.Unclear());
            return;
        }
        pending.add(new Pending(change, deadlineMs, end));
        startNext(nowMs);
    }

    private void startNext(long nowMs) {
        while ((active == null || active.hasEnded()) && !pending.isEmpty()) {
            Pending next = pending.poll();
            if (nowMs >= next.deadlineMs()) {
                next.end().accept(new Outcome.Unclear());
                continue;
            }
            active =
                    new ProposalRound(
                            next.change(),
                            acceptors,
                            highest,
                            incarnation,
                            next.deadlineMs(),
                            host,
                            outcome -> ended(outcome, next),
                            random.nextLong());
            active.start(nowMs);
        }
    }

    private void ended(Outcome outcome, Pending order) {
        highest = Ballot.max(highest, active.ballot());
        if (outcome instanceof Outcome.Chosen won) {
            learn(new Chosen(won.ballot(), won.value()), true);
        }
        order.end().accept(outcome);
    }

    /** A vote, or a question for one, has come. */
    public void on(long nowMs, String from, RegisterMessage vote) {
        if (vote instanceof RegisterMessage.Prepare || vote instanceof RegisterMessage.Accept) {
            acceptor.on(vote).ifPresent(answer -> answer(from, answer));
            acceptor.state().ifPresent(state -> highest = Ballot.max(highest, state.promised()));
            return;
        }
        if (vote instanceof RegisterMessage.Rejected no) {
            highest = Ballot.max(highest, no.promised());
        }
        if (recovery != null) {
            recovery.on(from, vote).ifPresent(this::recovered);
        }
        if (active != null) {
            active.on(nowMs, from, vote);
            startNext(nowMs);
        }
    }

    private void answer(String from, Acceptor.Answer answer) {
        if (answer.vote() instanceof RegisterMessage.Rejected) {
            host.send(from, answer.vote());
        } else {
            // Also an answer that changes nothing waits for what was promised before it.
            persist(answer.state(), () -> host.send(from, answer.vote()));
        }
    }

    private void persist(AcceptorState state, Runnable then) {
        storage.persist(
                state,
                () -> {
                    if (state != null) {
                        kept = Ballot.max(kept, state.accepted());
                    }
                    then.run();
                });
    }

    private void recovered(AcceptorState state) {
        recovery = null;
        acceptor.recover(state);
        acceptors = state.value().acceptors();
        highest = Ballot.max(highest, state.promised());
        persist(state, () -> {});
    }

    /** A value is known to be chosen. */
    public void learn(Chosen told, boolean own) {
        if (chosen != null && told.value().revision() < chosen.value().revision()) {
            return;
        }
        highest = Ballot.max(highest, told.ballot());
        boolean newer = chosen == null || told.value().revision() > chosen.value().revision();
        if (!newer && told.ballot().compareTo(chosen.ballot()) <= 0) {
            return;
        }
        chosen = told;
        acceptors = told.value().acceptors();
        // A replica that has no vote yet, or missed this one, so has the value on disk as well.
        acceptor.adopt(told.ballot(), told.value()).ifPresent(state -> persist(state, () -> {}));
        host.chosen(told, own);
    }

    /** A peer's heartbeat tells what its acceptor holds and who decides as far as it knows. */
    public void peerHolds(long nowMs, Ballot accepted, Ballot promised, AcceptorSet told) {
        highest = Ballot.max(highest, promised);
        if (acceptors.members().isEmpty() && !told.members().isEmpty()) {
            acceptors = told;
        }
        if (accepted.compareTo(acceptedElsewhere) > 0) {
            acceptedElsewhere = accepted;
        }
    }

    /** Time has passed. */
    public void tick(long nowMs) {
        if (!acceptor.mayVote() && !acceptors.members().isEmpty()) {
            if (recovery == null) {
                recovery = new AcceptorRecovery(self, acceptors, highest, incarnation, host);
            }
            recovery.tick(nowMs);
        }
        if (active != null) {
            active.tick(nowMs);
        }
        startNext(nowMs);
        repair(nowMs);
    }

    /**
     * Reads the register where nothing is known of it, or where others hold what nobody has
     * announced.
     */
    private void repair(long nowMs) {
        Ballot newest = Ballot.max(acceptedElsewhere, accepted());
        boolean behind = chosen == null || newest.compareTo(chosen.ballot()) > 0;
        if (!behind || reading || acceptors.members().isEmpty()) {
            readAtMs = behind ? readAtMs : Long.MIN_VALUE;
            return;
        }
        if (readAtMs == Long.MIN_VALUE) {
            readAtMs =
                    nowMs
                            + (chosen == null
                                    ? random.nextInt(FIRST_READ_SPREAD_MS)
                                    : REPAIR_MS + random.nextInt(REPAIR_SPREAD_MS));
        } else if (nowMs >= readAtMs) {
            reading = true;
            submit(
                    nowMs,
                    Change.READ,
                    nowMs + READ_LIMIT_MS,
                    outcome -> {
                        reading = false;
                        readAtMs = Long.MIN_VALUE;
                        acceptedElsewhere =
                                outcome instanceof Outcome.Chosen ? Ballot.ZERO : acceptedElsewhere;
                    });
        }
    }
}
