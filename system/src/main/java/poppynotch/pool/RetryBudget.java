package poppynotch.pool;

/**
 * One edge's share of the retries that the whole fleet may send to one service. The budget is
 * filled by a fraction of each first attempt and by an even share of the fleet's slack over time;
 * both are set below the deployment's limit, so that all edges together stay within it.
 *
 * <p>Used by one edge, on its event loop; not thread safe. Times are in ms of the caller's
 * monotonic clock.
 */
public final class RetryBudget {

    /** The fraction of the permitted ratio, and of the slack, that is spent. */
    private static final double SAFETY_FRACTION = 0.6;

    private static final double MIN_CAPACITY = 1;

    /** Before the first retry: no time has passed for which slack is added. */
    private static final long NEVER = Long.MIN_VALUE;

    private final double ratio;
    private final double slack;
    private final double windowMs;

    /** Retries that may be sent now. */
    private double balance;

    /** The highest balance, which is also the slack that is added in a window. */
    private double capacity;

    private long refilledMs = NEVER;

    /**
     * Creates the budget of a fleet of one edge; see {@link #setEdgeCount}.
     *
     * @param ratio retries permitted for each request, over all edges
     * @param slack further retries permitted in each window, over all edges
     * @param windowMs length of the window
     */
    public RetryBudget(double ratio, double slack, long windowMs) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMs = windowMs;
        setEdgeCount(1, true);
    }

    /**
     * Sets how many edges share the slack.
     *
     * @param justStarted whether this edge has just started: it then begins with a single retry, so
     *     that an edge that restarts again and again gains none
     */
    public void setEdgeCount(int edgeCount, boolean justStarted) {
        capacity = Math.max(MIN_CAPACITY, SAFETY_FRACTION / 2 * slack / Math.max(1, edgeCount));
        balance = justStarted ? MIN_CAPACITY : Math.min(balance, capacity);
    }

    /** Records that a client's request is sent for the first time. */
    public void onFirstAttempt() {
        balance = Math.min(capacity, balance + SAFETY_FRACTION * ratio);
    }

    /** Takes one retry from the budget; false if none is left. */
    public boolean trySpend(long nowMs) {
        if (refilledMs != NEVER) {
            balance = Math.min(capacity, balance + capacity * (nowMs - refilledMs) / windowMs);
        }
        refilledMs = nowMs;
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
