package poppynotch.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operators' configuration, validated and indexed for look-ups. Immutable and
 * thread-safe. Created by {@link ConfigReader}.
 */
public final class FleetConfig {

    private final long generation;
    private final List<Route> routes;
    private final Map<String, Backend> backends;
    private final Map<String, Tenant> tenants;
    private final Map<String, Tenant> tenantByApiKey = new HashMap<>();
    private final Map<String, Map<String, Route>> routesByHostAndPrefix = new HashMap<>();
    private final ClientLimits limits;

    FleetConfig(
            long generation,
            List<Route> routes,
            Map<String, Backend> backends,
            Map<String, Tenant> tenants,
            ClientLimits limits) {
        this.generation = generation;
        this.routes = List.copyOf(routes);
        this.backends = Map.copyOf(backends);
        this.tenants = Map.copyOf(tenants);
        this.limits = limits;
        tenants.values()
                .forEach(
                        tenant -> tenant.apiKeys().forEach(key -> tenantByApiKey.put(key, tenant)));
        routes.forEach(
                route ->
                        routesByHostAndPrefix
                                .computeIfAbsent(route.authority(), host -> new HashMap<>())
                                .put(route.pathPrefix(), route));
    }

    /** The version of the configuration, which increases with each change. */
    public long generation() {
        return generation;
    }

    /** All routes, in the order of the configuration. */
    public List<Route> routes() {
        return routes;
    }

    /** The services that routes refer to, by name. */
    public Map<String, Backend> backends() {
        return backends;
    }

    /** The tenants, by name. */
    public Map<String, Tenant> tenants() {
        return tenants;
    }

    /** The limits of client requests and connections. */
    public ClientLimits limits() {
        return limits;
    }

    /** The tenant that an API key belongs to. */
    public Optional<Tenant> tenantByApiKey(String key) {
        return Optional.ofNullable(tenantByApiKey.get(key));
    }

    /**
     * Finds the route of a host with the longest matching path prefix. Prefixes end with a slash.
     *
     * @param host host name in lower case, without a port
     */
    public Optional<Route> findRoute(String host, String path) {
        Map<String, Route> routesByPrefix = routesByHostAndPrefix.get(host);
        if (routesByPrefix == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route route = routesByPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
