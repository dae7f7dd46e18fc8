package poppynotch.balancer;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads {@link BalancerSettings} from a JSON object with the names of the wire. Unknown names are
 * ignored, absent ones get defaults.
 */
public final class BalancerSettingsReader {

    private BalancerSettingsReader() {}

    /**
     * Reads the JSON value at the parser's current token: objects as maps, arrays as lists, numbers
     * as doubles.
     */
    public static Object value(JsonParser in) throws IOException {
        JsonToken token = in.currentToken();
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> map = new LinkedHashMap<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                map.put(name, value(in));
            }
            return map;
        }
        if (token == JsonToken.START_ARRAY) {
            List<Object> list = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                list.add(value(in));
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
     * Reads settings from an object as {@link #value} returns it.
     *
     * @throws IllegalArgumentException for a value that is of another type or out of range
     */
    public static BalancerSettings settings(Map<String, Object> p) {
        List<RequestClass> classes = new ArrayList<>();
        for (Map<String, Object> c : maps(p, "classes")) {
            classes.add(
                    new RequestClass(
                            text(c, "name", ""),
                            number(c, "slo-ms", 0),
                            number(c, "hard-limit-ms", 0),
                            number(c, "worth", 1),
                            number(c, "late-worth", 0),
                            effect(text(c, "effect", "once")),
                            group(text(c, "group", "all")),
                            number(c, "memory-span-ms", 0),
                            flag(c, "stream")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Map<String, Object> t : maps(p, "projects")) {
            tenants.add(
                    new Tenant(
                            text(t, "name", ""),
                            number(t, "allowance-per-s", 0),
                            number(t, "share", 0)));
        }
        Map<String, Object> l = map(p, "limits");
        AttemptLimits limits =
                new AttemptLimits(
                        (int) number(l, "try-limit", 1),
                        flag(l, "parallel-tries"),
                        flag(l, "cancel"),
                        number(l, "max-retry-after-ms", 0),
                        number(l, "dial-timeout-ms", 250));
        Map<String, Object> r = map(p, "rules");
        ServerRules rules =
                new ServerRules(
                        number(r, "cold-share", 1),
                        number(r, "cold-ms", 0),
                        number(r, "tip-multiple", 1),
                        number(r, "fall-ms", 1000),
                        number(r, "drain-grace-ms", 0),
                        number(r, "ask-within-ms", 10_000));
        String weights = text(p, "weight-kind", "silent");
        return new BalancerSettings(
                (int) number(p, "replicas-of-me", 1),
                (int) number(p, "slot-no", 0),
                (int) number(p, "zone", 0),
                (int) number(p, "tier", 0),
                p.get("layers") instanceof List<?> layers && !layers.isEmpty() ? layers.size() : 1,
                text(p, "membership-mode", "pushed").equals("on_request"),
                weights.equals("nominal") || weights.equals("rough"),
                number(p, "over-share-worth", 1),
                number(map(p, "prices"), "cross-zone", 0),
                classes,
                tenants,
                limits,
                rules);
    }

    private static Idempotency effect(String word) {
        return switch (word) {
            case "repeatable" -> Idempotency.REPEATABLE;
            case "by_key" -> Idempotency.BY_KEY;
            case "once" -> Idempotency.ONCE;
            default ->
                    throw new IllegalArgumentException(
                            "setting classes[].effect is unknown: " + word);
        };
    }

    private static DeduplicationScope group(String word) {
        return switch (word) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default ->
                    throw new IllegalArgumentException(
                            "setting classes[].group is unknown: " + word);
        };
    }

    private static double number(Map<String, Object> from, String name, double absent) {
        Object value = from.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new IllegalArgumentException(
                "setting " + name + " should be a number but is " + value);
    }

    private static String text(Map<String, Object> from, String name, String absent) {
        Object value = from.get(name);
        return value == null ? absent : value.toString();
    }

    private static boolean flag(Map<String, Object> from, String name) {
        return Boolean.TRUE.equals(from.get(name));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Map<String, Object> from, String name) {
        return from.get(name) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> maps(Map<String, Object> from, String name) {
        return from.get(name) instanceof List<?> list
                ? (List<Map<String, Object>>) list
                : List.of();
    }
}
