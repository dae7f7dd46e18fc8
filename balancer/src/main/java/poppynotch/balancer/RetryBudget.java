package poppynotch.balancer;

/**
 * A token bucket for retries, filled by requests: retries feed on themselves when all is slow, and
 * multiply from tier to tier.
 */
final class RetryBudget {

    /** Retries allowed for each request: above it retries of several tiers would multiply. */
    private static final double RETRIES_PER_REQUEST = 0.2;

    /** Unused retries that may be saved up, for the moment when several servers die at once. */
    private static final double MAX_SAVED_RETRIES = 10;

    private double tokens = MAX_SAVED_RETRIES;

    void onRequest() {
        tokens = Math.min(MAX_SAVED_RETRIES, tokens + RETRIES_PER_REQUEST);
    }

    boolean isExhausted() {
        return tokens < 1;
    }

    /** Takes one retry out of a budget that is not exhausted. */
    void withdraw() {
        tokens--;
    }
}
