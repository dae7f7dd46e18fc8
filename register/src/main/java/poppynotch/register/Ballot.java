package poppynotch.register;

/**
 * The number of a round. Ballots are ordered by counter, then by proposer, and no two rounds share
 * one.
 *
 * @param counter grows with each round that a proposer has seen
 * @param proposer unique to one life of one proposer
 */
public record Ballot(long counter, long proposer) implements Comparable<Ballot> {

    /** Below every ballot of a round. */
    public static final Ballot ZERO = new Ballot(0, 0);

    /** A ballot of {@code by} that is above this one. */
    public Ballot next(long by) {
        return new Ballot(counter + 1, by);
    }

    @Override
    public int compareTo(Ballot other) {
        int byCounter = Long.compare(counter, other.counter);
        return byCounter != 0 ? byCounter : Long.compareUnsigned(proposer, other.proposer);
    }

    /** The higher of two ballots. */
    public static Ballot max(Ballot a, Ballot b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
