package poppynotch.pool;

/**
 * The load that a server reported in the headers of its latest response. A report expires after a
 * short time.
 *
 * <p>Owned by a {@link PooledServer}; confined to the edge's event loop.
 */
final class ReportedLoad {

    private static final long MAX_AGE_MS = 1500;

    private int running;
    private int waiting;

    /** The number of this edge's requests that were in flight when the report arrived. */
    private int ownInFlight;

    /** The time at which the report arrived; the initial value is long ago, without overflow. */
    private long reportedMs = Long.MIN_VALUE / 2;

    /** Records a report, and the number of this edge's requests that are in flight. */
    void update(long nowMs, int runningRequests, int waitingRequests, int ownRequestsInFlight) {
        reportedMs = nowMs;
        running = runningRequests;
        waiting = waitingRequests;
        ownInFlight = ownRequestsInFlight;
    }

    /** The number of requests of other edges that run on the server; 0 without a recent report. */
    int othersRunning(long nowMs) {
        return isStale(nowMs) ? 0 : Math.max(0, running - ownInFlight);
    }

    /** The number of requests that are queued at the server; 0 without a recent report. */
    int waiting(long nowMs) {
        return isStale(nowMs) ? 0 : waiting;
    }

    private boolean isStale(long nowMs) {
        return nowMs - reportedMs > MAX_AGE_MS;
    }
}
