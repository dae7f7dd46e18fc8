package poppynotch.balancer;

/**
 * Reads from each attempt how crowded its server was, and passes that to the {@link
 * ConcurrencyLimiter} and to {@link LocalityRouting}.
 */
final class CongestionMonitor {

    /**
     * A server silent for so many of its usual gaps hangs: at random gaps that is 2 in 100 by
     * chance.
     */
    private static final double HANG_GAPS = 4;

    /** One attempt shows no more pressure than this. */
    private static final double MAX_SAMPLE = 2;

    /** The least time, as a fraction of the latency target, that the pressure is a fraction of. */
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
            server.recordAnswer(nowMs);
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

    /** The time beyond the base time, as a fraction of what the latency target leaves. */
    private static double pressure(CallRecord call, double tookMs) {
        double baseMs = call.latency.baseMs();
        double targetMs = call.requestClass.latencyTargetMs();
        double slackMs = Math.max(targetMs - baseMs, targetMs * MIN_SLACK_FRACTION);
        return Math.max(0, Math.min(MAX_SAMPLE, (tookMs - baseMs) / slackMs));
    }

    /**
     * Guards against a limit that one hung server takes down: a crowded server answers late, a hung
     * one not at all, and fewer calls help only the first. If many are silent, they are crowded
     * after all.
     */
    private boolean isHung(double nowMs, TrackedServer server) {
        return server.answerGapMs > 0
                && nowMs - server.lastAnswerAtMs > HANG_GAPS * server.answerGapMs
                && !outliers.hasSharedCause(AttemptOutcome.TIMED_OUT);
    }
}
