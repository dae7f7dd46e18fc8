package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;

/** When a quorum last confirmed the newest known value as current. */
class QuorumContactTest {

    private static final Ballot OLD_BALLOT = Ballot.ZERO.next(1);
    private static final Ballot NEW_BALLOT = OLD_BALLOT.next(2);
    private static final AcceptorSet ABC = AcceptorSet.of(List.of("a", "b", "c"));

    private final QuorumContact contact = new QuorumContact("a");

    private void reply(String peer, long sentMs, Ballot accepted) {
        contact.onHeartbeatReply(peer, sentMs, true, accepted, accepted);
    }

    private long confirmedAgeMs(long nowMs, Ballot valueBallot) {
        contact.recordConfirmations(nowMs, valueBallot, true, valueBallot);
        return contact.confirmedAgeMs(nowMs, ABC);
    }

    @Test
    void isConfirmedByQuorumThatAcceptedNothingNewer() {
        assertThat(confirmedAgeMs(100, OLD_BALLOT)).isEqualTo(Integer.MAX_VALUE);
        reply("b", 90, OLD_BALLOT);
        assertThat(confirmedAgeMs(100, OLD_BALLOT)).isEqualTo(10);
        reply("c", 95, OLD_BALLOT);
        assertThat(confirmedAgeMs(100, OLD_BALLOT)).isEqualTo(5);
    }

    /** After a partition, peers are in contact before this replica knows the newest value. */
    @Test
    void isNotConfirmedByPeersThatAcceptedNewerValue() {
        reply("b", 90, OLD_BALLOT);
        assertThat(confirmedAgeMs(100, OLD_BALLOT)).isEqualTo(10);
        reply("b", 2000, NEW_BALLOT);
        reply("c", 2000, NEW_BALLOT);
        assertThat(confirmedAgeMs(2010, OLD_BALLOT)).isEqualTo(1920);
        assertThat(confirmedAgeMs(2020, NEW_BALLOT)).isEqualTo(20);
    }

    @Test
    void isNotConfirmedByPeerThatMayNotVote() {
        contact.onHeartbeatReply("b", 90, false, Ballot.ZERO, Ballot.ZERO);
        assertThat(confirmedAgeMs(100, OLD_BALLOT)).isEqualTo(Integer.MAX_VALUE);
    }

    /** The value is not the newest if this acceptor itself has accepted a newer one. */
    @Test
    void isNotConfirmedBySelfAfterAcceptingNewerValue() {
        reply("b", 90, OLD_BALLOT);
        contact.recordConfirmations(100, OLD_BALLOT, true, NEW_BALLOT);
        assertThat(contact.confirmedAgeMs(100, ABC)).isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void needsConfirmationOfBothSetsWhileSetChanges() {
        AcceptorSet changing = new AcceptorSet(List.of("a", "b", "d"), List.of("a", "b", "c"));
        reply("d", 90, OLD_BALLOT);
        contact.recordConfirmations(100, OLD_BALLOT, true, OLD_BALLOT);
        assertThat(contact.confirmedAgeMs(100, changing)).isEqualTo(Integer.MAX_VALUE);
        reply("c", 80, OLD_BALLOT);
        contact.recordConfirmations(100, OLD_BALLOT, true, OLD_BALLOT);
        assertThat(contact.confirmedAgeMs(100, changing)).isEqualTo(20);
    }

    @Test
    void ignoresReplyToEarlierHeartbeat() {
        reply("b", 90, OLD_BALLOT);
        reply("b", 50, Ballot.ZERO);
        assertThat(contact.contactAgeMs(100, "b")).isEqualTo(10);
        assertThat(contact.persistedBallot("b")).isEqualTo(OLD_BALLOT);
    }
}
