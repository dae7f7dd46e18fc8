package poppynotch.balancer;

/**
 * What the site permits for attempts.
 *
 * @param tries the most attempts of one request
 * @param parallelTries whether two attempts of a request may be in flight at once
 * @param cancel whether attempts may be cancelled
 * @param maxCoolDownMs the longest cool-down that a rejected client may be given
 * @param connectTimeoutMs after this time without a connection an attempt fails
 */
public record AttemptLimits(
        int tries,
        boolean parallelTries,
        boolean cancel,
        double maxCoolDownMs,
        double connectTimeoutMs) {
    public AttemptLimits {
        Checks.positive("limits.tries", tries);
        Checks.finite("limits.maxCoolDown", maxCoolDownMs);
        Checks.finite("limits.connectTimeout", connectTimeoutMs);
        Checks.notNegative("limits.maxCoolDown", maxCoolDownMs);
        Checks.positive("limits.connectTimeout", connectTimeoutMs);
    }
}
