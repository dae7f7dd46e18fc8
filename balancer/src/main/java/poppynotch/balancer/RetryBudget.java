package poppynotch.balancer;

/**
 * A token bucket for retries, refilled by requests. Without it, retries of slow calls would cause
 * further retries, and would multiply from tier to tier.
 */
final class RetryBudget {

    /** Retries earned by each request: with more, retries of several tiers would multiply. */
    private static final double RETRIES_PER_REQUEST = 0.2;

    /** The most unused retries that are kept, for the moment when several servers fail at once. */
    private static final double MAX_SAVED_RETRIES = 10;

    private double tokens = MAX_SAVED_RETRIES;

    void onRequest() {
        tokens = Math.min(MAX_SAVED_RETRIES, tokens + RETRIES_PER_REQUEST);
    }

    boolean isExhausted() {
        return tokens < 1;
    }

    /** Withdraws one retry from a budget that is not exhausted. */
    void withdraw() {
        tokens--;
    }
}
