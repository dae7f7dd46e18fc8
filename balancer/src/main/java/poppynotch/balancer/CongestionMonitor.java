package poppynotch.balancer;

/**
 * Measures the congestion of servers from each attempt, and reports it as a pressure to the {@link
 * ConcurrencyLimiter} and {@link LocalityRouting}.
 */
final class CongestionMonitor {

    /**
     * A server without a success for this many of its usual intervals is hung: with random
     * intervals this happens by chance in 2 of 100 cases.
     */
    private static final double HANG_INTERVALS = 4;

    /** Upper bound of the pressure measured by one attempt. */
    private static final double MAX_SAMPLE = 2;

    /** Lower bound of the slack beyond the base latency, as a fraction of the latency target. */
    private static final double MIN_SLACK_FRACTION = 1.0 / 4;

    private final ConcurrencyLimiter limiter;
    private final LocalityRouting locality;
    private final OutlierDetector outliers;

    CongestionMonitor(
            ConcurrencyLimiter limiter, LocalityRouting locality, OutlierDetector outliers) {
        this.limiter = limiter;
        this.locality = locality;
        this.outliers = outliers;
    }

    void onAttemptEnd(double nowMs, CallRecord call, Attempt attempt, AttemptResult result) {
        TrackedServer server = attempt.slot.server;
        AttemptOutcome outcome = result.outcome();
        if (outcome == AttemptOutcome.OK) {
            server.recordSuccess(nowMs);
        } else if (outcome == AttemptOutcome.TIMED_OUT && isHung(nowMs, server)) {
            return;
        }
        double sample =
                switch (outcome) {
                    case OK, TIMED_OUT -> pressure(call, result.tookMs());
                    case QUEUE_FULL -> 1;
                    default -> limiter.pressure();
                };
        locality.recordPressure(server, sample);
        limiter.recordPressure(nowMs, attempt.sentAtMs, sample, outcome == AttemptOutcome.OK);
    }

    /** The time beyond the base latency, as a fraction of the slack up to the latency target. */
    private static double pressure(CallRecord call, double tookMs) {
        double baseMs = call.latency.baseMs();
        double targetMs = call.requestClass.latencyTargetMs();
        double slackMs = Math.max(targetMs - baseMs, targetMs * MIN_SLACK_FRACTION);
        return Math.max(0, Math.min(MAX_SAMPLE, (tookMs - baseMs) / slackMs));
    }

    /**
     * Prevents one hung server from lowering the limit: fewer calls help an overloaded server,
     * which responds late, but not a hung one, which does not respond at all. If many servers time
     * out, they are taken to be overloaded.
     */
    private boolean isHung(double nowMs, TrackedServer server) {
        return server.successIntervalMs > 0
                && nowMs - server.lastSuccessAtMs > HANG_INTERVALS * server.successIntervalMs
                && !outliers.hasSharedCause(AttemptOutcome.TIMED_OUT);
    }
}
