package poppynotch.settings;

/**
 * The deployment's figures that the program heeds, in the units of their names.
 *
 * @param retryBudgetRatio repeats allowed for each request, over all edges
 * @param retryBudgetSlack repeats allowed besides, over all edges, in each window
 * @param quotaSlackTokens tokens that all edges together may pass a quota by
 */
public record Bounds(
        long contactMs,
        long ackMs,
        long drainMs,
        long graceMs,
        long configMs,
        double retryBudgetRatio,
        double retryBudgetSlack,
        long budgetWindowMs,
        double quotaSlackTokens,
        long quotaWindowMs) {}
