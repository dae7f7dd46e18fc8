package poppynotch.settings;

/**
 * Limits that the deployment sets for the whole fleet, in the section {@code Bounds} of the
 * settings.
 *
 * @param graceMs time from SIGTERM until the platform sends SIGKILL
 * @param retryBudgetRatio retries permitted per request, over all edges
 * @param retryBudgetSlack additional retries permitted in each window, over all edges
 * @param retryBudgetWindowMs length of the retry budget's window
 * @param quotaOverageFraction tolerated usage beyond a quota over all edges, as a fraction of the
 *     amount that the quota allows in a window
 * @param quotaSlackTokens additional tolerated usage beyond a quota in each window, in tokens
 * @param quotaWindowMs length of the quota's window
 * @param exposureShare the fraction of a service's requests that may be sent to an unproven
 *     version, over all edges
 * @param exposureSlackRequests additional requests that may be sent to an unproven version, over
 *     all edges
 */
public record DeploymentLimits(
        long graceMs,
        double retryBudgetRatio,
        double retryBudgetSlack,
        long retryBudgetWindowMs,
        double quotaOverageFraction,
        double quotaSlackTokens,
        long quotaWindowMs,
        double exposureShare,
        double exposureSlackRequests) {}
