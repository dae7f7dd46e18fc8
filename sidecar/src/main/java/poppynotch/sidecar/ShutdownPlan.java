package poppynotch.sidecar;

import java.util.List;
import poppynotch.balancer.RequestClass;

/**
 * How long a sidecar keeps serving after SIGTERM, derived from its request classes. Immutable.
 *
 * @param timeoutMs the time after SIGTERM by which the last request must be answered
 * @param closeAfterResponseDelayMs the time after SIGTERM from which each response is the last on
 *     its connection
 */
record ShutdownPlan(double timeoutMs, double closeAfterResponseDelayMs) {

    /**
     * How long connections are accepted after a drain has begun: clients open new ones for up to
     * 0.4 s.
     */
    static final int LATE_CONNECTION_MS = 600;

    /**
     * SIGKILL follows SIGTERM at the earliest after the longest deadline, of which at most 3 s
     * count, plus this time.
     */
    private static final double KILL_AFTER_MS = 700;

    private static final double MAX_COUNTED_DEADLINE_MS = 3000;

    /** Reserve before SIGKILL; all requests must be answered before it. */
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
