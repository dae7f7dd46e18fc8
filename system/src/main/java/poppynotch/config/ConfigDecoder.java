package poppynotch.config;

import static poppynotch.config.JsonMembers.doubleOr;
import static poppynotch.config.JsonMembers.longOr;
import static poppynotch.config.JsonMembers.objectOrEmpty;
import static poppynotch.config.JsonMembers.objects;
import static poppynotch.config.JsonMembers.requiredNumber;
import static poppynotch.config.JsonMembers.requiredString;

import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Decodes the JSON document of a configuration. Unknown members are ignored, and so are optional
 * strings and booleans of the wrong type. Throws {@link InvalidConfigException} for invalid values,
 * {@code ClassCastException} for other members of the wrong type, and {@code ArithmeticException}
 * if {@code Generation} is not a whole number.
 */
final class ConfigDecoder {

    private static final long DEFAULT_TIMEOUT_MS = 30_000;

    private ConfigDecoder() {}

    /** Decodes and validates a complete configuration. */
    static FleetConfig decode(JsonObject document) {
        long generation = requiredNumber(document, "Generation").longValueExact();
        ConfigValidator.checkGeneration(generation);
        Map<String, Backend> backends = new LinkedHashMap<>();
        for (JsonObject item : objects(document, "Backends")) {
            Backend backend = backend(item);
            backends.put(backend.name(), backend);
        }
        List<Route> routes = new ArrayList<>();
        for (JsonObject item : objects(document, "Routes")) {
            routes.add(route(item));
        }
        ConfigValidator.checkRoutes(routes, backends);
        Map<String, Tenant> tenants = new LinkedHashMap<>();
        for (JsonObject item : objects(document, "Tenants")) {
            Tenant tenant = tenant(item);
            tenants.put(tenant.name(), tenant);
        }
        ConfigValidator.checkApiKeys(tenants.values());
        return new FleetConfig(generation, routes, backends, tenants, clientLimits(document));
    }

    private static Route route(JsonObject item) {
        String name = requiredString(item, "Name");
        List<Route.WeightedBackend> backends = weightedBackends(item);
        return new Route(
                name,
                requiredString(item, "Authority").toLowerCase(Locale.ROOT),
                requiredString(item, "PathPrefix"),
                routeType(name, item.getString("RouteType", "unsafe")),
                longOr(item, "TimeoutMs", DEFAULT_TIMEOUT_MS),
                longOr(item, "TargetLatencyMs", 0),
                (int) longOr(item, "Priority", 1),
                List.copyOf(backends),
                (int) Math.max(1, longOr(item, "MaxAttempts", 1)),
                item.getBoolean("Anonymous", false),
                item.getBoolean("StreamResume", false),
                longOr(item, "gap_aim_ms", 0));
    }

    private static List<Route.WeightedBackend> weightedBackends(JsonObject route) {
        List<Route.WeightedBackend> backends = new ArrayList<>();
        if (route.containsKey("WeightedBackends")) {
            for (JsonObject item : objects(route, "WeightedBackends")) {
                backends.add(
                        new Route.WeightedBackend(
                                requiredString(item, "Backend"),
                                requiredNumber(item, "Weight").doubleValue()));
            }
        } else {
            backends.add(new Route.WeightedBackend(requiredString(route, "Backend"), 1));
        }
        return backends;
    }

    private static RouteType routeType(String route, String type) {
        return switch (type) {
            case "safe" -> RouteType.SAFE;
            case "unsafe" -> RouteType.UNSAFE;
            case "streaming" -> RouteType.STREAMING;
            default ->
                    throw new InvalidConfigException(
                            "route " + route + " has an unknown RouteType: " + type);
        };
    }

    private static Backend backend(JsonObject item) {
        JsonObject engine = objectOrEmpty(item, "Engine");
        return new Backend(
                requiredString(item, "Name"),
                (int) longOr(item, "MaxConnections", 0),
                (int) longOr(engine, "Slots", 0),
                longOr(engine, "KvTokens", 0));
    }

    private static Tenant tenant(JsonObject item) {
        List<String> keys =
                item.containsKey("ApiKeys")
                        ? item.getJsonArray("ApiKeys").getValuesAs(JsonString::getString)
                        : List.of();
        return new Tenant(
                requiredString(item, "Name"),
                List.copyOf(keys),
                (int) longOr(item, "Priority", -1),
                item.getString("Unit", "").equals("tokens"),
                doubleOr(item, "PlainTokens", 1),
                doubleOr(item, "RatePerS", 0),
                doubleOr(item, "Burst", 0));
    }

    private static ClientLimits clientLimits(JsonObject document) {
        JsonObject limits = objectOrEmpty(document, "Limits");
        ClientLimits defaults = ClientLimits.DEFAULT;
        return new ClientLimits(
                (int) longOr(limits, "MaxHeaderBytes", defaults.maxHeaderBytes()),
                (int) longOr(limits, "MaxBodyBytes", defaults.maxBodyBytes()),
                longOr(limits, "HeaderTimeoutMs", defaults.headerTimeoutMs()),
                longOr(limits, "IdleTimeoutMs", defaults.idleTimeoutMs()));
    }
}
