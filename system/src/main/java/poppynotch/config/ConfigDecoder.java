package poppynotch.config;

import static poppynotch.config.JsonMembers.amountOr;
import static poppynotch.config.JsonMembers.intOr;
import static poppynotch.config.JsonMembers.numberOr;
import static poppynotch.config.JsonMembers.objectOrEmpty;
import static poppynotch.config.JsonMembers.objects;
import static poppynotch.config.JsonMembers.priorityOr;
import static poppynotch.config.JsonMembers.requiredNumber;
import static poppynotch.config.JsonMembers.requiredString;

import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import poppynotch.numbers.Amounts;
import poppynotch.numbers.InvalidNumberException;
import poppynotch.numbers.NumberRange;

/**
 * Decodes the JSON document of a configuration. Unknown members are ignored, and so are optional
 * strings and booleans of the wrong type. A number beyond its range counts as the nearest one of
 * the range. Throws {@link InvalidConfigException} for invalid values, {@link
 * InvalidNumberException} for an invalid {@code Generation}, and {@code ClassCastException} for
 * other members of the wrong type.
 */
final class ConfigDecoder {

    private static final long DEFAULT_TIMEOUT_MS = 30_000;
    private static final NumberRange GENERATIONS = NumberRange.of(1, Long.MAX_VALUE);

    /** The priority of a tenant that has none. */
    private static final int NO_PRIORITY = -1;

    private ConfigDecoder() {}

    /** Decodes and validates a complete configuration. */
    static FleetConfig decode(JsonObject document) {
        long generation = generation(document);
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

    /** The generation of a configuration or a patch. */
    static long generation(JsonObject document) {
        return GENERATIONS.readExact(
                "Generation", requiredNumber(document, "Generation").bigDecimalValue());
    }

    private static Route route(JsonObject item) {
        String name = requiredString(item, "Name");
        List<Route.WeightedBackend> backends = weightedBackends(item);
        return new Route(
                name,
                requiredString(item, "Authority").toLowerCase(Locale.ROOT),
                requiredString(item, "PathPrefix"),
                routeType(name, item.getString("RouteType", "unsafe")),
                numberOr(item, "TimeoutMs", NumberRange.TIME_MS, DEFAULT_TIMEOUT_MS),
                numberOr(item, "TargetLatencyMs", NumberRange.TIME_MS, 0),
                priorityOr(item, 0, 1),
                List.copyOf(backends),
                Math.max(1, intOr(item, "MaxAttempts", NumberRange.COUNT, 1)),
                item.getBoolean("Anonymous", false),
                item.getBoolean("StreamResume", false),
                numberOr(item, "gap_aim_ms", NumberRange.TIME_MS, 0));
    }

    private static List<Route.WeightedBackend> weightedBackends(JsonObject route) {
        List<Route.WeightedBackend> backends = new ArrayList<>();
        if (route.containsKey("WeightedBackends")) {
            for (JsonObject item : objects(route, "WeightedBackends")) {
                backends.add(
                        new Route.WeightedBackend(
                                requiredString(item, "Backend"),
                                Amounts.clampWeight(
                                        requiredNumber(item, "Weight").bigDecimalValue())));
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
                intOr(item, "MaxConnections", NumberRange.COUNT, 0),
                intOr(engine, "Slots", NumberRange.COUNT, 0),
                numberOr(engine, "KvTokens", NumberRange.SIZE, 0));
    }

    private static Tenant tenant(JsonObject item) {
        List<String> keys =
                item.containsKey("ApiKeys")
                        ? item.getJsonArray("ApiKeys").getValuesAs(JsonString::getString)
                        : List.of();
        return new Tenant(
                requiredString(item, "Name"),
                List.copyOf(keys),
                priorityOr(item, NO_PRIORITY, NO_PRIORITY),
                item.getString("Unit", "").equals("tokens"),
                amountOr(item, "PlainTokens", 1),
                amountOr(item, "RatePerS", 0),
                amountOr(item, "Burst", 0));
    }

    private static ClientLimits clientLimits(JsonObject document) {
        JsonObject limits = objectOrEmpty(document, "Limits");
        ClientLimits defaults = ClientLimits.DEFAULT;
        return new ClientLimits(
                intOr(limits, "MaxHeaderBytes", NumberRange.COUNT, defaults.maxHeaderBytes()),
                numberOr(limits, "MaxBodyBytes", NumberRange.SIZE, defaults.maxBodyBytes()),
                numberOr(
                        limits, "HeaderTimeoutMs", NumberRange.TIME_MS, defaults.headerTimeoutMs()),
                numberOr(limits, "IdleTimeoutMs", NumberRange.TIME_MS, defaults.idleTimeoutMs()));
    }
}
