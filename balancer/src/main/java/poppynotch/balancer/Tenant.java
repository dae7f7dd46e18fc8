package poppynotch.balancer;

/**
 * A tenant.
 *
 * @param allowancePerSecond its quota in requests per second, over all balancers
 * @param share its share of the service
 */
public record Tenant(String name, double allowancePerSecond, double share) {
    public Tenant {
        Checks.notNegative("tenants[].allowance", allowancePerSecond);
        Checks.finite("tenants[].allowance", allowancePerSecond);
        Checks.notNegative("tenants[].share", share);
    }
}
