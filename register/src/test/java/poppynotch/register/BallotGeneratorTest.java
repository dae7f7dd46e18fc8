package poppynotch.register;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against rounds that begin with a ballot that is known to be too low. */
class BallotGeneratorTest {

    private static final long PROPOSER = 7;

    private final BallotGenerator ballots = new BallotGenerator(PROPOSER, new Ballot(3, 1));

    @Test
    void issuesBallotsAboveThoseIssuedBefore() {
        assertThat(ballots.next()).isEqualTo(new Ballot(4, PROPOSER));
        assertThat(ballots.next()).isEqualTo(new Ballot(5, PROPOSER));
        assertThat(ballots.highest()).isEqualTo(new Ballot(5, PROPOSER));
    }

    @Test
    void issuesBallotsAboveThoseSeen() {
        ballots.observe(new Ballot(9, 2));
        ballots.observe(new Ballot(8, 2));
        assertThat(ballots.next()).isEqualTo(new Ballot(10, PROPOSER));
    }

    @Test
    void skipsAsManyBallotsAsTheLead() {
        assertThat(ballots.next(100)).isEqualTo(new Ballot(104, PROPOSER));
    }
}
