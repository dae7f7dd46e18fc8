package poppynotch.register;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What the register holds. Every change makes a whole new value.
 *
 * @param revision grows by one with each change
 * @param acceptors who decides on this value
 * @param generation the operator's version of the configuration; 0 before the first
 * @param document the configuration as its owner encodes it; empty before the first
 * @param history the latest changes, the newest last
 */
public record RegisterValue(
        long revision,
        AcceptorSet acceptors,
        long generation,
        byte[] document,
        List<AppliedChange> history) {

    /**
     * Changes that are remembered. A change sent again later than that can be told neither as taken
     * nor as refused (see {@link #mayHaveForgotten}); the number bounds only the size of a vote.
     */
    public static final int HISTORY = 400;

    /** The value of a register that nobody has written. */
    public static RegisterValue initial(AcceptorSet acceptors) {
        return new RegisterValue(0, acceptors, 0, new byte[0], List.of());
    }

    public RegisterValue {
        history = List.copyOf(history);
    }

    /** Whether the change with this digest is part of the value. */
    public boolean includes(long digest) {
        return history.stream().anyMatch(change -> change.digest() == digest);
    }

    /**
     * Whether a change that was made for a version may have been part of the value so long ago that
     * it is no longer remembered. The change that followed a remembered version is remembered too.
     */
    public boolean mayHaveForgotten(long buildsOn) {
        return history.size() >= HISTORY && buildsOn < history.get(0).generation();
    }

    /** The value after a change of the configuration. */
    public RegisterValue withDocument(long newGeneration, byte[] newDocument, long digest) {
        List<AppliedChange> changes = new ArrayList<>(history);
        changes.add(new AppliedChange(digest, newGeneration));
        int surplus = Math.max(0, changes.size() - HISTORY);
        return new RegisterValue(
                revision + 1,
                acceptors,
                newGeneration,
                newDocument,
                changes.subList(surplus, changes.size()));
    }

    /** The value after a change of the acceptors. */
    public RegisterValue withAcceptors(AcceptorSet set) {
        return new RegisterValue(revision + 1, set, generation, document, history);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RegisterValue value
                && revision == value.revision
                && generation == value.generation
                && acceptors.equals(value.acceptors)
                && Arrays.equals(document, value.document)
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
                + acceptors;
    }
}
