package poppynotch.sidecar;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/**
 * The log of a sidecar. Warnings and errors are limited to one line a second of each kind, as
 * faults come by the thousand; information is not limited. It is called on the sidecar's event loop
 * only, but for {@link #info}, which any thread may call.
 */
final class RateLimitedLog {

    private static final double MIN_INTERVAL_MS = 1000;

    /** When the next line of one kind may be written. */
    private static final class LineLimit {
        double nextAllowedMs = Double.NEGATIVE_INFINITY;
        int suppressedCount;
    }

    private final MonotonicClock clock;
    private final PrintStream out;
    private final Map<String, LineLimit> limitsByKind = new HashMap<>();

    RateLimitedLog(MonotonicClock clock, PrintStream out) {
        this.clock = clock;
        this.out = out;
    }

    /** Logs what happened, unless a line of this kind has been logged within the last second. */
    void warn(String kind, Object detail) {
        LineLimit limit = limitsByKind.computeIfAbsent(kind, k -> new LineLimit());
        double nowMs = clock.nowMs();
        if (nowMs < limit.nextAllowedMs) {
            limit.suppressedCount++;
            return;
        }
        limit.nextAllowedMs = nowMs + MIN_INTERVAL_MS;
        String suppressed =
                limit.suppressedCount == 0
                        ? ""
                        : " (and " + limit.suppressedCount + " more before)";
        out.println("poppynotch: " + kind + ": " + detail + suppressed);
        limit.suppressedCount = 0;
    }

    /** Logs an exception that should not happen, with the place that it came from. */
    void error(String kind, Throwable e) {
        StackTraceElement[] trace = e.getStackTrace();
        String origin = "";
        if (trace.length > 0) {
            origin = " at " + trace[0] + (trace.length == 1 ? "" : ", " + trace[1]);
        }
        warn(kind, e + origin);
    }

    /** Logs a line in any case. */
    void info(String line) {
        out.println("poppynotch: " + line);
    }
}
