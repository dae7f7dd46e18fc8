package poppynotch.balancer;

import java.util.List;
import java.util.Set;

/**
 * What the other balancers of a fleet advise. Past its time it counts as {@link #NONE}, and a
 * balancer goes by what it sees itself.
 *
 * @param untilMs when it is too old to be used, on the host's clock
 * @param unhealthy unhealthy servers, to be held back: several balancers saw them fail, and others
 *     watch for their recovery
 * @param staged servers with a version that is being rolled out
 * @param stagedFraction the fraction of the clients' calls that goes to staged servers, 0 to 1
 * @param quotaRates by tenant, in the order of the settings: calls a second that this balancer may
 *     take for within the tenant's quota; empty for an even part each
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

    /** The same advice, valid until another time. */
    public FleetAdvice validUntil(double ms) {
        return new FleetAdvice(ms, unhealthy, staged, stagedFraction, quotaRates);
    }

    /** A tenant's calls a second, or the default where nothing is advised of it. */
    double rateOf(int tenant, double defaultRate) {
        return tenant < quotaRates.size() ? quotaRates.get(tenant) : defaultRate;
    }
}
