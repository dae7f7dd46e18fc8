package poppynotch.sidecar;

import java.util.List;
import poppynotch.balancer.RequestClass;

/**
 * How long a sidecar goes on after SIGTERM, by the classes of requests that it serves. It is
 * immutable.
 *
 * @param timeoutMs when the last request must be answered
 * @param closeAfterResponseDelayMs when each response becomes the last on its connection
 */
record ShutdownPlan(double timeoutMs, double closeAfterResponseDelayMs) {

    /**
     * New connections still come for 0.4 s after a drain began at most: until then they are
     * welcome.
     */
    static final int LATE_CONNECTION_MS = 600;

    /**
     * SIGKILL comes no sooner than this after the longest deadline, which counts as 3 s at most.
     */
    private static final double KILL_AFTER_MS = 700;

    private static final double MAX_COUNTED_DEADLINE_MS = 3000;

    /** Kept free before SIGKILL: all must be answered by then. */
    private static final double KILL_MARGIN_MS = 200;

    static ShutdownPlan of(List<RequestClass> classes) {
        double timeoutMs =
                Math.min(MAX_COUNTED_DEADLINE_MS, longestDeadlineMs(classes))
                        + KILL_AFTER_MS
                        - KILL_MARGIN_MS;
        // Most responses take less than half of the latency target.
        double longestTargetMs =
                classes.stream().mapToDouble(RequestClass::latencyTargetMs).max().orElse(0);
        return new ShutdownPlan(
                timeoutMs, Math.max(LATE_CONNECTION_MS, timeoutMs - longestTargetMs / 2));
    }

    /** The longest deadline of these classes, or 0 without any. */
    static double longestDeadlineMs(List<RequestClass> classes) {
        return classes.stream().mapToDouble(RequestClass::deadlineMs).max().orElse(0);
    }
}
