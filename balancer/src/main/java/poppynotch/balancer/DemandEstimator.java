package poppynotch.balancer;

/**
 * Estimates how many calls are usually in flight at once, from the base times of the calls that
 * come: what they would take if nothing were crowded.
 */
final class DemandEstimator {

    /** The usual number of calls at once is learned over this many refill intervals. */
    private static final double MEMORY_INTERVALS = 200;

    /** Weight of the first interval, which is all that is known then. */
    private static final double FIRST_GAIN = 0.1;

    /** Base times of the calls since the last update. */
    private double demandMs;

    private double lastUpdateMs;
    private double usualCalls;

    void recordCall(double baseMs) {
        demandMs += baseMs;
    }

    /**
     * Takes in the calls since the last update. Returns what fraction of the memory the time since
     * then is, up to 1.
     */
    double update(double nowMs, double refillIntervalMs) {
        double elapsedMs = nowMs - lastUpdateMs;
        lastUpdateMs = nowMs;
        double callsAtOnce = demandMs / Math.max(elapsedMs, 1);
        demandMs = 0;
        double intervals = Math.min(elapsedMs / refillIntervalMs, MEMORY_INTERVALS);
        double elapsedFraction = intervals / MEMORY_INTERVALS;
        // A sudden flood must not pass for usual: it counts for twice the usual at most.
        double bounded = usualCalls == 0 ? callsAtOnce : Math.min(callsAtOnce, 2 * usualCalls + 1);
        usualCalls += (usualCalls == 0 ? FIRST_GAIN : elapsedFraction) * (bounded - usualCalls);
        return elapsedFraction;
    }

    double usualCalls() {
        return usualCalls;
    }
}
