package poppynotch.register;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The value of the register. It is immutable, but for the content of {@code document} and {@code
 * rollouts}, which must not be modified; every change makes a new value.
 *
 * @param revision grows by one with each change
 * @param acceptors the set of which a quorum must accept this value
 * @param generation the operator's version of the configuration; 0 before the first
 * @param document the configuration as its owner encodes it; empty before the first
 * @param history the latest changes, the newest last
 * @param acceptorEpoch grows by one with each change of the acceptor set; a change of the set is
 *     applied only in the epoch that it was planned for, which fences out outdated ones
 * @param rollouts the versions of the services' servers and their rollouts, as their owner encodes
 *     them; empty before the first version was recorded
 */
public record RegisterValue(
        long revision,
        AcceptorSet acceptors,
        long generation,
        byte[] document,
        List<AppliedChange> history,
        long acceptorEpoch,
        byte[] rollouts) {

    /**
     * The maximum number of changes in the history. When an older change is retried, it is not
     * known whether it was applied (see {@link #mayPredateHistory}). The only purpose of the limit
     * is to bound the size of a message.
     */
    public static final int MAX_HISTORY_LENGTH = 400;

    /** The value of a register before the first change. */
    public static RegisterValue initial(AcceptorSet acceptors) {
        return new RegisterValue(0, acceptors, 0, new byte[0], List.of(), 0);
    }

    /** A value without rollouts. */
    public RegisterValue(
            long revision,
            AcceptorSet acceptors,
            long generation,
            byte[] document,
            List<AppliedChange> history,
            long acceptorEpoch) {
        this(revision, acceptors, generation, document, history, acceptorEpoch, new byte[0]);
    }

    public RegisterValue {
        history = List.copyOf(history);
    }

    /** Whether the change with this digest is part of the value. */
    public boolean includesChange(long digest) {
        return history.stream().anyMatch(change -> change.digest() == digest);
    }

    /**
     * Whether a change that was made for {@code baseGeneration} may have been applied so long ago
     * that the history no longer contains it. The change that followed a generation in the history
     * is in the history too.
     */
    public boolean mayPredateHistory(long baseGeneration) {
        return history.size() >= MAX_HISTORY_LENGTH && baseGeneration < history.get(0).generation();
    }

    /** The value after a change of the configuration; {@code digest} identifies the change. */
    public RegisterValue withDocument(long newGeneration, byte[] newDocument, long digest) {
        List<AppliedChange> newHistory = new ArrayList<>(history);
        newHistory.add(new AppliedChange(digest, newGeneration));
        int surplus = Math.max(0, newHistory.size() - MAX_HISTORY_LENGTH);
        return new RegisterValue(
                revision + 1,
                acceptors,
                newGeneration,
                newDocument,
                newHistory.subList(surplus, newHistory.size()),
                acceptorEpoch,
                rollouts);
    }

    /** The value after a change of the rollouts. */
    public RegisterValue withRollouts(byte[] newRollouts) {
        return withStoredRollouts(revision + 1, newRollouts);
    }

    /** The same value with the rollouts that are stored after its other fields. */
    public RegisterValue withStoredRollouts(byte[] storedRollouts) {
        return withStoredRollouts(revision, storedRollouts);
    }

    private RegisterValue withStoredRollouts(long atRevision, byte[] newRollouts) {
        return new RegisterValue(
                atRevision, acceptors, generation, document, history, acceptorEpoch, newRollouts);
    }

    /** The value after a change of the acceptor set. */
    public RegisterValue withAcceptors(AcceptorSet newAcceptors) {
        return new RegisterValue(
                revision + 1,
                newAcceptors,
                generation,
                document,
                history,
                acceptorEpoch + 1,
                rollouts);
    }

    /** The same value with the acceptor epoch that is stored after its other fields. */
    RegisterValue withAcceptorEpoch(long epoch) {
        return new RegisterValue(
                revision, acceptors, generation, document, history, epoch, rollouts);
    }

    /** The same value with another history. */
    public RegisterValue withHistory(List<AppliedChange> otherHistory) {
        return new RegisterValue(
                revision, acceptors, generation, document, otherHistory, acceptorEpoch, rollouts);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RegisterValue value
                && revision == value.revision
                && generation == value.generation
                && acceptorEpoch == value.acceptorEpoch
                && acceptors.equals(value.acceptors)
                && Arrays.equals(document, value.document)
                && Arrays.equals(rollouts, value.rollouts)
                && history.equals(value.history);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(revision) * 31 + Long.hashCode(generation);
    }

    @Override
    public String toString() {
        return "revision "
                + revision
                + ", generation "
                + generation
                + ", "
                + document.length
                + " bytes, "
                + acceptors
                + " of epoch "
                + acceptorEpoch;
    }
}
