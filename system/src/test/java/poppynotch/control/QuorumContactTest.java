package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;

/** Up to when the value held was surely the newest. */
class QuorumContactTest {

    private static final Ballot OLD = Ballot.ZERO.next(1);
    private static final Ballot NEW = OLD.next(2);
    private static final AcceptorSet ABC = AcceptorSet.of(List.of("a", "b", "c"));

    private final QuorumContact contact = new QuorumContact("a");

    private void echo(String peer, long sentMs, Ballot accepted) {
        contact.onHeartbeatReply(peer, sentMs, true, accepted, accepted);
    }

    private long ageMs(long nowMs, Ballot held) {
        contact.recordConfirmations(nowMs, held, true, held);
        return contact.confirmedAgeMs(nowMs, ABC);
    }

    @Test
    void aQuorumThatHasAcceptedNothingNewerConfirms() {
        assertThat(ageMs(100, OLD)).isEqualTo(Integer.MAX_VALUE);
        echo("b", 90, OLD);
        assertThat(ageMs(100, OLD)).isEqualTo(10);
        echo("c", 95, OLD);
        assertThat(ageMs(100, OLD)).isEqualTo(5);
    }

    /** Back from a cut there is contact before there is the newest value. */
    @Test
    void contactWithThoseWhoHaveAcceptedMoreConfirmsNothing() {
        echo("b", 90, OLD);
        assertThat(ageMs(100, OLD)).isEqualTo(10);
        echo("b", 2000, NEW);
        echo("c", 2000, NEW);
        assertThat(ageMs(2010, OLD)).isEqualTo(1920);
        assertThat(ageMs(2020, NEW)).isEqualTo(20);
    }

    @Test
    void whoMayNotVoteConfirmsNothing() {
        contact.onHeartbeatReply("b", 90, false, Ballot.ZERO, Ballot.ZERO);
        assertThat(ageMs(100, OLD)).isEqualTo(Integer.MAX_VALUE);
    }

    /** An acceptor that has accepted more itself holds no newest value. */
    @Test
    void thisProcessConfirmsNothingThatItHasOutvoted() {
        echo("b", 90, OLD);
        contact.recordConfirmations(100, OLD, true, NEW);
        assertThat(contact.confirmedAgeMs(100, ABC)).isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void whileTheSetChangesBothMustConfirm() {
        AcceptorSet changing = new AcceptorSet(List.of("a", "b", "d"), List.of("a", "b", "c"));
        echo("d", 90, OLD);
        contact.recordConfirmations(100, OLD, true, OLD);
        assertThat(contact.confirmedAgeMs(100, changing)).isEqualTo(Integer.MAX_VALUE);
        echo("c", 80, OLD);
        contact.recordConfirmations(100, OLD, true, OLD);
        assertThat(contact.confirmedAgeMs(100, changing)).isEqualTo(20);
    }

    @Test
    void anEchoThatComesLateDoesNotTakeANewerOneBack() {
        echo("b", 90, OLD);
        echo("b", 50, Ballot.ZERO);
        assertThat(contact.ageMs(100, "b")).isEqualTo(10);
        assertThat(contact.persistedBallot("b")).isEqualTo(OLD);
    }
}
