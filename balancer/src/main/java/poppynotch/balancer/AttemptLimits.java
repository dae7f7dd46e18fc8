package poppynotch.balancer;

/** What the site permits. */
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
