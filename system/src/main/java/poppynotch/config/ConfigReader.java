package poppynotch.config;

import jakarta.json.JsonArray;
import jakarta.json.JsonException;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import jakarta.json.spi.JsonProvider;
import java.io.ByteArrayInputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Reads operators' configurations and says what is wrong with one. Unknown members are left alone.
 */
public final class ConfigReader {

    /** One provider for all: looking it up for each call reads the class path anew. */
    static final JsonProvider JSON = JsonProvider.provider();

    private static final long DEFAULT_TIMEOUT_MS = 30_000;

    private static final class InvalidConfig extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InvalidConfig(String message) {
            super(message, null, false, false);
        }
    }

    private ConfigReader() {}

    /** Reads and checks a whole configuration. */
    public static ConfigResult read(byte[] json) {
        try {
            return check(parse(json));
        } catch (JsonException
                | IllegalStateException
                | ClassCastException
                | ArithmeticException e) {
            return new ConfigResult.Invalid("not readable as a configuration: " + firstLine(e));
        }
    }

    /** Reads an object; an exception says that it is none. */
    public static JsonObject parse(byte[] json) {
        try (JsonReader reader = JSON.createReader(new ByteArrayInputStream(json))) {
            return reader.readObject();
        }
    }

    /** The body of an answer that says what is wrong. */
    public static String problem(String reason) {
        return JSON.createObjectBuilder().add("Reason", reason).build().toString();
    }

    /** Checks a whole configuration. */
    public static ConfigResult check(JsonObject document) {
        try {
            return new ConfigResult.Valid(document, config(document));
        } catch (InvalidConfig e) {
            return new ConfigResult.Invalid(e.getMessage());
        } catch (ClassCastException | ArithmeticException e) {
            return new ConfigResult.Invalid("a member has the wrong type: " + firstLine(e));
        }
    }

    static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
    }

    private static FleetConfig config(JsonObject document) {
        long generation = number(document, "Generation").longValueExact();
        require(generation > 0, "Generation must be above 0");
        Map<String, Backend> backends = new LinkedHashMap<>();
        objects(document, "Backends")
                .forEach(
                        item -> {
                            Backend backend = backend(item);
                            backends.put(backend.name(), backend);
                        });
        List<Route> routes = new ArrayList<>();
        objects(document, "Routes").forEach(item -> routes.add(route(item)));
        checkRoutes(routes, backends);
        Map<String, Tenant> tenants = new LinkedHashMap<>();
        objects(document, "Tenants")
                .forEach(
                        item -> {
                            Tenant tenant = tenant(item);
                            tenants.put(tenant.name(), tenant);
                        });
        checkKeys(tenants);
        return new FleetConfig(generation, routes, backends, tenants, limits(document));
    }

    private static void checkRoutes(List<Route> routes, Map<String, Backend> backends) {
        Set<String> places = new HashSet<>();
        for (Route route : routes) {
            require(
                    places.add(route.authority() + route.pathPrefix()),
                    "route " + route.name() + " has the host and prefix of another");
            require(route.timeoutMs() > 0, "route " + route.name() + " has no TimeoutMs");
            double weights = 0;
            for (Route.WeightedBackend to : route.backends()) {
                require(
                        backends.containsKey(to.backend()),
                        "route " + route.name() + " names an unknown backend: " + to.backend());
                require(to.weight() >= 0, "route " + route.name() + " has a negative weight");
                weights += to.weight();
            }
            require(weights > 0, "the weights of route " + route.name() + " sum to 0");
        }
    }

    private static void checkKeys(Map<String, Tenant> tenants) {
        Map<String, String> holders = new HashMap<>();
        for (Tenant tenant : tenants.values()) {
            for (String key : tenant.apiKeys()) {
                String other = holders.put(key, tenant.name());
                require(
                        other == null || other.equals(tenant.name()),
                        "tenants " + other + " and " + tenant.name() + " share a key");
            }
        }
    }

    private static Route route(JsonObject item) {
        String name = string(item, "Name");
        List<Route.WeightedBackend> backends = new ArrayList<>();
        if (item.containsKey("WeightedBackends")) {
            for (JsonObject part : objects(item, "WeightedBackends")) {
                backends.add(
                        new Route.WeightedBackend(
                                string(part, "Backend"), number(part, "Weight").doubleValue()));
            }
        } else {
            backends.add(new Route.WeightedBackend(string(item, "Backend"), 1));
        }
        return new Route(
                name,
                string(item, "Authority").toLowerCase(Locale.ROOT),
                string(item, "PathPrefix"),
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

    private static RouteType routeType(String route, String type) {
        return switch (type) {
            case "safe" -> RouteType.SAFE;
            case "unsafe" -> RouteType.UNSAFE;
            case "streaming" -> RouteType.STREAMING;
            default ->
                    throw new InvalidConfig(
                            "route " + route + " has an unknown RouteType: " + type);
        };
    }

    private static Backend backend(JsonObject item) {
        JsonObject engine =
                item.containsKey("Engine")
                        ? item.getJsonObject("Engine")
                        : JsonValue.EMPTY_JSON_OBJECT;
        return new Backend(
                string(item, "Name"),
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
                string(item, "Name"),
                List.copyOf(keys),
                (int) longOr(item, "Priority", -1),
                item.getString("Unit", "").equals("tokens"),
                doubleOr(item, "PlainTokens", 1),
                doubleOr(item, "RatePerS", 0),
                doubleOr(item, "Burst", 0));
    }

    private static ClientLimits limits(JsonObject document) {
        if (!document.containsKey("Limits")) {
            return ClientLimits.DEFAULT;
        }
        JsonObject limits = document.getJsonObject("Limits");
        ClientLimits usual = ClientLimits.DEFAULT;
        return new ClientLimits(
                (int) longOr(limits, "MaxHeaderBytes", usual.maxHeaderBytes()),
                (int) longOr(limits, "MaxBodyBytes", usual.maxBodyBytes()),
                longOr(limits, "HeaderTimeoutMs", usual.headerTimeoutMs()),
                longOr(limits, "IdleTimeoutMs", usual.idleTimeoutMs()));
    }

    private static List<JsonObject> objects(JsonObject from, String key) {
        JsonArray array =
                from.containsKey(key) ? from.getJsonArray(key) : JsonValue.EMPTY_JSON_ARRAY;
        List<JsonObject> objects = new ArrayList<>(array.size());
        array.forEach(value -> objects.add(value.asJsonObject()));
        return objects;
    }

    private static String string(JsonObject from, String key) {
        require(from.containsKey(key), key + " is missing");
        return from.getString(key);
    }

    private static JsonNumber number(JsonObject from, String key) {
        require(from.containsKey(key), key + " is missing");
        return from.getJsonNumber(key);
    }

    private static long longOr(JsonObject from, String key, long fallback) {
        return from.containsKey(key) ? from.getJsonNumber(key).longValue() : fallback;
    }

    private static double doubleOr(JsonObject from, String key, double fallback) {
        return from.containsKey(key) ? from.getJsonNumber(key).doubleValue() : fallback;
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new InvalidConfig(otherwise);
        }
    }
}
