package poppynotch.balancer;

import java.util.List;

/**
 * A token bucket for each tenant: this balancer's part of the tenant's allowance. It is filled at
 * the rate that the fleet advises, else at an even part of the allowance in the settings.
 */
final class TenantQuota {

    /** Seconds of an allowance that may be saved up: clients come in bursts. */
    private static final double MAX_SAVED_SECONDS = 2;

    private List<Tenant> tenants;

    /**
     * By tenant, in the order of the settings: requests left, and when they were last filled up.
     */
    private double[] tokens;

    private double[] filledAtMs;

    /**
     * Takes over the tenants of new settings; the buckets start anew only if the tenants differ.
     */
    void useTenants(List<Tenant> current) {
        if (!current.equals(tenants)) {
            tokens = new double[current.size()];
            filledAtMs = new double[current.size()];
        }
        tenants = current;
    }

    /** Uses up one request of a tenant's quota; false if none is left. */
    boolean tryAcquire(double nowMs, int tenant, FleetAdvice advice, int balancers) {
        if (tenant >= tokens.length) {
            return true;
        }
        double evenRate = tenants.get(tenant).allowancePerSecond() / balancers;
        double perMs = advice.rateOf(tenant, evenRate) / 1000;
        double maxTokens = 1 + MAX_SAVED_SECONDS * 1000 * perMs;
        boolean isNew = filledAtMs[tenant] == 0;
        tokens[tenant] =
                isNew
                        ? maxTokens
                        : Math.min(
                                maxTokens, tokens[tenant] + perMs * (nowMs - filledAtMs[tenant]));
        filledAtMs[tenant] = nowMs;
        if (tokens[tenant] < 1) {
            return false;
        }
        tokens[tenant]--;
        return true;
    }
}
