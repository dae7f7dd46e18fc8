package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.ChangeFunction;
import poppynotch.register.RegisterValue;

/** Guards against sets without enough acceptors in contact, and changes planned on an old set. */
class AcceptorSetPlannerTest {

    private static final Ballot OLD_BALLOT = Ballot.ZERO.next(1);
    private static final Ballot VALUE_BALLOT = OLD_BALLOT.next(1);
    private static final AcceptorSet ABC = AcceptorSet.of(List.of("a", "b", "c"));
    private static final AcceptorSet ABD_FROM_ABC =
            new AcceptorSet(List.of("a", "b", "d"), List.of("a", "b", "c"));

    private final AcceptorSetPlanner planner = new AcceptorSetPlanner(1);
    private final List<AcceptorSetPlanner.ReplicaStatus> replicas = new ArrayList<>();
    private long nowMs;

    private AcceptorSetPlannerTest addReplica(String address, long contactAgeMs) {
        replicas.removeIf(replica -> replica.address().equals(address));
        replicas.add(
                new AcceptorSetPlanner.ReplicaStatus(address, contactAgeMs, VALUE_BALLOT, false));
        return this;
    }

    private AcceptorSetPlannerTest addReplicaWithOldValue(String address) {
        replicas.removeIf(replica -> replica.address().equals(address));
        replicas.add(new AcceptorSetPlanner.ReplicaStatus(address, 10, OLD_BALLOT, false));
        return this;
    }

    private AcceptorSetPlannerTest addLeavingReplica(String address) {
        replicas.removeIf(replica -> replica.address().equals(address));
        replicas.add(new AcceptorSetPlanner.ReplicaStatus(address, 10, VALUE_BALLOT, true));
        return this;
    }

    private AcceptorSet setAfterNextChange(AcceptorSet set) {
        return setAfterNextChange(planner, set);
    }

    private AcceptorSet setAfterNextChange(AcceptorSetPlanner planner, AcceptorSet set) {
        Optional<ChangeFunction> next =
                planner.nextChange(nowMs, RegisterValue.initial(set), VALUE_BALLOT, replicas);
        if (next.isEmpty()) {
            return set;
        }
        ChangeFunction.Decision decision = next.get().apply(RegisterValue.initial(set));
        return ((ChangeFunction.Decision.Replace) decision).value().acceptors();
    }

    @Test
    void keepsSetWhenEnoughAcceptorsAreInContact() {
        addReplica("a", 0).addReplica("b", 10).addReplica("c", 1400).addReplica("d", 10);
        assertThat(setAfterNextChange(ABC)).isEqualTo(ABC);
    }

    @Test
    void replacesAcceptorThatIsUnreachable() {
        addReplica("a", 0).addReplica("b", 10).addReplica("c", 1600).addReplica("d", 10);
        assertThat(setAfterNextChange(ABC)).isEqualTo(ABD_FROM_ABC);
    }

    @Test
    void replacesAcceptorThatIsLeavingBeforeItEnds() {
        addReplica("a", 0).addReplica("b", 10).addLeavingReplica("c").addReplica("d", 10);
        assertThat(setAfterNextChange(ABC)).isEqualTo(ABD_FROM_ABC);
    }

    @Test
    void keepsSetWhenNoReplicaIsEligible() {
        addReplica("a", 0).addReplica("b", 10).addReplica("c", 7000);
        assertThat(setAfterNextChange(ABC)).isEqualTo(ABC);
        addReplica("d", 2000);
        assertThat(setAfterNextChange(ABC)).isEqualTo(ABC);
        addLeavingReplica("d");
        assertThat(setAfterNextChange(ABC)).isEqualTo(ABC);
    }

    @Test
    void choosesCandidateWithNewestValueOnDisk() {
        addReplica("a", 0)
                .addReplica("b", 10)
                .addReplica("c", 7000)
                .addReplicaWithOldValue("d")
                .addReplica("e", 10);
        assertThat(setAfterNextChange(ABC).members()).containsExactly("a", "b", "e");
    }

    @Test
    void growsSetWhenMoreFailuresAreToBeTolerated() {
        addReplica("a", 0).addReplica("b", 0).addReplica("c", 0).addReplica("d", 0);
        assertThat(setAfterNextChange(new AcceptorSetPlanner(2), ABC).members())
                .containsExactly("a", "b", "c", "d");
    }

    @Test
    void completesChangeInProgressBeforeNextOne() {
        addReplica("a", 0)
                .addReplica("b", 0)
                .addReplica("c", 9000)
                .addReplica("d", 0)
                .addReplica("e", 0);
        assertThat(setAfterNextChange(ABD_FROM_ABC))
                .isEqualTo(AcceptorSet.of(List.of("a", "b", "d")));
    }

    /** The former set also decides until the joining member has the value on disk. */
    @Test
    void completesChangeOnlyOnceJoiningMemberHasValueOnDisk() {
        addReplica("a", 0).addReplica("b", 0).addReplica("c", 9000).addReplicaWithOldValue("d");
        assertThat(setAfterNextChange(ABD_FROM_ABC)).isEqualTo(ABD_FROM_ABC);
        nowMs += 500;
        addReplica("d", 0);
        assertThat(setAfterNextChange(ABD_FROM_ABC))
                .isEqualTo(AcceptorSet.of(List.of("a", "b", "d")));
    }

    @Test
    void revertsChangeAndBacksOffWhenMemberFailsToJoin() {
        addReplica("a", 0).addReplica("b", 0).addReplica("c", 9000).addReplicaWithOldValue("d");
        assertThat(setAfterNextChange(ABD_FROM_ABC)).isEqualTo(ABD_FROM_ABC);
        nowMs += AcceptorSetPlanner.JOIN_TIMEOUT_MS;
        assertThat(setAfterNextChange(ABD_FROM_ABC)).isEqualTo(ABC);
        assertThat(setAfterNextChange(ABC)).isEqualTo(ABC);
        nowMs += AcceptorSetPlanner.REJOIN_BACKOFF_MS;
        assertThat(setAfterNextChange(ABC)).isEqualTo(ABD_FROM_ABC);
    }

    /** A change has no effect if the set is not the one that it was planned for. */
    @Test
    void keepsValueWhenChangeStartsFromAnotherSet() {
        addReplica("a", 0).addReplica("b", 10).addReplica("c", 1600).addReplica("d", 10);
        ChangeFunction next =
                planner.nextChange(nowMs, RegisterValue.initial(ABC), VALUE_BALLOT, replicas)
                        .orElseThrow();
        AcceptorSet meanwhile = AcceptorSet.of(List.of("a", "b", "e"));
        assertThat(next.apply(RegisterValue.initial(meanwhile)))
                .isEqualTo(new ChangeFunction.Decision.Keep());
    }

    /** A holder that was paused changes nothing, even if the set has been restored since. */
    @Test
    void changeHasNoEffectOnceSetWasReplacedAndRestored() {
        addReplica("a", 0).addReplica("b", 10).addReplica("c", 7000).addReplica("d", 10);
        RegisterValue planned = RegisterValue.initial(ABC);
        ChangeFunction change =
                planner.nextChange(nowMs, planned, VALUE_BALLOT, replicas).orElseThrow();
        RegisterValue restored = planned.withAcceptors(ABD_FROM_ABC).withAcceptors(ABC);
        assertThat(change.apply(planned)).isInstanceOf(ChangeFunction.Decision.Replace.class);
        assertThat(change.apply(restored)).isInstanceOf(ChangeFunction.Decision.Keep.class);
    }
}
