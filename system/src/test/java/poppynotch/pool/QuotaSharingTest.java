package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import poppynotch.config.Tenant;

/**
 * Guards against edges that reject requests of a tenant within its quota, or together grant more
 * than is tolerated. Many edges share the quota of a tenant whose large requests arrive at few of
 * them, and each edge learns of the others' use some hundred ms late.
 */
class QuotaSharingTest {

    private static final double BURST_SECONDS_OF_RATE = 1.6;
    private static final double TOLERATED_FRACTION = 0.1;
    private static final double TOLERATED_TOKENS = 190_000;
    private static final long WINDOW_MS = 8000;
    private static final long STEP_MS = 10;
    private static final long UPDATE_INTERVAL_MS = 200;
    private static final int REPORT_LAG_STEPS = 40;
    private static final int SEEDS = 10;

    private static Tenant tenant(double ratePerS) {
        return new Tenant(
                "t", List.of("k"), 0, true, 200, ratePerS, BURST_SECONDS_OF_RATE * ratePerS);
    }

    /** The outcomes of the requests of one run. */
    private static final class Result {
        int requests;
        int rejected;

        /** Requests rejected although a single bucket for the whole fleet would not be empty. */
        int rejectedWithinQuota;

        long maxInWindow;
        long granted;
    }

    private record Grant(long atMs, long amount) {}

    /** Returns a prompt's tokens, of a distribution with many short and a few long prompts. */
    private static long tokens(SplittableRandom random) {
        double drawn = Math.exp(1.0 * random.nextGaussian()) * 6000;
        return Math.max(200, Math.min(90_000, (long) drawn));
    }

    /** The edges of one fleet, and the delayed reports of each edge's use to the others. */
    private static final class Fleet {
        private final List<QuotaBuckets> edges = new ArrayList<>();
        private final long[] usedByEdge;
        private final List<long[]> usedHistory = new ArrayList<>();

        /** The total use of the other edges in the latest update to an edge, by its index. */
        private final Map<Integer, Long> reportedByOthers = new HashMap<>();

        Fleet(Tenant tenant, int edgeCount) {
            usedByEdge = new long[edgeCount];
            for (int i = 0; i < edgeCount; i++) {
                QuotaBuckets buckets =
                        new QuotaBuckets(
                                new QuotaTolerance(
                                        TOLERATED_FRACTION, TOLERATED_TOKENS, WINDOW_MS));
                buckets.setEdgeCount(edgeCount);
                buckets.configure(0, List.of(tenant));
                edges.add(buckets);
            }
        }

        boolean acquire(long now, int edge, Tenant tenant, long amount) {
            boolean granted = edges.get(edge).acquire(now, tenant, amount) == 0;
            if (granted) {
                usedByEdge[edge] += amount;
            }
            return granted;
        }

        void publishUpdates(long now) {
            usedHistory.add(usedByEdge.clone());
            if (usedHistory.size() <= REPORT_LAG_STEPS) {
                return;
            }
            long[] reported = usedHistory.get(usedHistory.size() - 1 - REPORT_LAG_STEPS);
            long total = Arrays.stream(reported).sum();
            for (int i = 0; i < edges.size(); i++) {
                if ((now / STEP_MS + i) % (UPDATE_INTERVAL_MS / STEP_MS) == 0) {
                    long others = total - reported[i];
                    Long before = reportedByOthers.put(i, others);
                    long sinceUpdate = before == null ? 0 : others - before;
                    edges.get(i)
                            .onUpdate(
                                    now,
                                    now - REPORT_LAG_STEPS * STEP_MS,
                                    Map.of("t", sinceUpdate),
                                    edges.size(),
                                    before != null);
                }
            }
        }
    }

    /**
     * Runs requests at {@code demand} times the rate, and {@code peakDemand} times the rate from
     * the 10th to the 20th second.
     *
     * @param busyEdges the number of edges that requests arrive at
     */
    private static Result run(
            long seed,
            Tenant tenant,
            int edgeCount,
            int busyEdges,
            double demand,
            double peakDemand) {
        SplittableRandom random = new SplittableRandom(seed);
        Fleet fleet = new Fleet(tenant, edgeCount);
        Result result = new Result();
        Deque<Grant> window = new ArrayDeque<>();
        long inWindow = 0;
        double leftInQuota = tenant.burst();
        double demanded = 0;
        for (long now = 0; now < 32_000; now += STEP_MS) {
            double addedPerStep = tenant.ratePerS() * STEP_MS / 1000;
            leftInQuota = Math.min(tenant.burst(), leftInQuota + addedPerStep);
            demanded += demandAt(now, demand, peakDemand) * tenant.ratePerS() * STEP_MS / 1000;
            while (!window.isEmpty() && window.peek().atMs() <= now - WINDOW_MS) {
                inWindow -= window.poll().amount();
            }
            while (demanded > 0) {
                long amount = tokens(random);
                demanded -= amount;
                int edge = random.nextInt(1 + random.nextInt(busyEdges));
                result.requests++;
                if (fleet.acquire(now, edge, tenant, amount)) {
                    leftInQuota -= amount;
                    window.add(new Grant(now, amount));
                    inWindow += amount;
                    result.granted += amount;
                    result.maxInWindow = Math.max(result.maxInWindow, inWindow);
                } else {
                    result.rejected++;
                    result.rejectedWithinQuota += leftInQuota > 0 ? 1 : 0;
                }
            }
            fleet.publishUpdates(now);
        }
        return result;
    }

    /** The demand as a multiple of the rate; there is none in the first five seconds. */
    private static double demandAt(long nowMs, double demand, double peakDemand) {
        if (nowMs < 5000) {
            return 0;
        }
        return nowMs >= 10_000 && nowMs < 20_000 ? peakDemand : demand;
    }

    private static double maxInAnyWindow(Tenant tenant) {
        double quota = tenant.ratePerS() * WINDOW_MS / 1000 + tenant.burst();
        return quota * (1 + TOLERATED_FRACTION) + TOLERATED_TOKENS;
    }

    @ParameterizedTest
    @CsvSource({"17, 17", "17, 4", "89, 89", "89, 20", "380, 20"})
    void rejectsFewRequestsOfTenantWithinItsRate(int edgeCount, int busyEdges) {
        int requests = 0;
        int rejected = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = run(seed, tenant(60_000), edgeCount, busyEdges, 0.75, 0.75);
            requests += result.requests;
            rejected += result.rejected;
        }
        assertThat((double) rejected / requests).isLessThan(0.06);
    }

    /** The tenant gets its quota, and no window exceeds what the deployment tolerates. */
    @ParameterizedTest
    @CsvSource({
        "47000, 17, 17, 2.4",
        "47000, 89, 89, 2.4",
        "150000, 17, 17, 4.6",
        "150000, 17, 6, 4.6",
        "150000, 89, 89, 4.6",
        "600000, 89, 89, 4.6",
        "600000, 89, 30, 4.6",
        "1200000, 89, 89, 4.6"
    })
    void grantsTenantBeyondItsRateItsQuotaAndNoMore(
            double ratePerS, int edgeCount, int busyEdges, double peakDemand) {
        Tenant tenant = tenant(ratePerS);
        double granted = 0;
        double expected = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = run(seed, tenant, edgeCount, busyEdges, 0.75, peakDemand);
            assertThat((double) result.maxInWindow).isAtMost(maxInAnyWindow(tenant));
            granted += result.granted;
            // 17 s at three quarters of the rate, 10 s at the full rate, and the burst.
            expected += ratePerS * (17 * 0.75 + 10 + BURST_SECONDS_OF_RATE);
        }
        assertThat(granted / expected).isGreaterThan(0.9);
    }

    /** Counts rejections at times when a single bucket for the fleet would not be empty. */
    @ParameterizedTest
    @CsvSource({"47000, 17, 17", "47000, 89, 89", "47000, 89, 20"})
    void rejectsFewRequestsOfSmallTenantWithinItsQuota(
            double ratePerS, int edgeCount, int busyEdges) {
        int requests = 0;
        int rejected = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = run(seed, tenant(ratePerS), edgeCount, busyEdges, 0.4, 2.4);
            requests += result.requests;
            rejected += result.rejectedWithinQuota;
        }
        assertThat((double) rejected / requests).isLessThan(0.06);
    }
}
