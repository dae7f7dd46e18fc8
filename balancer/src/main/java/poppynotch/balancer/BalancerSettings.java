package poppynotch.balancer;

import java.util.List;

/** All that a balancer is told when it starts. */
public record BalancerSettings(
        int balancers,
        int ownNumber,
        int ownZone,
        int tier,
        int tiers,
        boolean asksForList,
        boolean weighted,
        double overShareWorth,
        double crossZonePrice,
        List<RequestClass> classes,
        List<Tenant> tenants,
        AttemptLimits limits,
        ServerRules rules) {
    public BalancerSettings {
        Checks.positive("balancers", balancers);
        Checks.notNegative("ownNumber", ownNumber);
        Checks.notNegative("tier", tier);
        Checks.positive("tiers", tiers);
        Checks.notNegative("overShareWorth", overShareWorth);
        Checks.notNegative("crossZonePrice", crossZonePrice);
        Checks.finite("crossZonePrice", crossZonePrice);
        Checks.given("limits", limits);
        Checks.given("rules", rules);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("setting classes is empty: at least one is needed");
        }
    }

    /** The same settings for other classes. */
    public BalancerSettings with(List<RequestClass> others) {
        return new BalancerSettings(
                balancers,
                ownNumber,
                ownZone,
                tier,
                tiers,
                asksForList,
                weighted,
                overShareWorth,
                crossZonePrice,
                others,
                tenants,
                limits,
                rules);
    }
}
