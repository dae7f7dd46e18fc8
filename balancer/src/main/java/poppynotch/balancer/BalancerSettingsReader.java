package poppynotch.balancer;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads {@link BalancerSettings} from a JSON object with the field names of the wire format.
 * Unknown fields are ignored, missing ones get defaults.
 */
public final class BalancerSettingsReader {

    private BalancerSettingsReader() {}

    /**
     * Reads the JSON value at the parser's current token: objects as maps, arrays as lists, numbers
     * as doubles.
     */
    public static Object readJsonValue(JsonParser in) throws IOException {
        JsonToken token = in.currentToken();
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> map = new LinkedHashMap<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                map.put(name, readJsonValue(in));
            }
            return map;
        }
        if (token == JsonToken.START_ARRAY) {
            List<Object> list = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                list.add(readJsonValue(in));
            }
            return list;
        }
        if (token.isNumeric()) {
            return in.getDoubleValue();
        }
        if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        return token.isBoolean() ? (Object) in.getBooleanValue() : in.getText();
    }

    /**
     * Reads settings from an object as {@link #readJsonValue} returns it.
     *
     * @throws IllegalArgumentException if a value has the wrong type or is out of range
     */
    public static BalancerSettings readSettings(Map<String, Object> json) {
        List<RequestClass> classes = classes(json);
        List<Tenant> tenants = tenants(json);
        AttemptLimits limits = limits(map(json, "limits"));
        ServerRules rules = rules(map(json, "rules"));
        String weightKind = text(json, "weight-kind", "silent");
        return new BalancerSettings(
                (int) number(json, "replicas-of-me", 1),
                (int) number(json, "slot-no", 0),
                (int) number(json, "zone", 0),
                (int) number(json, "tier", 0),
                tiers(json),
                text(json, "membership-mode", "pushed").equals("on_request"),
                weightKind.equals("nominal") || weightKind.equals("rough"),
                number(json, "over-share-worth", 1),
                number(map(json, "prices"), "cross-zone", 0),
                classes,
                tenants,
                limits,
                rules);
    }

    private static int tiers(Map<String, Object> json) {
        return json.get("layers") instanceof List<?> layers && !layers.isEmpty()
                ? layers.size()
                : 1;
    }

    private static List<RequestClass> classes(Map<String, Object> json) {
        List<RequestClass> classes = new ArrayList<>();
        for (Map<String, Object> classJson : maps(json, "classes")) {
            classes.add(
                    new RequestClass(
                            text(classJson, "name", ""),
                            number(classJson, "slo-ms", 0),
                            number(classJson, "hard-limit-ms", 0),
                            number(classJson, "worth", 1),
                            number(classJson, "late-worth", 0),
                            idempotency(text(classJson, "effect", "once")),
                            deduplicationScope(text(classJson, "group", "all")),
                            number(classJson, "memory-span-ms", 0),
                            flag(classJson, "stream")));
        }
        return classes;
    }

    private static List<Tenant> tenants(Map<String, Object> json) {
        List<Tenant> tenants = new ArrayList<>();
        for (Map<String, Object> tenantJson : maps(json, "projects")) {
            tenants.add(
                    new Tenant(
                            text(tenantJson, "name", ""),
                            number(tenantJson, "allowance-per-s", 0),
                            number(tenantJson, "share", 0)));
        }
        return tenants;
    }

    private static AttemptLimits limits(Map<String, Object> json) {
        return new AttemptLimits(
                (int) number(json, "try-limit", 1),
                flag(json, "parallel-tries"),
                flag(json, "cancel"),
                number(json, "max-retry-after-ms", 0),
                number(json, "dial-timeout-ms", 250));
    }

    private static ServerRules rules(Map<String, Object> json) {
        return new ServerRules(
                number(json, "cold-share", 1),
                number(json, "cold-ms", 0),
                number(json, "tip-multiple", 1),
                number(json, "fall-ms", 1000),
                number(json, "drain-grace-ms", 0),
                number(json, "ask-within-ms", 10_000));
    }

    private static Idempotency idempotency(String name) {
        return switch (name) {
            case "repeatable" -> Idempotency.REPEATABLE;
            case "by_key" -> Idempotency.BY_KEY;
            case "once" -> Idempotency.ONCE;
            default ->
                    throw new IllegalArgumentException(
                            "setting classes[].effect is unknown: " + name);
        };
    }

    private static DeduplicationScope deduplicationScope(String name) {
        return switch (name) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default ->
                    throw new IllegalArgumentException(
                            "setting classes[].group is unknown: " + name);
        };
    }

    private static double number(Map<String, Object> json, String name, double defaultValue) {
        Object value = json.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new IllegalArgumentException(
                "setting " + name + " should be a number but is " + value);
    }

    private static String text(Map<String, Object> json, String name, String defaultValue) {
        Object value = json.get(name);
        return value == null ? defaultValue : value.toString();
    }

    private static boolean flag(Map<String, Object> json, String name) {
        return Boolean.TRUE.equals(json.get(name));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Map<String, Object> json, String name) {
        return json.get(name) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> maps(Map<String, Object> json, String name) {
        return json.get(name) instanceof List<?> list
                ? (List<Map<String, Object>>) list
                : List.of();
    }
}
