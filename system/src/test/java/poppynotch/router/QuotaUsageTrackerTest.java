package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import poppynotch.wire.TenantUsage;

/** Guards against usage that is counted twice, lost, or computed from incomparable totals. */
class QuotaUsageTrackerTest {

    private final List<String> reports = new ArrayList<>();
    private final QuotaUsageTracker tracker =
            new QuotaUsageTracker(
                    (upToMs, others, reporting, continuous) ->
                            reports.add(others + (continuous ? "" : " discontinuous")),
                    600);

    private void report(long nowMs, int linkIndex, long amount) {
        report(nowMs, linkIndex, amount, 0);
    }

    private void report(long nowMs, int linkIndex, long amount, long ownUsage) {
        tracker.onReport(
                nowMs,
                nowMs,
                linkIndex,
                6,
                List.of(new TenantUsage("t", amount)),
                Map.of("t", ownUsage));
    }

    /** Comparing the totals of two replicas once cost tenants their quota for the rest of a day. */
    @Test
    void doesNotCompareTotalsOfDifferentConnectionsOfOneLink() {
        tracker.onConnected(0);
        report(0, 0, 1000);
        report(200, 0, 1100);
        tracker.onConnected(0);
        report(400, 0, 900_000);
        report(600, 0, 900_100);
        assertThat(reports)
                .containsExactly("{} discontinuous", "{t=100}", "{} discontinuous", "{t=100}")
                .inOrder();
    }

    @Test
    void followsOneConnectionWhileItReports() {
        tracker.onConnected(0);
        tracker.onConnected(1);
        report(0, 0, 10);
        report(10, 1, 500);
        report(200, 0, 20);
        report(700, 1, 510);
        report(1000, 1, 520);
        report(1100, 0, 30);
        assertThat(reports).containsExactly("{} discontinuous", "{t=10}", "{t=20}").inOrder();
    }

    /** The usage after the last report of one replica is reported by the other one. */
    @Test
    void otherConnectionContinuesWithoutGapAfterFollowedOneEnds() {
        tracker.onConnected(0);
        tracker.onConnected(1);
        report(0, 0, 10);
        report(10, 1, 500);
        report(200, 0, 20);
        report(210, 1, 540);
        tracker.onConnected(0);
        report(410, 1, 600);
        assertThat(reports).containsExactly("{} discontinuous", "{t=10}", "{t=100}").inOrder();
    }

    @Test
    void subtractsOwnUsageFromTotals() {
        tracker.onConnected(0);
        report(0, 0, 100, 100);
        report(200, 0, 180, 150);
        assertThat(reports).containsExactly("{} discontinuous", "{t=30}").inOrder();
    }

    /**
     * A replica that has just started has no totals of earlier usage. The usage that this edge has
     * reported since its own start must not be subtracted from the usage of other edges.
     */
    @Test
    void countsFromReportedUsageIfReplicaHasNoTotalsYet() {
        tracker.onConnected(0);
        tracker.onReport(0, 0, 0, 6, List.of(), Map.of("t", 90_000L));
        report(200, 0, 70, 90_020);
        assertThat(reports).containsExactly("{} discontinuous", "{t=50}").inOrder();
    }

    @Test
    void countsTenantMissingFromEarlierReportFromZero() {
        tracker.onConnected(0);
        tracker.onReport(0, 0, 0, 6, List.of(), Map.of());
        report(200, 0, 70);
        assertThat(reports).containsExactly("{} discontinuous", "{t=70}").inOrder();
    }

    @Test
    void continuesWhenConnectionThatIsNotFollowedEnds() {
        tracker.onConnected(0);
        tracker.onConnected(1);
        report(0, 0, 10);
        tracker.onConnected(1);
        report(200, 0, 20);
        assertThat(reports).containsExactly("{} discontinuous", "{t=10}").inOrder();
    }
}
