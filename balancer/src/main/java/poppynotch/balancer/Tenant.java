package poppynotch.balancer;

/** A tenant: its allowance a second over all balancers, and its share of the service. */
public record Tenant(String name, double allowancePerSecond, double share) {
    public Tenant {
        Checks.notNegative("tenants[].allowance", allowancePerSecond);
        Checks.finite("tenants[].allowance", allowancePerSecond);
        Checks.notNegative("tenants[].share", share);
    }
}
