package poppynotch.register;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against decisions by acceptors that are not a quorum or do not know all decisions. */
class AcceptorSetTest {

    private static final AcceptorSet THREE = AcceptorSet.of(List.of("a", "b", "c"));
    private static final AcceptorSet FOUR = AcceptorSet.of(List.of("a", "b", "c", "d"));

    @Test
    void quorumIsMajorityOfMembers() {
        assertThat(THREE.isQuorum(Set.of("a", "b"))).isTrue();
        assertThat(THREE.isQuorum(Set.of("a", "x"))).isFalse();
        assertThat(FOUR.isQuorum(Set.of("a", "b"))).isFalse();
    }

    @Test
    void changingSetNeedsMajorityOfMembersAndOfFormerMembers() {
        AcceptorSet changing = THREE.changingTo(List.of("a", "b", "d"));
        assertThat(changing.isQuorum(Set.of("a", "d"))).isFalse();
        assertThat(changing.isQuorum(Set.of("a", "b"))).isTrue();
        assertThat(changing.voters()).containsExactly("a", "b", "c", "d");
        assertThat(changing.withChangeCompleted())
                .isEqualTo(AcceptorSet.of(List.of("a", "b", "d")));
    }

    @Test
    void intersectsQuorumsOfLostMemberOnlyWithEnoughOthers() {
        assertThat(THREE.intersectsQuorumsOf("c", Set.of("a"))).isFalse();
        assertThat(THREE.intersectsQuorumsOf("c", Set.of("a", "b"))).isTrue();
        assertThat(FOUR.intersectsQuorumsOf("c", Set.of("a", "b"))).isTrue();
        assertThat(FOUR.intersectsQuorumsOf("c", Set.of("a", "c"))).isFalse();
        assertThat(THREE.intersectsQuorumsOf("z", Set.of("a", "b"))).isTrue();
    }

    @Test
    void toleratesDiskLossesThatLeaveEnoughForRecovery() {
        assertThat(THREE.toleratesDiskLosses(1)).isTrue();
        assertThat(THREE.toleratesDiskLosses(2)).isFalse();
        assertThat(FOUR.toleratesDiskLosses(2)).isTrue();
        AcceptorSet growing = THREE.changingTo(List.of("a", "b", "c", "d"));
        assertThat(growing.toleratesDiskLosses(1)).isTrue();
        assertThat(growing.toleratesDiskLosses(2)).isFalse();
    }
}
