package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.wire.EdgeLease;
import poppynotch.wire.Usage;

class EdgeDirectoryTest {

    private final EdgeDirectory edges = new EdgeDirectory();

    private static List<Usage> used(long amount) {
        return List.of(new Usage("t", amount));
    }

    @Test
    void anEdgeCountsWhileItRenewsItsLease() {
        edges.renew(0, "a", 1, "h:1", List.of());
        edges.renew(0, "b", 1, "h:1", List.of());
        assertThat(edges.place(100, "b")).isEqualTo(new EdgeDirectory.Place(2, 1));
        edges.renew(2500, "b", 1, "h:1", List.of());
        assertThat(edges.place(3100, "b")).isEqualTo(new EdgeDirectory.Place(1, 0));
    }

    @Test
    void usageIsCountedOnceWhoeverTellsIt() {
        edges.renew(0, "a", 1, "h:1", used(100));
        edges.relayed(10, new EdgeLease("a", 1, "h:1", 5, used(100)));
        edges.relayed(20, new EdgeLease("a", 1, "h:1", 5, used(130)));
        edges.renew(30, "a", 1, "h:1", used(120));
        assertThat(edges.totalsSince(0)).containsExactly(new Usage("t", 130));
    }

    @Test
    void anEdgeThatStartsAgainCountsFromZero() {
        edges.renew(0, "a", 1, "h:1", used(100));
        edges.renew(10, "a", 2, "h:1", used(30));
        assertThat(edges.totalsSince(0)).containsExactly(new Usage("t", 130));
    }

    @Test
    void aLateWordOnAnEarlierLifeChangesNothing() {
        edges.renew(1000, "a", 2, "h:1", used(30));
        edges.relayed(1010, new EdgeLease("a", 1, "h:1", 500, used(100)));
        edges.renew(1020, "a", 2, "h:1", used(40));
        assertThat(edges.totalsSince(0)).containsExactly(new Usage("t", 40));
    }

    @Test
    void whatWasRelayedIsNotRelayedAgain() {
        edges.renew(0, "a", 1, "h:1", used(100));
        assertThat(edges.drainDirect(10, 0))
                .containsExactly(new EdgeLease("a", 1, "h:1", 10, used(100)));
        edges.renew(20, "a", 1, "h:1", List.of());
        assertThat(edges.drainDirect(20, 20))
                .containsExactly(new EdgeLease("a", 1, "h:1", 0, List.of()));
    }
}
