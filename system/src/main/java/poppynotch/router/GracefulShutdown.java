package poppynotch.router;

/**
 * The phases of an edge's graceful shutdown: running; draining, with clients sent elsewhere at
 * their next response; and, after a linger time, rejecting new requests and closing connections
 * without a request. It has no clock of its own. Used on the edge's event loop only.
 */
final class GracefulShutdown {

    /** After SIGTERM the platform sends new connections for up to two more of its probes. */
    static final long LINGER_MS = 2600;

    /** What is left of the time before SIGKILL when the last requests are given up. */
    private static final long KILL_MARGIN_MS = 300;

    private final long graceMs;
    private boolean draining;
    private long drainingSinceMs;

    /**
     * A process that is running.
     *
     * @param graceMs time between SIGTERM and SIGKILL
     */
    GracefulShutdown(long graceMs) {
        this.graceMs = graceMs;
    }

    /** Starts draining. */
    void begin(long nowMs) {
        draining = true;
        drainingSinceMs = nowMs;
    }

    /** Whether clients are to go elsewhere: responses close their connections. */
    boolean isDraining() {
        return draining;
    }

    /**
     * Whether the linger time is over. New requests are rejected from then on, as they might not be
     * answered in time, and connections without a request are closed.
     */
    boolean isLingerOver(long nowMs) {
        return draining && nowMs - drainingSinceMs >= LINGER_MS;
    }

    /** Whether the process must end now, whatever is in flight. */
    boolean isGraceOver(long nowMs) {
        return draining && nowMs - drainingSinceMs >= graceMs - KILL_MARGIN_MS;
    }
}
