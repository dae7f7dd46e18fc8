package poppynotch.balancer;

import java.util.List;

/**
 * The settings of a balancer.
 *
 * @param balancers how many balancers of this tier share the servers
 * @param ownIndex this balancer's number among them, from 0
 * @param ownZone the zone that it runs in
 * @param tier its tier: 0 takes the clients' requests, others those of the tier above
 * @param tiers how many tiers there are
 * @param mustRequestList whether it must ask discovery for the list; else the list is pushed
 * @param weighted whether the servers' weights are to be used
 * @param overQuotaValue the value of a request beyond its tenant's quota, as a fraction
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
        Checks.given("limits", limits);
        Checks.given("rules", rules);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("setting classes is empty: at least one is needed");
        }
    }

    /** The same settings for other classes. */
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
