package poppynotch.balancer;

/**
 * Learns how slow each server is, as a multiple of what is typical, and puts the slots of slow
 * servers back: they get fewer calls.
 */
final class ServerCostEstimator {

    /** Weight of a new attempt in a server's slowness. */
    private static final double SLOWNESS_GAIN = 1.0 / 12;

    /** One attempt counts for no more than this: more would rest on too few samples. */
    private static final double MAX_SLOWNESS = 8;

    /** A quick server's cost is no lower than this, for the same reason. */
    private static final double MIN_COST = 0.6;

    /** Ranks are worked out anew only when a server's cost has moved by more than this factor. */
    private static final double MIN_COST_CHANGE = 1.1;

    private final SlotPool pool;
    private final SlowStart slowStart;

    ServerCostEstimator(SlotPool pool, SlowStart slowStart) {
        this.pool = pool;
        this.slowStart = slowStart;
    }

    /** Takes in how long an attempt took. That of a server that is warming up tells nothing. */
    void recordAttempt(double nowMs, TrackedServer server, double tookMs, double typicalMs) {
        if (slowStart.isWarm(nowMs, server)) {
            server.slowness +=
                    SLOWNESS_GAIN * (Math.min(tookMs / typicalMs, MAX_SLOWNESS) - server.slowness);
            updateRanksIfMoved(nowMs, server);
        }
    }

    /** Ranks a server's slots anew if its cost has moved far enough. */
    void updateRanksIfMoved(double nowMs, TrackedServer server) {
        double cost = cost(server);
        boolean isClose =
                cost < server.cost * MIN_COST_CHANGE && cost > server.cost / MIN_COST_CHANGE;
        if (!isClose) {
            updateRanks(nowMs, server);
        }
    }

    /** Ranks a server's slots anew. */
    void updateRanks(double nowMs, TrackedServer server) {
        server.cost = cost(server);
        pool.updateRanksOf(nowMs, server);
    }

    private static double cost(TrackedServer server) {
        return Math.max(MIN_COST, server.slowness);
    }
}
