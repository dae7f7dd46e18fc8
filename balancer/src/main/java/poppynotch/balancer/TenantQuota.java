package poppynotch.balancer;

import java.util.List;

/**
 * A token bucket for each tenant: this balancer's part of the tenant's allowance. It is refilled at
 * the rate that the fleet advises, or else at an even part of the allowance in the settings.
 */
final class TenantQuota {

    /** The size of a bucket in seconds of its rate, as clients send bursts. */
    private static final double MAX_SAVED_SECONDS = 2;

    private List<Tenant> tenants;

    /**
     * By tenant, in the order of the settings: the tokens left, and when they were last refilled.
     */
    private double[] tokens;

    private double[] filledAtMs;

    /** Applies the tenants of new settings; the buckets are reset only if the tenants differ. */
    void useTenants(List<Tenant> current) {
        if (!current.equals(tenants)) {
            tokens = new double[current.size()];
            filledAtMs = new double[current.size()];
        }
        tenants = current;
    }

    /** Takes one token of a tenant; returns false if none is left. */
    boolean tryAcquire(double nowMs, int tenant, FleetAdvice advice, int balancers) {
        if (tenant >= tokens.length) {
            return true;
        }
        double evenRate = tenants.get(tenant).allowancePerSecond() / balancers;
        double ratePerMs = advice.rateOf(tenant, evenRate) / 1000;
        double maxTokens = 1 + MAX_SAVED_SECONDS * 1000 * ratePerMs;
        boolean isNew = filledAtMs[tenant] == 0;
        tokens[tenant] =
                isNew
                        ? maxTokens
                        : Math.min(
                                maxTokens,
                                tokens[tenant] + ratePerMs * (nowMs - filledAtMs[tenant]));
        filledAtMs[tenant] = nowMs;
        if (tokens[tenant] < 1) {
            return false;
        }
        tokens[tenant]--;
        return true;
    }
}
