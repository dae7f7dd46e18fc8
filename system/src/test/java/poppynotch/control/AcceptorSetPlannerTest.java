package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.Change;
import poppynotch.register.RegisterValue;

class AcceptorSetPlannerTest {

    private static final Ballot OLD = Ballot.ZERO.next(1);
    private static final Ballot HELD = OLD.next(1);
    private static final AcceptorSet ABC = AcceptorSet.of(List.of("a", "b", "c"));
    private static final AcceptorSet ABD_FROM_ABC =
            new AcceptorSet(List.of("a", "b", "d"), List.of("a", "b", "c"));

    private final AcceptorSetPlanner maintenance = new AcceptorSetPlanner(1);
    private final List<AcceptorSetPlanner.Core> cores = new ArrayList<>();
    private long nowMs;

    private AcceptorSetPlannerTest core(String address, long contactAgeMs) {
        cores.removeIf(core -> core.address().equals(address));
        cores.add(new AcceptorSetPlanner.Core(address, contactAgeMs, HELD, false));
        return this;
    }

    private AcceptorSetPlannerTest behind(String address) {
        cores.removeIf(core -> core.address().equals(address));
        cores.add(new AcceptorSetPlanner.Core(address, 10, OLD, false));
        return this;
    }

    private AcceptorSetPlannerTest leaving(String address) {
        cores.removeIf(core -> core.address().equals(address));
        cores.add(new AcceptorSetPlanner.Core(address, 10, HELD, true));
        return this;
    }

    private AcceptorSet after(AcceptorSet set) {
        return after(maintenance, set);
    }

    private AcceptorSet after(AcceptorSetPlanner by, AcceptorSet set) {
        Optional<Change> due = by.due(nowMs, set, HELD, cores);
        if (due.isEmpty()) {
            return set;
        }
        Change.Decision decision = due.get().decide(RegisterValue.initial(set));
        return ((Change.Decision.Replace) decision).value().acceptors();
    }

    @Test
    void enoughAcceptorsInContactStay() {
        core("a", 0).core("b", 10).core("c", 1400).core("d", 10);
        assertThat(after(ABC)).isEqualTo(ABC);
    }

    @Test
    void anAcceptorThatIsGoneGivesItsPlace() {
        core("a", 0).core("b", 10).core("c", 1600).core("d", 10);
        assertThat(after(ABC)).isEqualTo(ABD_FROM_ABC);
    }

    @Test
    void anAcceptorThatLeavesGivesItsPlaceBeforeItEnds() {
        core("a", 0).core("b", 10).leaving("c").core("d", 10);
        assertThat(after(ABC)).isEqualTo(ABD_FROM_ABC);
    }

    @Test
    void withoutASpareNothingChanges() {
        core("a", 0).core("b", 10).core("c", 7000);
        assertThat(after(ABC)).isEqualTo(ABC);
        core("d", 2000);
        assertThat(after(ABC)).isEqualTo(ABC);
        leaving("d");
        assertThat(after(ABC)).isEqualTo(ABC);
    }

    @Test
    void theSpareWithTheNewestValueIsTaken() {
        core("a", 0).core("b", 10).core("c", 7000).behind("d").core("e", 10);
        assertThat(after(ABC).members()).containsExactly("a", "b", "e");
    }

    @Test
    void moreLossesToBearNeedMoreAcceptors() {
        core("a", 0).core("b", 0).core("c", 0).core("d", 0);
        assertThat(after(new AcceptorSetPlanner(2), ABC).members())
                .containsExactly("a", "b", "c", "d");
    }

    @Test
    void aChangeInProgressIsCompletedFirst() {
        core("a", 0).core("b", 0).core("c", 9000).core("d", 0).core("e", 0);
        assertThat(after(ABD_FROM_ABC)).isEqualTo(AcceptorSet.of(List.of("a", "b", "d")));
    }

    /** The former set decides too until the newcomer has the value on disk. */
    @Test
    void aNewcomerCountsOnlyWithTheValueOnDisk() {
        core("a", 0).core("b", 0).core("c", 9000).behind("d");
        assertThat(after(ABD_FROM_ABC)).isEqualTo(ABD_FROM_ABC);
        nowMs += 500;
        core("d", 0);
        assertThat(after(ABD_FROM_ABC)).isEqualTo(AcceptorSet.of(List.of("a", "b", "d")));
    }

    @Test
    void aNewcomerThatDoesNotGetThereIsGivenUpForAWhile() {
        core("a", 0).core("b", 0).core("c", 9000).behind("d");
        assertThat(after(ABD_FROM_ABC)).isEqualTo(ABD_FROM_ABC);
        nowMs += AcceptorSetPlanner.JOIN_TIMEOUT_MS;
        assertThat(after(ABD_FROM_ABC)).isEqualTo(ABC);
        assertThat(after(ABC)).isEqualTo(ABC);
        nowMs += AcceptorSetPlanner.REJOIN_BACKOFF_MS;
        assertThat(after(ABC)).isEqualTo(ABD_FROM_ABC);
    }

    /** A change names the set that it starts from: on any other it does nothing. */
    @Test
    void aChangeOfASetThatIsNoLongerInForceDoesNothing() {
        core("a", 0).core("b", 10).core("c", 1600).core("d", 10);
        Change due = maintenance.due(nowMs, ABC, HELD, cores).orElseThrow();
        AcceptorSet meanwhile = AcceptorSet.of(List.of("a", "b", "e"));
        assertThat(due.decide(RegisterValue.initial(meanwhile)))
                .isEqualTo(new Change.Decision.Keep());
    }
}
