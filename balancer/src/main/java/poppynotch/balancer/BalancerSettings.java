package poppynotch.balancer;

import java.util.List;

/**
 * The settings of a balancer.
 *
 * @param balancers the number of balancers of this tier, which share the servers
 * @param ownIndex the index of this balancer among them, from 0
 * @param ownZone the zone of this balancer
 * @param tier its tier: tier 0 receives requests from clients, others from the tier above
 * @param tiers the number of tiers
 * @param mustRequestList whether it must request the server list; else the list is pushed
 * @param weighted whether the weights of servers are used
 * @param overQuotaValue the fraction of its value that a request beyond its tenant's quota has
 * @param crossZoneCost the cost of a call to another zone, as a fraction of a request's value
 */
public record BalancerSettings(
        int balancers,
        int ownIndex,
        int ownZone,
        int tier,
        int tiers,
        boolean mustRequestList,
        boolean weighted,
        double overQuotaValue,
        double crossZoneCost,
        List<RequestClass> classes,
        List<Tenant> tenants,
        AttemptLimits limits,
        ServerRules rules) {
    public BalancerSettings {
        Checks.positive("balancers", balancers);
        Checks.notNegative("ownNumber", ownIndex);
        Checks.notNegative("tier", tier);
        Checks.positive("tiers", tiers);
        Checks.notNegative("overShareWorth", overQuotaValue);
        Checks.notNegative("crossZonePrice", crossZoneCost);
        Checks.finite("crossZonePrice", crossZoneCost);
        Checks.notNull("limits", limits);
        Checks.notNull("rules", rules);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("setting classes is empty: at least one is needed");
        }
    }

    /** Returns a copy with other classes. */
    public BalancerSettings withClasses(List<RequestClass> others) {
        return new BalancerSettings(
                balancers,
                ownIndex,
                ownZone,
                tier,
                tiers,
                mustRequestList,
                weighted,
                overQuotaValue,
                crossZoneCost,
                others,
                tenants,
                limits,
                rules);
    }
}
