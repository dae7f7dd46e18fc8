package poppynotch.register;

/**
 * Issues the ballots of one incarnation of a replica. Each ballot is above all ballots that this
 * replica has issued or has seen in any message, so that a round does not begin with a ballot that
 * is known to be too low.
 *
 * <p>One generator serves all rounds of a replica: those of {@link Proposal} and of {@link
 * AcceptorRecovery}. Not thread-safe; the owner calls it from one thread.
 */
public final class BallotGenerator {

    private final long proposer;
    private Ballot highest;

    /**
     * Creates a generator.
     *
     * @param proposer unique to this incarnation of this process
     * @param highest the highest ballot known so far
     */
    public BallotGenerator(long proposer, Ballot highest) {
        this.proposer = proposer;
        this.highest = highest;
    }

    /** The highest ballot that was issued or seen. */
    public Ballot highest() {
        return highest;
    }

    /** Records a ballot that a message carries. */
    public void observe(Ballot seen) {
        highest = Ballot.max(highest, seen);
    }

    /** Issues a ballot directly above the highest. */
    public Ballot next() {
        return next(0);
    }

    /**
     * Issues a ballot above the highest with some distance, so that it is also above those that
     * other proposers issue before they see it.
     *
     * @param lead how many ballots are skipped
     */
    public Ballot next(long lead) {
        highest = new Ballot(highest.counter() + lead, highest.proposer()).next(proposer);
        return highest;
    }
}
