package poppynotch.router;

/**
 * For how long an idle connection is trusted to be still open at the other end. Some servers drop
 * idle connections earlier than they say, and what is sent on one then is reset; each such reset
 * shortens the time, which grows back slowly. It is told the time.
 */
final class IdleConnectionPolicy {

    /** A reset so soon after the last use is not for idleness. */
    private static final long LEAST_IDLE_MS = 20;

    private static final double CUT = 0.6;
    private static final double REGAIN_PER_S = 1.02;
    private static final double MS_PER_S = 1000;

    private double trustedMs = Double.MAX_VALUE;
    private long cutMs;

    /** The time at a moment, in ms. */
    double trustedMs(long nowMs) {
        return trustedMs == Double.MAX_VALUE
                ? trustedMs
                : trustedMs * Math.pow(REGAIN_PER_S, (nowMs - cutMs) / MS_PER_S);
    }

    /** A connection that was idle for so long was reset when something was sent on it. */
    void droppedAfter(long nowMs, long idleMs) {
        if (idleMs >= LEAST_IDLE_MS && CUT * idleMs < trustedMs(nowMs)) {
            trustedMs = CUT * idleMs;
            cutMs = nowMs;
        }
    }
}
