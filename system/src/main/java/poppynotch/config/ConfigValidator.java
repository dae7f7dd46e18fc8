package poppynotch.config;

import static poppynotch.config.InvalidConfigException.require;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Validates constraints of a configuration, including those between several members. */
final class ConfigValidator {

    private ConfigValidator() {}

    /** Checks each route's timeout and backends, and that no two routes match the same requests. */
    static void checkRoutes(List<Route> routes, Map<String, Backend> backends) {
        Set<String> hostsAndPrefixes = new HashSet<>();
        for (Route route : routes) {
            require(
                    hostsAndPrefixes.add(route.authority() + route.pathPrefix()),
                    "route " + route.name() + " has the host and prefix of another");
            require(route.timeoutMs() > 0, "route " + route.name() + " has no TimeoutMs");
            checkWeights(route, backends);
        }
    }

    private static void checkWeights(Route route, Map<String, Backend> backends) {
        double sum = 0;
        for (Route.WeightedBackend weighted : route.backends()) {
            require(
                    backends.containsKey(weighted.backend()),
                    "route " + route.name() + " names an unknown backend: " + weighted.backend());
            require(weighted.weight() >= 0, "route " + route.name() + " has a negative Weight");
            sum += weighted.weight();
        }
        require(sum > 0, "the weights of route " + route.name() + " sum to 0");
    }

    /** Checks that each API key belongs to one tenant. */
    static void checkApiKeys(Collection<Tenant> tenants) {
        Map<String, String> tenantByKey = new HashMap<>();
        for (Tenant tenant : tenants) {
            for (String key : tenant.apiKeys()) {
                String other = tenantByKey.put(key, tenant.name());
                require(
                        other == null || other.equals(tenant.name()),
                        "tenants " + other + " and " + tenant.name() + " share a key");
            }
        }
    }
}
