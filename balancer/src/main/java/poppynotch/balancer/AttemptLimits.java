package poppynotch.balancer;

/**
 * Limits on the attempts of a request.
 *
 * @param maxAttempts the maximum number of attempts of one request
 * @param parallelAttempts whether two attempts of a request may be in flight at once
 * @param mayCancel whether attempts may be cancelled
 * @param maxRetryAfterMs the longest cool-down that a rejection may ask of a client
 * @param connectTimeoutMs the time after which an attempt without a connection fails
 */
public record AttemptLimits(
        int maxAttempts,
        boolean parallelAttempts,
        boolean mayCancel,
        double maxRetryAfterMs,
        double connectTimeoutMs) {
    public AttemptLimits {
        Checks.positive("limits.tries", maxAttempts);
        Checks.finite("limits.maxCoolDown", maxRetryAfterMs);
        Checks.finite("limits.connectTimeout", connectTimeoutMs);
        Checks.notNegative("limits.maxCoolDown", maxRetryAfterMs);
        Checks.positive("limits.connectTimeout", connectTimeoutMs);
    }
}
