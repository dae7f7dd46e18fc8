package poppynotch.sidecar;

/**
 * The one clock of a sidecar, in milliseconds: it runs with the monotonic clock, so it never goes
 * back, and was set once to Unix time, because discovery says in Unix time when an endpoint
 * started. It may be used by any thread.
 */
final class MonotonicClock {

    private static final double NANOS_PER_MS = 1e6;

    private final double startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    /** The time now, in milliseconds since the Unix epoch. */
    double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
}
