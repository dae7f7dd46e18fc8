package poppynotch.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the operator's configuration, checked and ready for look-ups. */
public final class FleetConfig {

    private final long generation;
    private final List<Route> routes;
    private final Map<String, Backend> backends;
    private final Map<String, Tenant> tenants;
    private final Map<String, Tenant> tenantByKey = new HashMap<>();
    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
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
                .forEach(tenant -> tenant.apiKeys().forEach(key -> tenantByKey.put(key, tenant)));
        routes.forEach(
                route ->
                        routesByHost
                                .computeIfAbsent(route.authority(), host -> new HashMap<>())
                                .put(route.pathPrefix(), route));
    }

    public long generation() {
        return generation;
    }

    public List<Route> routes() {
        return routes;
    }

    public Map<String, Backend> backends() {
        return backends;
    }

    public Map<String, Tenant> tenants() {
        return tenants;
    }

    public ClientLimits limits() {
        return limits;
    }

    /** The tenant that holds a key. */
    public Optional<Tenant> tenantOfKey(String key) {
        return Optional.ofNullable(tenantByKey.get(key));
    }

    /**
     * Of a host's routes the one with the longest prefix of the path. Prefixes end with a slash.
     */
    public Optional<Route> route(String host, String path) {
        Map<String, Route> ofHost = routesByHost.get(host);
        if (ofHost == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route route = ofHost.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
