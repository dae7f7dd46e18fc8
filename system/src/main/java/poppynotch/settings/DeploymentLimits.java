package poppynotch.settings;

/**
 * The deployment's figures that the program heeds, in the units of their names.
 *
 * @param retryBudgetRatio repeats allowed for each request, over all edges
 * @param retryBudgetSlack repeats allowed besides, over all edges, in each window
 * @param quotaOver part of what a quota allows in a window that all edges together may pass it by
 * @param quotaSlackTokens tokens that they may pass it by besides
 */
public record DeploymentLimits(
        long contactMs,
        long ackMs,
        long drainMs,
        long graceMs,
        long configMs,
        double retryBudgetRatio,
        double retryBudgetSlack,
        long budgetWindowMs,
        double quotaOver,
        double quotaSlackTokens,
        long quotaWindowMs) {}
