package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import poppynotch.config.Tenant;

/**
 * Guards against edges that together grant more than a tenant's quota, such as without updates or
 * after a restart, and against edges that reject requests within it.
 */
class QuotaBucketsTest {

    private static final Tenant TENANT =
            new Tenant("t", List.of("k"), 0, true, 200, 10_000, 20_000);

    /** The amount that one of six edges may grant from a full bucket until the next update. */
    private static final double MAX_GRANT_UNTIL_UPDATE =
            Math.max(QuotaBucket.EVEN_SHARES_PER_UPDATE / 6, QuotaBucket.MAX_SURPLUS_FRACTION)
                    * 20_000;

    private static QuotaBuckets bucketsOfOneEdge(QuotaTolerance tolerance) {
        QuotaBuckets buckets = new QuotaBuckets(tolerance);
        buckets.configure(0, List.of(TENANT));
        return buckets;
    }

    /** Returns the full buckets of one of six edges that got an update every 200 ms for 2 s. */
    private static QuotaBuckets bucketsOfOneOfSixEdges() {
        QuotaBuckets buckets = new QuotaBuckets(QuotaTolerance.NONE);
        buckets.setEdgeCount(6);
        buckets.configure(0, List.of(TENANT));
        for (long now = 0; now <= 2000; now += 200) {
            buckets.onUpdate(now, now, Map.of(), 6, now > 0);
        }
        return buckets;
    }

    private static long granted(QuotaBuckets buckets, long fromMs, long toMs, long amount) {
        long granted = 0;
        for (long now = fromMs; now < toMs; now += 20) {
            while (buckets.acquire(now, TENANT, amount) == 0) {
                granted += amount;
            }
        }
        return granted;
    }

    @Test
    void grantsAllRequestsWithinRate() {
        QuotaBuckets buckets = bucketsOfOneEdge(QuotaTolerance.NONE);
        for (long now = 0; now < 60_000; now += 100) {
            assertThat(buckets.acquire(now, TENANT, 990)).isEqualTo(0);
        }
    }

    @Test
    void returnsRetryAfterWhenQuotaIsExhausted() {
        QuotaBuckets buckets = bucketsOfOneEdge(QuotaTolerance.NONE);
        assertThat(buckets.acquire(0, TENANT, 30_000)).isEqualTo(0);
        long retryAfterMs = buckets.acquire(0, TENANT, 100);
        assertThat(retryAfterMs).isGreaterThan(0L);
        assertThat(buckets.acquire(retryAfterMs + 1500, TENANT, 100)).isEqualTo(0);
    }

    /** Guards against early retries of a tenant that constantly exceeds its rate. */
    @Test
    void retryAfterGrowsWithDurationOfShortage() {
        QuotaBuckets buckets = bucketsOfOneEdge(QuotaTolerance.NONE);
        long maxRetryAfterMs = 0;
        for (long now = 0; now < 5000; now += 100) {
            maxRetryAfterMs = Math.max(maxRetryAfterMs, buckets.acquire(now, TENANT, 5000));
        }
        assertThat(maxRetryAfterMs).isAtLeast(3500L);
        assertThat(buckets.acquire(8000, TENANT, 30_000)).isEqualTo(0);
        assertThat(buckets.acquire(8000, TENANT, 100)).isLessThan(1500L);
    }

    @Test
    void refundMakesQuotaAvailableAgain() {
        QuotaBuckets buckets = bucketsOfOneEdge(QuotaTolerance.NONE);
        assertThat(buckets.acquire(0, TENANT, 30_000)).isEqualTo(0);
        buckets.refund(0, TENANT, 30_000);
        assertThat(buckets.acquire(0, TENANT, 100)).isEqualTo(0);
    }

    @Test
    void rejectsWhenOtherEdgesUsedTheQuota() {
        QuotaBuckets buckets = bucketsOfOneOfSixEdges();
        buckets.onUpdate(2200, 2200, Map.of("t", 45_000L), 6, true);
        assertThat(buckets.acquire(2200, TENANT, 1)).isGreaterThan(0L);
    }

    @Test
    void grantsFullRateWhenOtherEdgesUseNothing() {
        QuotaBuckets buckets = bucketsOfOneOfSixEdges();
        long granted = 0;
        for (long now = 2000; now < 12_000; now += 200) {
            granted += granted(buckets, now, now + 200, 500);
            buckets.onUpdate(now + 200, now + 200, Map.of(), 6, true);
        }
        assertThat((double) granted).isAtLeast(0.97 * 10_000 * 10);
        assertThat((double) granted).isAtMost(20_000 + 10_000 * 10 + 1000);
    }

    /** Without updates, an edge grants an even share of the amount left and then of the rate. */
    @Test
    void grantsOnlyEvenShareWithoutUpdates() {
        QuotaBuckets buckets = bucketsOfOneOfSixEdges();
        long granted = granted(buckets, 2000, 14_000, 500);
        assertThat((double) granted).isAtMost(MAX_GRANT_UNTIL_UPDATE + 10_000.0 / 6 * 12 + 500);
        assertThat((double) granted).isAtLeast(20_000.0 / 6 + 10_000.0 / 6 * 10.5);
    }

    /** Guards against edges that each grant the full rate after the last update they received. */
    @Test
    void grantsOnlyEvenShareUntilNextUpdateWhenBucketIsNearlyEmpty() {
        QuotaBuckets buckets = bucketsOfOneOfSixEdges();
        buckets.onUpdate(2200, 2200, Map.of("t", 22_000L), 6, true);
        long granted = granted(buckets, 2200, 2800, 100);
        assertThat((double) granted).isAtMost(10_000.0 / 6 * 0.6 + 200);
    }

    /** Guards against additional grants through the updates that configuration changes cause. */
    @Test
    void renewsAllowanceOncePerIntervalWhenUpdatesComeInQuickSuccession() {
        QuotaBuckets buckets = bucketsOfOneOfSixEdges();
        long granted = 0;
        for (long now = 2000; now < 2200; now += 20) {
            granted += granted(buckets, now, now + 20, 100);
            buckets.onUpdate(now + 19, now + 19, Map.of(), 6, true);
        }
        assertThat((double) granted).isAtMost(MAX_GRANT_UNTIL_UPDATE + 10_000.0 / 6 * 0.2 + 200);
    }

    /** Guards against a large request that is never granted although quota is left. */
    @Test
    void grantsLargeRequestWithEverySecondUpdate() {
        QuotaBuckets buckets = bucketsOfOneOfSixEdges();
        assertThat(buckets.acquire(2000, TENANT, 9000)).isEqualTo(0);
        assertThat(buckets.acquire(2000, TENANT, 9000)).isGreaterThan(0L);
        buckets.onUpdate(2200, 2200, Map.of("t", 2000L), 6, true);
        assertThat(buckets.acquire(2200, TENANT, 9000)).isGreaterThan(0L);
        buckets.onUpdate(2400, 2400, Map.of("t", 2000L), 6, true);
        assertThat(buckets.acquire(2400, TENANT, 9000)).isEqualTo(0);
    }

    /** The use between the updates of two control-plane replicas is unknown. */
    @Test
    void doesNotRefillOthersSharesForPeriodBetweenTwoReplicas() {
        QuotaBuckets buckets = bucketsOfOneOfSixEdges();
        long before = granted(buckets, 2000, 2001, 100);
        // The edge may assume that the others have used part of the quota before its first use.
        assertThat((double) before)
                .isAtLeast(0.7 * QuotaBucket.EVEN_SHARES_PER_UPDATE * 20_000.0 / 6);
        buckets.onUpdate(5000, 5000, Map.of(), 6, false);
        assertThat((double) granted(buckets, 5000, 5001, 100)).isAtMost(10_000.0 / 6 * 3 + 200);
    }

    /** The first update of a replica does not cover the use before it. */
    @Test
    void doesNotRefillOthersSharesForPeriodBeforeFirstUpdateOfReplica() {
        long[] granted = new long[2];
        long[] firstCoversUntilMs = {2100, 3000};
        for (int i = 0; i < granted.length; i++) {
            QuotaBuckets buckets = bucketsOfOneOfSixEdges();
            granted(buckets, 2000, 2001, 100);
            buckets.onUpdate(3000, firstCoversUntilMs[i], Map.of(), 6, false);
            buckets.onUpdate(3200, 3000, Map.of(), 6, true);
            granted[i] = granted(buckets, 3200, 3201, 100);
        }
        assertThat(granted[0]).isEqualTo(granted[1]);
    }

    /** Two of six edges do not report; they may still serve requests and use their shares. */
    @Test
    void reservesSharesOfEdgesThatDoNotReport() {
        QuotaBuckets buckets = bucketsOfOneOfSixEdges();
        long granted = 0;
        for (long now = 2000; now < 12_000; now += 200) {
            granted += granted(buckets, now, now + 200, 100);
            buckets.onUpdate(now + 200, now + 200, Map.of(), 4, true);
        }
        assertThat((double) granted).isAtMost(20_000 + 10_000 * 10 * 4.0 / 6 + 1000);
        assertThat((double) granted).isAtLeast(10_000 * 10 * 4.0 / 6);
    }

    /**
     * The other edges do not use the share of a disconnected edge, so the edge must not report its
     * use of that share later.
     */
    @Test
    void doesNotReportUseOfOwnShareWhileDisconnected() {
        QuotaBuckets buckets = bucketsOfOneOfSixEdges();
        assertThat(buckets.acquire(2000, TENANT, 4000)).isEqualTo(0);
        buckets.onUpdate(2200, 2200, Map.of(), 6, true);
        long before = buckets.useToReport(2200).get("t");
        long grantedWhileDisconnected = granted(buckets, 2220, 8000, 100);
        // A control-plane replica without a quorum still accepts the edge's report.
        assertThat((double) (buckets.useToReport(7000).get("t") - before)).isAtMost(300.0);
        buckets.onUpdate(8000, 8000, Map.of(), 6, true);
        assertThat((double) grantedWhileDisconnected).isAtLeast(8000.0);
        // Use of the remaining allowance is reported, as the others did not reserve that.
        double beyondShare = Math.max(0, grantedWhileDisconnected - 10_000.0 / 6 * 5.8);
        assertThat((double) (buckets.useToReport(8000).get("t") - before))
                .isAtMost(beyondShare + 300.0);
        buckets.onUpdate(8200, 8200, Map.of(), 6, true);
        long after = granted(buckets, 8200, 8201, 100);
        assertThat(after).isGreaterThan(0L);
        assertThat((double) (buckets.useToReport(8200).get("t") - before)).isAtLeast(after - 1.0);
        assertThat((double) (buckets.useToReport(8200).get("t") - before))
                .isAtMost(beyondShare + after + 300.0);
    }

    @Test
    void edgesThatStartTogetherGrantAtMostAFractionOfTheBurst() {
        long granted = 0;
        for (int i = 0; i < 6; i++) {
            QuotaBuckets buckets = new QuotaBuckets(QuotaTolerance.NONE);
            buckets.setEdgeCount(6);
            buckets.configure(0, List.of(TENANT));
            granted += granted(buckets, 0, 1, 10);
        }
        assertThat((double) granted).isAtMost(10_000.0 + 6 * 10);
    }

    private record Grant(long atMs, long amount) {}

    /** Six edges learn of each other's use with a delay of 400 ms. */
    @Test
    void edgesTogetherStayWithinToleranceInEveryWindow() {
        double slack = 20_000;
        SplittableRandom random = new SplittableRandom(3);
        List<QuotaBuckets> edges = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            edges.add(bucketsOfOneEdge(new QuotaTolerance(0.1, slack, 8000)));
            edges.get(i).setEdgeCount(6);
        }
        long[] used = new long[6];
        List<long[]> usedHistory = new ArrayList<>();
        long[] reportedBefore = null;
        List<Grant> grants = new ArrayList<>();
        for (long now = 0; now < 40_000; now += 20) {
            int at = random.nextInt(3) == 0 ? random.nextInt(6) : 0;
            if (edges.get(at).acquire(now, TENANT, 1200) == 0) {
                used[at] += 1200;
                grants.add(new Grant(now, 1200));
            }
            usedHistory.add(used.clone());
            if (usedHistory.size() > 20 && now % 200 == 0) {
                long[] reported = usedHistory.get(usedHistory.size() - 20);
                for (int i = 0; i < 6; i++) {
                    boolean first = reportedBefore == null;
                    long others =
                            first ? 0 : usedByOthers(reported, i) - usedByOthers(reportedBefore, i);
                    edges.get(i).onUpdate(now, now - 400, Map.of("t", others), 6, !first);
                }
                reportedBefore = reported;
            }
        }
        for (Grant start : grants) {
            long inWindow =
                    grants.stream()
                            .filter(g -> g.atMs() >= start.atMs() && g.atMs() < start.atMs() + 8000)
                            .mapToLong(Grant::amount)
                            .sum();
            assertThat((double) inWindow).isAtMost((10_000 * 8 + 20_000) * 1.1 + slack);
        }
        long granted = grants.stream().mapToLong(Grant::amount).sum();
        assertThat((double) granted).isAtLeast(0.95 * 10_000 * 40);
    }

    private static long usedByOthers(long[] usedByEdge, int edge) {
        return Arrays.stream(usedByEdge).sum() - usedByEdge[edge];
    }
}
