package poppynotch.router;

/**
 * Limits how long a connection may have been idle and still be reused. Some servers close idle
 * connections earlier than they announce, and a request that is then written is reset; each such
 * reset reduces the limit, which recovers slowly. Times are passed in by the caller. Used on the
 * edge's event loop only.
 */
final class IdleConnectionPolicy {

    /** A reset after a shorter idle time has another cause than the idle time. */
    private static final long MIN_IDLE_MS = 20;

    /** A reset reduces the limit to this fraction of the idle time of the reset connection. */
    private static final double REDUCTION_FACTOR = 0.6;

    private static final double GROWTH_FACTOR_PER_S = 1.02;
    private static final double MS_PER_S = 1000;

    private double maxIdleMs = Double.MAX_VALUE;
    private long reducedAtMs;

    /** The longest idle time after which a connection may be reused now. */
    double maxIdleMs(long nowMs) {
        return maxIdleMs == Double.MAX_VALUE
                ? maxIdleMs
                : maxIdleMs * Math.pow(GROWTH_FACTOR_PER_S, (nowMs - reducedAtMs) / MS_PER_S);
    }

    /** Records the reset of a request whose connection had been idle for {@code idleMs}. */
    void onReset(long nowMs, long idleMs) {
        if (idleMs >= MIN_IDLE_MS && REDUCTION_FACTOR * idleMs < maxIdleMs(nowMs)) {
            maxIdleMs = REDUCTION_FACTOR * idleMs;
            reducedAtMs = nowMs;
        }
    }
}
