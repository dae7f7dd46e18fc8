package poppynotch.sidecar;

/**
 * The only clock of a sidecar, in milliseconds. It follows the JVM's monotonic clock, so it never
 * goes back, and is set once to Unix time, in which discovery gives the start times of endpoints.
 * It may be used by any thread.
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
