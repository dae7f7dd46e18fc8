package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Change;
import poppynotch.register.RegisterValue;

class AcceptorMaintenanceTest {

    private static AcceptorSet after(AcceptorSet set, int tolerated, Map<String, Long> ages) {
        Optional<Change> due =
                new AcceptorMaintenance(tolerated)
                        .due(set, ages.keySet().stream().sorted().toList(), ages::get);
        if (due.isEmpty()) {
            return set;
        }
        Change.Decision decision = due.get().decide(RegisterValue.initial(set));
        return ((Change.Decision.Replace) decision).value().acceptors();
    }

    @Test
    void enoughAcceptorsInContactStay() {
        AcceptorSet set = AcceptorSet.of(List.of("a", "b", "c"));
        assertThat(after(set, 1, Map.of("a", 0L, "b", 10L, "c", 5900L, "d", 10L))).isEqualTo(set);
    }

    @Test
    void anAcceptorThatIsGoneGivesItsPlace() {
        AcceptorSet set = AcceptorSet.of(List.of("a", "b", "c"));
        assertThat(after(set, 1, Map.of("a", 0L, "b", 10L, "c", 7000L, "d", 10L)))
                .isEqualTo(new AcceptorSet(List.of("a", "b", "d"), List.of("a", "b", "c")));
    }

    @Test
    void withoutASpareNothingChanges() {
        AcceptorSet set = AcceptorSet.of(List.of("a", "b", "c"));
        assertThat(after(set, 1, Map.of("a", 0L, "b", 10L, "c", 7000L))).isEqualTo(set);
    }

    @Test
    void moreLossesToBearNeedMoreAcceptors() {
        AcceptorSet set = AcceptorSet.of(List.of("a", "b", "c"));
        assertThat(after(set, 2, Map.of("a", 0L, "b", 0L, "c", 0L, "d", 0L)).members())
                .containsExactly("a", "b", "c", "d");
    }

    @Test
    void aChangeInProgressIsCompletedFirst() {
        AcceptorSet set = new AcceptorSet(List.of("a", "b", "d"), List.of("a", "b", "c"));
        assertThat(after(set, 1, Map.of("a", 0L, "b", 0L, "d", 0L)))
                .isEqualTo(AcceptorSet.of(List.of("a", "b", "d")));
    }
}
