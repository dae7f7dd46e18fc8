package poppynotch.sidecar;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/**
 * The log of a sidecar. Warnings and errors are limited to one line per second and event, as one
 * fault may cause thousands; information is not limited. Called on the sidecar's event loop only,
 * except {@link #info}, which any thread may call.
 */
final class RateLimitedLog {

    private static final double MIN_INTERVAL_MS = 1000;

    /** The rate limit for the lines of one event. */
    private static final class LineLimit {
        double nextAllowedMs = Double.NEGATIVE_INFINITY;
        int suppressedCount;
    }

    private final MonotonicClock clock;
    private final PrintStream out;
    private final Map<String, LineLimit> limitsByEvent = new HashMap<>();

    RateLimitedLog(MonotonicClock clock, PrintStream out) {
        this.clock = clock;
        this.out = out;
    }

    /**
     * Logs a warning, unless a line with the same {@code event} was logged within the last second.
     *
     * @param event the event and the key of the value, {@code Event: key}; also the key of the rate
     *     limit
     */
    void warn(String event, Object value) {
        LineLimit limit = limitsByEvent.computeIfAbsent(event, key -> new LineLimit());
        double nowMs = clock.nowMs();
        if (nowMs < limit.nextAllowedMs) {
            limit.suppressedCount++;
            return;
        }
        limit.nextAllowedMs = nowMs + MIN_INTERVAL_MS;
        String suppressed =
                limit.suppressedCount == 0 ? "" : ", suppressedLines=" + limit.suppressedCount;
        out.println("poppynotch: " + event + "=" + value + suppressed);
        limit.suppressedCount = 0;
    }

    /** Logs an unexpected exception with its origin; limited in the same way as {@link #warn}. */
    void error(String event, Throwable e) {
        StackTraceElement[] trace = e.getStackTrace();
        String origin = "";
        if (trace.length > 0) {
            origin = " at " + trace[0] + (trace.length == 1 ? "" : ", " + trace[1]);
        }
        warn(event, e + origin);
    }

    /** Logs a line without a limit. */
    void info(String line) {
        out.println("poppynotch: " + line);
    }
}
