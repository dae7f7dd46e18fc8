package poppynotch.pool;

import poppynotch.config.Tenant;

/**
 * What a deployment bears beyond a tenant's quota in any window, as sidecars learn of each other's
 * grants late.
 *
 * @param over part of what the quota allows in a window
 * @param slackTokens tokens besides, for quotas counted in tokens
 * @param windowMs length of the window
 */
public record QuotaTolerance(double over, double slackTokens, long windowMs) {

    /** Nothing beyond the quota is borne. */
    public static final QuotaTolerance NONE = new QuotaTolerance(0, 0, 0);

    private static final double MS_PER_S = 1000;

    /** By how much a tenant's use may pass its quota, in the quota's unit. */
    double of(Tenant tenant) {
        double quota = tenant.ratePerS() * windowMs / MS_PER_S + tenant.burst();
        return over * quota + (tenant.countsTokens() ? slackTokens : 0);
    }
}
