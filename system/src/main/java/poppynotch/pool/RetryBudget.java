package poppynotch.pool;

/**
 * One edge's share of the retries that the whole fleet may send to one service. Each first attempt
 * adds a fraction of a retry to the budget, and time adds an even share of the fleet's slack. Both
 * are set below the deployment's limit, so that all edges together stay within it.
 *
 * <p>Confined to the edge's event loop; not thread-safe. Times are in ms of the caller's monotonic
 * clock.
 */
public final class RetryBudget {

    /** The fraction of the permitted ratio, and of the slack, that is used. */
    private static final double SAFETY_FRACTION = 0.6;

    private static final double MIN_CAPACITY = 1;

    /** The value of {@link #refilledMs} before the first retry, for which no slack is added. */
    private static final long NEVER = Long.MIN_VALUE;

    private final double ratio;
    private final double slack;
    private final double windowMs;

    /** The number of retries that may be sent now. */
    private double balance;

    /** The maximum balance, which is also the slack that is added in each window. */
    private double capacity;

    private long refilledMs = NEVER;

    /**
     * Creates the budget of the only edge of a fleet; see {@link #setEdgeCount}.
     *
     * @param ratio retries permitted for each request, over all edges
     * @param slack further retries permitted in each window, over all edges
     * @param windowMs the length of the window
     */
    public RetryBudget(double ratio, double slack, long windowMs) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMs = windowMs;
        setEdgeCount(1, true);
    }

    /**
     * Sets the number of edges that share the slack.
     *
     * @param justStarted whether this edge has just started. It then begins with a single retry, so
     *     that an edge gains no further retries by restarting repeatedly.
     */
    public void setEdgeCount(int edgeCount, boolean justStarted) {
        capacity = Math.max(MIN_CAPACITY, SAFETY_FRACTION / 2 * slack / Math.max(1, edgeCount));
        balance = justStarted ? MIN_CAPACITY : Math.min(balance, capacity);
    }

    /** Records the first attempt of a client's request. */
    public void onFirstAttempt() {
        balance = Math.min(capacity, balance + SAFETY_FRACTION * ratio);
    }

    /** Takes one retry from the budget. Returns false if none is left. */
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
