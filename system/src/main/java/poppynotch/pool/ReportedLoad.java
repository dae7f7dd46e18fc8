package poppynotch.pool;

/**
 * The load that a server reported in the headers of its latest response. It counts for a short time
 * only.
 *
 * <p>Owned by a {@link PooledServer}; used on the edge's event loop.
 */
final class ReportedLoad {

    private static final long MAX_AGE_MS = 1500;

    private int running;
    private int waiting;

    /** Requests of this edge that were in flight when the report arrived. */
    private int ownInFlight;

    /** When the report arrived; the initial value is long ago, without overflow. */
    private long reportedMs = Long.MIN_VALUE / 2;

    /** Records a report, and how many of the running requests are this edge's own. */
    void update(long nowMs, int runningRequests, int waitingRequests, int ownRequestsInFlight) {
        reportedMs = nowMs;
        running = runningRequests;
        waiting = waitingRequests;
        ownInFlight = ownRequestsInFlight;
    }

    /** Requests of other edges that are running on the server. */
    int othersRunning(long nowMs) {
        return isStale(nowMs) ? 0 : Math.max(0, running - ownInFlight);
    }

    /** Requests that are queued at the server. */
    int waiting(long nowMs) {
        return isStale(nowMs) ? 0 : waiting;
    }

    private boolean isStale(long nowMs) {
        return nowMs - reportedMs > MAX_AGE_MS;
    }
}
