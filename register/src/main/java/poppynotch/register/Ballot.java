package poppynotch.register;

/**
 * A proposal number of Paxos. Ballots are ordered by counter, then by proposer (unsigned); no two
 * rounds share one.
 *
 * @param counter one above the highest that the proposer knew
 * @param proposer unique to one incarnation of one proposer
 */
public record Ballot(long counter, long proposer) implements Comparable<Ballot> {

    /** Below the ballot of every round. */
    public static final Ballot ZERO = new Ballot(0, 0);

    /** A ballot of {@code nextProposer} that is above this one. */
    public Ballot next(long nextProposer) {
        return new Ballot(counter + 1, nextProposer);
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
