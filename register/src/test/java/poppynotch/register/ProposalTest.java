package poppynotch.register;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Rounds of a proposal; the test sends the replies of the acceptors. */
class ProposalTest {

    private static final long PROPOSER = 7;
    private static final long OTHER_PROPOSER = 9;
    private static final long PHASE_TIMEOUT_MS = 400;
    private static final AcceptorSet THREE = AcceptorSet.of(List.of("a", "b", "c"));

    private final BallotGenerator ballots = new BallotGenerator(PROPOSER, Ballot.ZERO);
    private final List<RegisterMessage> sent = new ArrayList<>();
    private final Proposal proposal =
            new Proposal(
                    ChangeFunction.READ,
                    new Proposal.Start(ballots, THREE, 1),
                    10_000,
                    (acceptor, message) -> sent.add(message),
                    outcome -> {});

    private Ballot lastBallot() {
        return ((RegisterMessage.Prepare) sent.get(sent.size() - 1)).ballot();
    }

    /** Guards against rounds that are rejected for a ballot that this replica knew of. */
    @Test
    void beginsNextRoundAboveBallotsSeenInOtherMessages() {
        proposal.start(0);
        Ballot seen = new Ballot(50, OTHER_PROPOSER);
        ballots.observe(seen);
        proposal.tick(PHASE_TIMEOUT_MS);
        assertThat(lastBallot()).isGreaterThan(seen);
    }

    @Test
    void beginsNextRoundAboveBallotOfRejection() {
        proposal.start(0);
        Ballot promised = new Ballot(50, OTHER_PROPOSER);
        proposal.onReply(5, "b", new RegisterMessage.Rejected(lastBallot(), promised));
        proposal.tick(PHASE_TIMEOUT_MS);
        assertThat(lastBallot()).isGreaterThan(promised);
    }
}
