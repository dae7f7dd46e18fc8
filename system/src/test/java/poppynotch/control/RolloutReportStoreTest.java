package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import poppynotch.rollout.Rollout;
import poppynotch.wire.OutcomeCount;
import poppynotch.wire.RolloutReport;

/** The sums of the edges' reports, which arrive directly or relayed and in any order. */
class RolloutReportStoreTest {

    private static final Rollout ROLLOUT = Rollout.ordered(7, "v2", 1000);

    private final RolloutReportStore store = new RolloutReportStore();

    private static RolloutReport report(long edge, long sequence, int ended, int inFlight) {
        return new RolloutReport(
                edge,
                sequence,
                "pool",
                ROLLOUT.id(),
                20 + sequence,
                inFlight,
                List.of(
                        new OutcomeCount("a", OutcomeCount.BASELINE, ended, 0, 0),
                        new OutcomeCount("a", 2, 1, 1, 0)));
    }

    @Test
    void countsEachEdgeOnceByItsLatestReport() {
        store.onReports(List.of(report(1, 1, 10, 0)));
        store.onRelayed(List.of(report(1, 3, 30, 0), report(2, 1, 5, 0)));
        store.onReports(List.of(report(1, 2, 20, 0)));
        assertThat(store.outcomes("pool", ROLLOUT).ended()).isEqualTo(30 + 5 + 2);
        assertThat(store.outcomes("pool", ROLLOUT).targetEnded()).isEqualTo(2);
        assertThat(store.outcomes("api", ROLLOUT).ended()).isEqualTo(0);
    }

    @Test
    void relaysDirectReportsOnce() {
        store.onReports(List.of(report(1, 1, 10, 0), report(1, 2, 20, 0)));
        store.onRelayed(List.of(report(2, 1, 5, 0)));
        assertThat(store.drainUnrelayed()).containsExactly(report(1, 2, 20, 0));
        assertThat(store.drainUnrelayed()).isEmpty();
    }

    @Test
    void hasDrainedOnceEveryEdgeReportsSoForTheRevision() {
        store.onReports(List.of(report(1, 5, 1, 0), report(2, 5, 1, 3)));
        assertThat(store.hasDrained("pool", ROLLOUT, 25, List.of(1L, 2L))).isFalse();
        store.onReports(List.of(report(2, 6, 1, 0)));
        assertThat(store.hasDrained("pool", ROLLOUT, 25, List.of(1L, 2L))).isTrue();
        assertThat(store.hasDrained("pool", ROLLOUT, 26, List.of(1L, 2L))).isFalse();
        assertThat(store.hasDrained("pool", ROLLOUT, 25, List.of(1L, 2L, 3L))).isFalse();
    }

    @Test
    void removesReportsOnRolloutsThatAreNotRunning() {
        store.onReports(List.of(report(1, 1, 10, 0)));
        store.retain(Set.of(8L));
        assertThat(store.outcomes("pool", ROLLOUT).ended()).isEqualTo(0);
        assertThat(store.drainUnrelayed()).isEmpty();
    }
}
