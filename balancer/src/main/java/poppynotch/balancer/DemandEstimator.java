package poppynotch.balancer;

/**
 * Estimates how many calls are usually in flight at once, from the base latencies of arriving
 * calls: the times that they would take without congestion.
 */
final class DemandEstimator {

    /** The estimate is averaged over this many refill intervals. */
    private static final double AVERAGING_INTERVALS = 200;

    /** Weight of the first interval, when there is no earlier estimate. */
    private static final double FIRST_GAIN = 0.1;

    /** Sum of the base latencies of the calls since the last update. */
    private double demandMs;

    private double lastUpdateMs;
    private double usualCalls;

    void recordCall(double baseMs) {
        demandMs += baseMs;
    }

    /**
     * Updates the estimate with the calls since the last update. Returns the time since then as a
     * fraction of the averaging period, at most 1.
     */
    double update(double nowMs, double refillIntervalMs) {
        double elapsedMs = nowMs - lastUpdateMs;
        lastUpdateMs = nowMs;
        double callsAtOnce = demandMs / Math.max(elapsedMs, 1);
        demandMs = 0;
        double intervals = Math.min(elapsedMs / refillIntervalMs, AVERAGING_INTERVALS);
        double elapsedFraction = intervals / AVERAGING_INTERVALS;
        // A sudden burst is not usual demand: it counts for about twice the estimate at most.
        double bounded = usualCalls == 0 ? callsAtOnce : Math.min(callsAtOnce, 2 * usualCalls + 1);
        usualCalls += (usualCalls == 0 ? FIRST_GAIN : elapsedFraction) * (bounded - usualCalls);
        return elapsedFraction;
    }

    double usualCalls() {
        return usualCalls;
    }
}
