package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.wire.EdgeLease;
import poppynotch.wire.TenantUsage;

/** Guards against edges that count as present too long, and usage counted twice or not at all. */
class EdgeDirectoryTest {

    private final EdgeDirectory edges = new EdgeDirectory();

    private static List<TenantUsage> usageOf(long amount) {
        return List.of(new TenantUsage("t", amount));
    }

    @Test
    void countsEdgeWhileItsLeaseIsRenewed() {
        edges.renewLease(0, "a", 1, "h:1", List.of());
        edges.renewLease(0, "b", 1, "h:1", List.of());
        assertThat(edges.rankOf(100, "b")).isEqualTo(new EdgeDirectory.EdgeRank(2, 1));
        edges.renewLease(2500, "b", 1, "h:1", List.of());
        assertThat(edges.rankOf(3100, "b")).isEqualTo(new EdgeDirectory.EdgeRank(1, 0));
    }

    /** An edge that is out of contact stops counting as reporting before its lease expires. */
    @Test
    void countsEdgeAsReportingOnlyWhileItRenewsOften() {
        edges.renewLease(0, "a", 1, "h:1", List.of());
        edges.onRelayedLease(100, new EdgeLease("b", 1, "h:1", 50, List.of()));
        assertThat(edges.reportingCount(200)).isEqualTo(2);
        edges.renewLease(900, "a", 1, "h:1", List.of());
        assertThat(edges.reportingCount(1000)).isEqualTo(1);
        assertThat(edges.rankOf(1000, "a").edgeCount()).isEqualTo(2);
    }

    @Test
    void countsUsageOnceWhenReportedHereAndRelayed() {
        edges.renewLease(0, "a", 1, "h:1", List.of());
        edges.renewLease(5, "a", 1, "h:1", usageOf(100));
        edges.onRelayedLease(10, new EdgeLease("a", 1, "h:1", 5, usageOf(100)));
        edges.onRelayedLease(20, new EdgeLease("a", 1, "h:1", 5, usageOf(130)));
        edges.renewLease(30, "a", 1, "h:1", usageOf(120));
        assertThat(edges.totalsSince(0)).containsExactly(new TenantUsage("t", 130));
    }

    @Test
    void countsUsageOfNewIncarnationFromZero() {
        edges.renewLease(0, "a", 1, "h:1", List.of());
        edges.renewLease(5, "a", 1, "h:1", usageOf(100));
        edges.renewLease(10, "a", 2, "h:1", List.of());
        edges.renewLease(15, "a", 2, "h:1", usageOf(30));
        assertThat(edges.totalsSince(0)).containsExactly(new TenantUsage("t", 130));
    }

    /** Guards against quotas that earlier usage exhausts after a restart of the control plane. */
    @Test
    void excludesUsageFromBeforeThisProcessStarted() {
        edges.onRelayedLease(0, new EdgeLease("a", 1, "h:1", 5, usageOf(900_000)));
        edges.renewLease(
                5,
                "a",
                1,
                "h:1",
                List.of(new TenantUsage("t", 900_100), new TenantUsage("u", 700_000)));
        edges.renewLease(10, "b", 1, "h:2", usageOf(800_000));
        assertThat(edges.totalsSince(0)).containsExactly(new TenantUsage("t", 100));
        edges.renewLease(
                15, "b", 1, "h:2", List.of(new TenantUsage("t", 800_050), new TenantUsage("v", 7)));
        assertThat(edges.totalsSince(0))
                .containsExactly(new TenantUsage("t", 150), new TenantUsage("v", 7));
    }

    @Test
    void ignoresLateRelayedLeaseOfEarlierIncarnation() {
        edges.renewLease(1000, "a", 2, "h:1", List.of());
        edges.renewLease(1005, "a", 2, "h:1", usageOf(30));
        edges.onRelayedLease(1010, new EdgeLease("a", 1, "h:1", 500, usageOf(100)));
        edges.renewLease(1020, "a", 2, "h:1", usageOf(40));
        assertThat(edges.totalsSince(0)).containsExactly(new TenantUsage("t", 40));
    }

    @Test
    void relaysUsageOnlyOnce() {
        edges.renewLease(0, "a", 1, "h:1", usageOf(100));
        assertThat(edges.drainDirectLeases(10, 0))
                .containsExactly(new EdgeLease("a", 1, "h:1", 10, usageOf(100)));
        edges.renewLease(20, "a", 1, "h:1", List.of());
        assertThat(edges.drainDirectLeases(20, 20))
                .containsExactly(new EdgeLease("a", 1, "h:1", 0, List.of()));
    }
}
