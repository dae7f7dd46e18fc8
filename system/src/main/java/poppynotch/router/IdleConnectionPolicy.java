package poppynotch.router;

/**
 * For how long an idle connection to a server is expected to be still open at the other end. Some
 * servers close idle connections earlier than they announce, and a request that is written then is
 * reset; each such reset shortens the time, which grows back slowly. It has no clock of its own.
 * Used on the edge's event loop only.
 */
final class IdleConnectionPolicy {

    /** A reset so soon after the last use has another cause than idleness. */
    private static final long MIN_IDLE_MS = 20;

    /** After a reset, connections are reused for this fraction of the time it was idle for. */
    private static final double REDUCTION_FACTOR = 0.6;

    private static final double GROWTH_FACTOR_PER_S = 1.02;
    private static final double MS_PER_S = 1000;

    private double maxIdleMs = Double.MAX_VALUE;
    private long reducedAtMs;

    /** The longest idle time, in ms, after which a connection is reused at present. */
    double maxIdleMs(long nowMs) {
        return maxIdleMs == Double.MAX_VALUE
                ? maxIdleMs
                : maxIdleMs * Math.pow(GROWTH_FACTOR_PER_S, (nowMs - reducedAtMs) / MS_PER_S);
    }

    /** A request was reset on a connection that had been idle for {@code idleMs} before it. */
    void onReset(long nowMs, long idleMs) {
        if (idleMs >= MIN_IDLE_MS && REDUCTION_FACTOR * idleMs < maxIdleMs(nowMs)) {
            maxIdleMs = REDUCTION_FACTOR * idleMs;
            reducedAtMs = nowMs;
        }
    }
}
