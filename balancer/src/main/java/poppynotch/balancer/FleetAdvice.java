package poppynotch.balancer;

import java.util.List;
import java.util.Set;

/**
 * Advice to a balancer from the observations of the fleet's other balancers. When it expires it is
 * replaced by {@link #NONE}, and the balancer relies on its own observations.
 *
 * @param untilMs when it expires, on the host's clock
 * @param unhealthy servers to eject: several balancers saw them fail, and others watch for their
 *     recovery
 * @param staged servers with a version that is being rolled out
 * @param stagedFraction the fraction of the clients' calls that goes to staged servers, 0 to 1
 * @param quotaRates by tenant, in the order of the settings: calls per second that this balancer
 *     may admit within the tenant's quota; empty to split each quota evenly between balancers
 */
public record FleetAdvice(
        double untilMs,
        Set<String> unhealthy,
        Set<String> staged,
        double stagedFraction,
        List<Double> quotaRates) {
    /** No advice. */
    public static final FleetAdvice NONE =
            new FleetAdvice(Double.NEGATIVE_INFINITY, Set.of(), Set.of(), 0, List.of());

    public FleetAdvice {
        unhealthy = Set.copyOf(unhealthy);
        staged = Set.copyOf(staged);
        quotaRates = List.copyOf(quotaRates);
        Checks.notNegative("guidance.part", stagedFraction);
        Checks.finite("guidance.part", stagedFraction);
        quotaRates.forEach(
                rate -> {
                    Checks.notNegative("guidance.rates[]", rate);
                    Checks.finite("guidance.rates[]", rate);
                });
    }

    /** Returns a copy that expires at another time. */
    public FleetAdvice validUntil(double newUntilMs) {
        return new FleetAdvice(newUntilMs, unhealthy, staged, stagedFraction, quotaRates);
    }

    /** A tenant's advised rate in calls per second, or the default if there is none. */
    double rateOf(int tenant, double defaultRate) {
        return tenant < quotaRates.size() ? quotaRates.get(tenant) : defaultRate;
    }
}
