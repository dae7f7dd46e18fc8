package poppynotch.pool;

/**
 * The number of edges that share a resource, with a delayed decrease. A higher count takes effect
 * at once. A lower one takes effect only after it has been reported for some time: a control-plane
 * replica that has just started knows few of the edges, and an edge that the control plane has lost
 * contact with may still serve and use its share.
 *
 * <p>Confined to the edge's event loop; not thread-safe. Times are in ms of the caller's monotonic
 * clock.
 */
public final class HysteresisCount {

    /** The time for which the share of an edge out of contact stays reserved for that edge. */
    static final long DECREASE_DELAY_MS = 60_000;

    /** The value of {@link #lowerSinceMs} while the reported count is not lower than the count. */
    private static final long NOT_LOWER = Long.MAX_VALUE;

    private int count = 1;
    private long lowerSinceMs = NOT_LOWER;

    /**
     * Records a count that the control plane has reported.
     *
     * @return the count in effect from now on
     */
    public int update(long nowMs, int reportedCount) {
        if (reportedCount >= count) {
            count = reportedCount;
            lowerSinceMs = NOT_LOWER;
        } else if (lowerSinceMs == NOT_LOWER) {
            lowerSinceMs = nowMs;
        } else if (nowMs - lowerSinceMs >= DECREASE_DELAY_MS) {
            count = reportedCount;
            lowerSinceMs = NOT_LOWER;
        }
        return count;
    }

    /** The count in effect. */
    public int count() {
        return count;
    }
}
