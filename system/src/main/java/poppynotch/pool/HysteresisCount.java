package poppynotch.pool;

/**
 * How many sidecars share something. A higher count holds at once; a lower one only after it was
 * told for some time, since a core process that has just started knows few of them at first. It is
 * told the time.
 */
public final class HysteresisCount {

    /**
     * So long the share of a sidecar that is not heard of is left to it: it may be cut off from the
     * control plane and serve on.
     */
    static final long HOLD_MS = 60_000;

    private int count = 1;
    private long lowerSinceMs = Long.MAX_VALUE;

    /** A count is told; what holds from now on. */
    public int told(long nowMs, int told) {
        if (told >= count) {
            count = told;
            lowerSinceMs = Long.MAX_VALUE;
        } else if (lowerSinceMs == Long.MAX_VALUE) {
            lowerSinceMs = nowMs;
        } else if (nowMs - lowerSinceMs >= HOLD_MS) {
            count = told;
            lowerSinceMs = Long.MAX_VALUE;
        }
        return count;
    }

    /** What holds. */
    public int count() {
        return count;
    }
}
