package poppynotch.balancer;

/**
 * Decides how long an attempt may take, and whether a call gets another attempt after one ended.
 */
final class RetryPolicy {

    /** The timeout of an attempt that can be retried, in tail latencies of its class. */
    private static final double TIMEOUT_PER_TAIL_LATENCY = 1.5;

    private final CurrentSettings settings;
    private final RetryBudget budget;

    RetryPolicy(CurrentSettings settings, RetryBudget budget) {
        this.settings = settings;
        this.budget = budget;
    }

    /**
     * The timeout of a call's next attempt. Where possible it leaves time for a retry, so that a
     * hung server does not use up all of the call's time.
     */
    double attemptTimeoutMs(double nowMs, CallRecord call) {
        double leftMs = call.usefulUntilMs - nowMs;
        boolean mayRetry =
                call.requestClass.idempotency() != Idempotency.ONCE
                        && call.attempts.size() + 1 < call.maxAttempts;
        if (!mayRetry) {
            return leftMs;
        }
        double shortTimeoutMs =
                Math.max(
                        call.latency.tailMs() * TIMEOUT_PER_TAIL_LATENCY,
                        settings.get().limits().connectTimeoutMs());
        return leftMs - shortTimeoutMs > call.latency.typicalMs() ? shortTimeoutMs : leftMs;
    }

    /** Whether a call gets another attempt now; if so, withdraws it from the budget. */
    boolean tryRetry(double nowMs, CallRecord call, AttemptOutcome lastOutcome) {
        if (call.attemptsInFlight > 0
                || call.attempts.size() >= call.maxAttempts
                || lastOutcome == AttemptOutcome.IGNORED
                || call.usefulUntilMs - nowMs < call.latency.typicalMs() / 2
                || budget.isExhausted()
                || !mayRunAgain(nowMs, call)) {
            return false;
        }
        budget.withdraw();
        return true;
    }

    private static boolean mayRunAgain(double nowMs, CallRecord call) {
        if (call.firstPossibleRun == null) {
            return true;
        }
        return switch (call.requestClass.idempotency()) {
            case REPEATABLE -> true;
            case BY_KEY ->
                    nowMs - call.firstPossibleRun.sentAtMs < call.requestClass.repeatableForMs();
            case ONCE -> false;
        };
    }
}
