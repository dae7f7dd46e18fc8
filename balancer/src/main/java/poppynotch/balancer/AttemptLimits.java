package poppynotch.balancer;

/**
 * What the site permits for attempts.
 *
 * @param maxAttempts the most attempts of one request
 * @param parallelAttempts whether two attempts of a request may be in flight at once
 * @param mayCancel whether attempts may be cancelled
 * @param maxRetryAfterMs the longest cool-down that a rejected client may be given
 * @param connectTimeoutMs after this time without a connection an attempt fails
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
