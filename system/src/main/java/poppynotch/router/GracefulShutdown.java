package poppynotch.router;

/**
 * The phases of an edge's graceful shutdown: running; draining, in which each client connection is
 * closed after its next response; and, after the linger time, rejecting new requests and closing
 * idle connections. Times are passed in by the caller. Used on the edge's event loop only.
 */
final class GracefulShutdown {

    /** After SIGTERM the platform sends new connections for up to two more readiness probes. */
    static final long LINGER_MS = 2600;

    /** Time before SIGKILL at which the remaining requests are abandoned. */
    private static final long KILL_MARGIN_MS = 300;

    private final long graceMs;
    private boolean draining;
    private long drainingSinceMs;

    /**
     * Creates the state of a running process.
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

    /** Whether connections are closed after their next response. */
    boolean isDraining() {
        return draining;
    }

    /**
     * Whether the linger time has passed. From then on, new requests are rejected, as they might
     * not complete in time, and idle connections are closed.
     */
    boolean isLingerOver(long nowMs) {
        return draining && nowMs - drainingSinceMs >= LINGER_MS;
    }

    /** Whether the process must exit now, regardless of requests in flight. */
    boolean isGraceOver(long nowMs) {
        return draining && nowMs - drainingSinceMs >= graceMs - KILL_MARGIN_MS;
    }
}
