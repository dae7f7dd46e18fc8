package poppynotch.balancer;

/**
 * Estimates the slowness of each server, as a multiple of the typical latency, and raises the ranks
 * of the slots of slow servers: they get fewer calls.
 */
final class ServerCostEstimator {

    /** Weight of a new attempt in a server's slowness. */
    private static final double SLOWNESS_GAIN = 1.0 / 12;

    /** Upper bound of the slowness in one attempt: a higher value would rest on too few samples. */
    private static final double MAX_SLOWNESS = 8;

    /** Lower bound of a fast server's cost, for the same reason. */
    private static final double MIN_COST = 0.6;

    /** Ranks are recomputed only if a server's cost has changed by more than this factor. */
    private static final double MIN_COST_CHANGE = 1.1;

    private final SlotPool pool;
    private final SlowStart slowStart;

    ServerCostEstimator(SlotPool pool, SlowStart slowStart) {
        this.pool = pool;
        this.slowStart = slowStart;
    }

    /** Records the duration of an attempt, unless it is atypical as the server is warming up. */
    void recordAttempt(double nowMs, TrackedServer server, double tookMs, double typicalMs) {
        if (slowStart.isWarm(nowMs, server)) {
            server.slowness +=
                    SLOWNESS_GAIN * (Math.min(tookMs / typicalMs, MAX_SLOWNESS) - server.slowness);
            updateRanksIfChanged(nowMs, server);
        }
    }

    /** Recomputes the ranks of a server's slots if its cost has changed far enough. */
    void updateRanksIfChanged(double nowMs, TrackedServer server) {
        double cost = cost(server);
        boolean isClose =
                cost < server.cost * MIN_COST_CHANGE && cost > server.cost / MIN_COST_CHANGE;
        if (!isClose) {
            updateRanks(nowMs, server);
        }
    }

    /** Recomputes the ranks of a server's slots. */
    void updateRanks(double nowMs, TrackedServer server) {
        server.cost = cost(server);
        pool.updateRanksOf(nowMs, server);
    }

    private static double cost(TrackedServer server) {
        return Math.max(MIN_COST, server.slowness);
    }
}
