package poppynotch.balancer;

/**
 * Decides how long an attempt may take, and whether a call gets another attempt after one ended.
 */
final class RetryPolicy {

    /** An attempt that can be repeated is given up after this multiple of its class's tail time. */
    private static final double TIMEOUT_PER_TAIL_TIME = 1.5;

    private final CurrentSettings settings;
    private final RetryBudget budget;

    RetryPolicy(CurrentSettings settings, RetryBudget budget) {
        this.settings = settings;
        this.budget = budget;
    }

    /**
     * The time-out of a call's next attempt. A hung server must not eat the whole of a call's time
     * while another could still serve it.
     */
    double attemptTimeoutMs(double nowMs, CallRecord call) {
        double leftMs = call.usefulUntilMs - nowMs;
        boolean mayRetry =
                call.requestClass.idempotency() != Idempotency.ONCE
                        && call.attempts.size() + 1 < call.maxAttempts;
        if (!mayRetry) {
            return leftMs;
        }
        double patienceMs =
                Math.max(
                        call.latency.tailMs() * TIMEOUT_PER_TAIL_TIME,
                        settings.get().limits().connectTimeoutMs());
        return leftMs - patienceMs > call.latency.typicalMs() ? patienceMs : leftMs;
    }

    /** Whether a call gets another attempt now; takes it out of the budget. */
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
