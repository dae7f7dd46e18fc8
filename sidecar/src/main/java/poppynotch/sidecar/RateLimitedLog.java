package poppynotch.sidecar;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/**
 * The log for what goes wrong: a line a second of each kind at most, as trouble comes by the
 * thousand.
 */
final class RateLimitedLog {

    private static final double MIN_INTERVAL_MS = 1000;

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
        LineLimit known = limitsByKind.computeIfAbsent(kind, k -> new LineLimit());
        double now = clock.nowMs();
        if (now < known.nextAllowedMs) {
            known.suppressedCount++;
            return;
        }
        known.nextAllowedMs = now + MIN_INTERVAL_MS;
        out.println(
                "poppynotch: "
                        + kind
                        + ": "
                        + detail
                        + (known.suppressedCount == 0
                                ? ""
                                : " (and " + known.suppressedCount + " more before)"));
        known.suppressedCount = 0;
    }

    /** An exception of our own making: the place it came from is what helps. */
    void error(String kind, Throwable e) {
        StackTraceElement[] trace = e.getStackTrace();
        warn(
                kind,
                e
                        + (trace.length == 0
                                ? ""
                                : " at " + trace[0] + (trace.length == 1 ? "" : ", " + trace[1])));
    }

    /** A line that the decision module wants the operators to see. */
    void info(String line) {
        out.println("poppynotch: " + line);
    }
}
