package poppynotch.balancer;

import java.util.List;

/**
 * The settings of a balancer.
 *
 * @param balancers how many balancers of this tier share the servers
 * @param ownNumber this balancer's number among them, from 0
 * @param ownZone the zone that it runs in
 * @param tier its tier: 0 takes the clients' requests, others those of the tier above
 * @param tiers how many tiers there are
 * @param asksForList whether it must ask discovery for the list; else the list is pushed
 * @param weighted whether the servers' weights are to be used
 * @param overShareWorth the value of a request beyond its tenant's quota, as a fraction
 * @param crossZonePrice the cost of a call to another zone, as a fraction of a request's value
 */
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
