package poppynotch.register;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Rounds of the recovery of acceptor {@code a}; the test sends the replies of its peers. */
class AcceptorRecoveryTest {

    private static final long PROPOSER = 7;
    private static final long OTHER_PROPOSER = 9;
    private static final AcceptorSet THREE = AcceptorSet.of(List.of("a", "b", "c"));
    private static final AcceptorSet FIVE = AcceptorSet.of(List.of("a", "b", "c", "d", "e"));
    private static final AcceptorRecovery.Settings SETTINGS = AcceptorRecovery.Settings.DEFAULT;
    private static final RegisterValue VALUE = RegisterValue.initial(THREE);

    private record Sent(String acceptor, Ballot ballot) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<AcceptorRecovery.FailedRound> failedRounds = new ArrayList<>();
    private final BallotGenerator ballots = new BallotGenerator(PROPOSER, new Ballot(3, 1));
    private AcceptorRecovery recovery;

    @BeforeEach
    void createRecovery() {
        recovery =
                new AcceptorRecovery(
                        "a",
                        ballots,
                        (acceptor, message) ->
                                sent.add(
                                        new Sent(
                                                acceptor,
                                                ((RegisterMessage.Prepare) message).ballot())),
                        SETTINGS,
                        1,
                        failedRounds::add);
    }

    private Ballot lastBallot() {
        return sent.get(sent.size() - 1).ballot();
    }

    private Optional<AcceptorState> promise(long nowMs, String from, Ballot ballot) {
        return promise(nowMs, from, ballot, VALUE);
    }

    private Optional<AcceptorState> promise(
            long nowMs, String from, Ballot ballot, RegisterValue value) {
        return recovery.onReply(
                nowMs, from, new RegisterMessage.Promise(ballot, new Ballot(2, 1), value));
    }

    private void reject(long nowMs, String from, Ballot ballot, Ballot promised) {
        recovery.onReply(nowMs, from, new RegisterMessage.Rejected(ballot, promised));
    }

    @Test
    void recoversOnceRequiredAcceptorsHavePromisedOneBallot() {
        recovery.tick(0, THREE);
        Ballot ballot = lastBallot();
        assertThat(sent).containsExactly(new Sent("b", ballot), new Sent("c", ballot));
        assertThat(promise(5, "b", ballot)).isEqualTo(Optional.empty());
        assertThat(promise(6, "c", ballot))
                .isEqualTo(Optional.of(new AcceptorState(ballot, new Ballot(2, 1), VALUE)));
    }

    @Test
    void doesNotCombinePromisesOfDifferentBallots() {
        recovery.tick(0, THREE);
        Ballot first = lastBallot();
        promise(5, "b", first);
        reject(5, "c", first, new Ballot(first.counter() + 1, OTHER_PROPOSER));
        recovery.tick(100, THREE);
        assertThat(promise(105, "c", lastBallot())).isEqualTo(Optional.empty());
        assertThat(promise(106, "b", first)).isEqualTo(Optional.empty());
        assertThat(promise(107, "b", lastBallot())).isNotEqualTo(Optional.empty());
    }

    /** Guards against rounds whose ballot proposers exceed before they receive it. */
    @Test
    void beginsAboveBallotsThatProposersIssueMeanwhile() {
        recovery.tick(0, THREE);
        assertThat(lastBallot().counter()).isGreaterThan(3 + SETTINGS.ballotLead());
    }

    /** Guards against a delay of half a second between a rejection and the next round. */
    @Test
    void beginsNextRoundSoonAfterRejection() {
        recovery.tick(0, THREE);
        Ballot first = lastBallot();
        Ballot promised = new Ballot(first.counter() + 50, OTHER_PROPOSER);
        reject(5, "b", first, promised);
        recovery.tick(5 + SETTINGS.initialBackoffMs(), THREE);
        assertThat(lastBallot()).isGreaterThan(promised);
        assertThat(failedRounds).hasSize(1);
        assertThat(failedRounds.get(0).rejectedBy()).containsExactly("b", promised);
    }

    /** Guards against rounds whose ballot is based on an outdated rejection. */
    @Test
    void beginsEachRoundAboveBallotsSeenInOtherMessages() {
        recovery.tick(0, THREE);
        Ballot seen = new Ballot(1_000_000, OTHER_PROPOSER);
        ballots.observe(seen);
        recovery.tick(SETTINGS.roundTimeoutMs(), THREE);
        assertThat(lastBallot()).isGreaterThan(seen);
    }

    @Test
    void sendsSameBallotAgainToAcceptorsWithoutReply() {
        recovery.tick(0, THREE);
        Ballot ballot = lastBallot();
        promise(5, "b", ballot);
        sent.clear();
        recovery.tick(SETTINGS.resendIntervalMs() - 1, THREE);
        assertThat(sent).isEmpty();
        recovery.tick(SETTINGS.resendIntervalMs(), THREE);
        assertThat(sent).containsExactly(new Sent("c", ballot));
        assertThat(promise(200, "c", ballot)).isNotEqualTo(Optional.empty());
    }

    /** Guards against promises that are discarded because another acceptor has rejected. */
    @Test
    void recoversDespiteRejectionIfOtherPromisesSuffice() {
        recovery.tick(0, FIVE);
        Ballot ballot = lastBallot();
        RegisterValue value = RegisterValue.initial(FIVE);
        reject(5, "e", ballot, new Ballot(ballot.counter() + 1, OTHER_PROPOSER));
        promise(6, "b", ballot, value);
        promise(6, "c", ballot, value);
        assertThat(promise(6, "d", ballot, value)).isNotEqualTo(Optional.empty());
    }

    /** Guards against waiting for a former acceptor after the set is known to have changed. */
    @Test
    void startsNewRoundWhenKnownAcceptorSetChanges() {
        recovery.tick(0, AcceptorSet.of(List.of("a", "b", "gone")));
        sent.clear();
        recovery.tick(50, THREE);
        assertThat(sent.stream().map(Sent::acceptor).toList()).containsExactly("b", "c");
    }

    @Test
    void sendsBallotToAcceptorsOfNewerSetInPromises() {
        AcceptorSet newer = AcceptorSet.of(List.of("a", "b", "c", "d"));
        recovery.tick(0, THREE);
        Ballot ballot = lastBallot();
        RegisterValue value = RegisterValue.initial(newer);
        promise(5, "b", ballot, value);
        sent.clear();
        assertThat(promise(5, "c", ballot, value)).isNotEqualTo(Optional.empty());
        assertThat(sent).containsExactly(new Sent("d", ballot));
    }
}
