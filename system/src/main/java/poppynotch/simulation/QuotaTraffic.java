package poppynotch.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import poppynotch.config.Tenant;
import poppynotch.pool.QuotaTolerance;

/**
 * The requests of one tenant at all edges of a {@link SimulatedFleet}, and a measurement of the
 * tokens granted in any window of time, which its quota limits. Rate, burst and tolerance have the
 * size of real deployments.
 */
final class QuotaTraffic {

    private static final long STEP_INTERVAL_MS = 20;
    private static final long WINDOW_MS = 8000;

    /** How far the tokens granted in a window may exceed the quota, of which a part is relative. */
    private static final double TOLERATED_EXCESS_TOKENS = 190_000;

    private static final double TOLERATED_EXCESS_FRACTION = 0.1;

    static final double RATE_TOKENS_PER_S = 100_000;
    private static final double BURST_TOKENS = 160_000;
    private static final int MAX_REQUEST_TOKENS = 4000;

    /** A granted request. */
    private record Grant(long timeMs, long tokens) {}

    private final Optional<Tenant> tenant;
    private final double demandTokensPerS;

    /** The grants of the window that ends now, and the sum of their tokens. */
    private final Deque<Grant> window = new ArrayDeque<>();

    private long windowTokens;
    private long maxWindowTokens;
    private long totalTokens;
    private long steps;

    private QuotaTraffic(Optional<Tenant> tenant, double demandTokensPerS) {
        this.tenant = tenant;
        this.demandTokensPerS = demandTokensPerS;
    }

    /** No tenant and no requests. */
    static QuotaTraffic none() {
        return new QuotaTraffic(Optional.empty(), 0);
    }

    /** A tenant whose demand is its rate times {@code factor}. */
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

    /** The most tokens that may be granted in any window. */
    static double maxAllowedWindowTokens() {
        double quotaTokens = RATE_TOKENS_PER_S * WINDOW_MS / 1000 + BURST_TOKENS;
        return quotaTokens * (1 + TOLERATED_EXCESS_FRACTION) + TOLERATED_EXCESS_TOKENS;
    }

    /** The most tokens that were granted in a window. */
    long maxWindowTokens() {
        return maxWindowTokens;
    }

    /** How long there were requests, in seconds. */
    double durationS() {
        return steps * STEP_INTERVAL_MS / 1000.0;
    }

    /** All tokens that were granted. */
    long totalTokens() {
        return totalTokens;
    }

    /** Starts the requests, of which edges get uneven shares. */
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
            // A draw below a draw: edges with low numbers get many more requests than others.
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
