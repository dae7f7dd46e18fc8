package poppynotch.pool;

import poppynotch.config.Tenant;

/**
 * The amount by which a deployment lets a tenant's use exceed its quota in any window. Some overage
 * is unavoidable, as edges learn of each other's grants late.
 *
 * @param overageFraction the tolerated overage as a fraction of the quota of a window
 * @param slackTokens further tolerated overage in tokens, for quotas that are counted in tokens
 * @param windowMs the length of the window
 */
public record QuotaTolerance(double overageFraction, double slackTokens, long windowMs) {

    /** No use beyond the quota is tolerated. */
    public static final QuotaTolerance NONE = new QuotaTolerance(0, 0, 0);

    private static final double MS_PER_S = 1000;

    /** The amount by which a tenant's use may exceed its quota in a window, in the quota's unit. */
    double overageOf(Tenant tenant) {
        double quota = tenant.ratePerS() * windowMs / MS_PER_S + tenant.burst();
        return overageFraction * quota + (tenant.countsTokens() ? slackTokens : 0);
    }
}
