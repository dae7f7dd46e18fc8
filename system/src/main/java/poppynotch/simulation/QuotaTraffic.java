package poppynotch.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import poppynotch.config.Tenant;
import poppynotch.pool.QuotaTolerance;

/**
 * The requests of one tenant at all edges of a {@link SimulatedFleet}. It measures the tokens
 * granted in each time window, which the tenant's quota limits. Rate, burst and tolerance are as
 * large as in real deployments.
 */
final class QuotaTraffic {

    private static final long STEP_INTERVAL_MS = 20;
    private static final long WINDOW_MS = 8000;

    /** A window may exceed the quota by this and by {@link #TOLERATED_EXCESS_FRACTION} of it. */
    private static final double TOLERATED_EXCESS_TOKENS = 190_000;

    private static final double TOLERATED_EXCESS_FRACTION = 0.1;

    static final double RATE_TOKENS_PER_S = 100_000;
    private static final double BURST_TOKENS = 160_000;
    private static final int MAX_REQUEST_TOKENS = 4000;

    /** A granted request. */
    private record Grant(long timeMs, long tokens) {}

    private final Optional<Tenant> tenant;
    private final double demandTokensPerS;

    /** The grants within the window that ends now. */
    private final Deque<Grant> window = new ArrayDeque<>();

    private long windowTokens;
    private long maxWindowTokens;
    private long totalTokens;
    private long steps;

    private QuotaTraffic(Optional<Tenant> tenant, double demandTokensPerS) {
        this.tenant = tenant;
        this.demandTokensPerS = demandTokensPerS;
    }

    /** Traffic without a tenant and without requests. */
    static QuotaTraffic none() {
        return new QuotaTraffic(Optional.empty(), 0);
    }

    /** Traffic of a tenant whose demand is its quota rate times {@code factor}. */
    static QuotaTraffic withDemandFactor(double factor) {
        Tenant tenant =
                new Tenant("t", List.of("k"), 0, true, 200, RATE_TOKENS_PER_S, BURST_TOKENS);
        return new QuotaTraffic(Optional.of(tenant), factor * RATE_TOKENS_PER_S);
    }

    Optional<Tenant> tenant() {
        return tenant;
    }

    QuotaTolerance tolerance() {
        return new QuotaTolerance(TOLERATED_EXCESS_FRACTION, TOLERATED_EXCESS_TOKENS, WINDOW_MS);
    }

    /** The maximum number of tokens that may be granted in any window. */
    static double maxAllowedWindowTokens() {
        double quotaTokens = RATE_TOKENS_PER_S * WINDOW_MS / 1000 + BURST_TOKENS;
        return quotaTokens * (1 + TOLERATED_EXCESS_FRACTION) + TOLERATED_EXCESS_TOKENS;
    }

    /** The maximum number of tokens that were granted in a window so far. */
    long maxWindowTokens() {
        return maxWindowTokens;
    }

    /** How long requests have been sent, in seconds. */
    double durationS() {
        return steps * STEP_INTERVAL_MS / 1000.0;
    }

    /** The number of tokens granted so far. */
    long totalTokens() {
        return totalTokens;
    }

    /** Starts the requests, which are unevenly distributed over the edges. */
    void start(SimulatedFleet fleet, SplittableRandom random) {
        if (tenant.isPresent()) {
            fleet.time().after(STEP_INTERVAL_MS, () -> step(fleet, random));
        }
    }

    private void step(SimulatedFleet fleet, SplittableRandom random) {
        fleet.time().after(STEP_INTERVAL_MS, () -> step(fleet, random));
        long nowMs = fleet.time().getAsLong();
        steps++;
        while (!window.isEmpty() && window.peek().timeMs() <= nowMs - WINDOW_MS) {
            windowTokens -= window.poll().tokens();
        }
        List<VirtualEdge> edges = fleet.edges();
        double remainingTokens = demandTokensPerS * STEP_INTERVAL_MS / 1000;
        while (remainingTokens > 0) {
            long tokens = 1L + random.nextInt(MAX_REQUEST_TOKENS);
            remainingTokens -= tokens;
            // The nested draw gives edges with low indexes many more requests than others.
            VirtualEdge edge = edges.get(random.nextInt(1 + random.nextInt(edges.size())));
            if (edge.isUp() && !edge.isFrozen() && edge.takeQuota(tenant.orElseThrow(), tokens)) {
                recordGrant(nowMs, tokens);
            }
        }
    }

    private void recordGrant(long nowMs, long tokens) {
        window.add(new Grant(nowMs, tokens));
        windowTokens += tokens;
        totalTokens += tokens;
        maxWindowTokens = Math.max(maxWindowTokens, windowTokens);
    }
}
