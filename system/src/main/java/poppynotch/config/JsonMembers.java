package poppynotch.config;

import static poppynotch.config.InvalidConfigException.require;

import jakarta.json.JsonArray;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import poppynotch.numbers.Amounts;
import poppynotch.numbers.NumberRange;

/**
 * Reads the members of JSON objects. Throws {@code ClassCastException} for a member of the wrong
 * type, and {@link InvalidConfigException} if a required member is missing.
 */
final class JsonMembers {

    private static final String PRIORITY = "Priority";
    private static final int LEAST_URGENT_PRIORITY = 9;

    private JsonMembers() {}

    /** The objects of an array member; empty if the member is missing. */
    static List<JsonObject> objects(JsonObject from, String key) {
        JsonArray array =
                from.containsKey(key) ? from.getJsonArray(key) : JsonValue.EMPTY_JSON_ARRAY;
        List<JsonObject> objects = new ArrayList<>(array.size());
        array.forEach(value -> objects.add(value.asJsonObject()));
        return objects;
    }

    /** An object member; an empty object if the member is missing. */
    static JsonObject objectOrEmpty(JsonObject from, String key) {
        return from.containsKey(key) ? from.getJsonObject(key) : JsonValue.EMPTY_JSON_OBJECT;
    }

    static String requiredString(JsonObject from, String key) {
        require(from.containsKey(key), key + " is missing");
        return from.getString(key);
    }

    static JsonNumber requiredNumber(JsonObject from, String key) {
        require(from.containsKey(key), key + " is missing");
        return from.getJsonNumber(key);
    }

    /** The whole number of a range that is nearest to a member. */
    static long numberOr(JsonObject from, String key, NumberRange range, long defaultValue) {
        return from.containsKey(key) ? range.clamp(decimal(from, key)) : defaultValue;
    }

    /** {@link #numberOr} for a range that an int can hold. */
    static int intOr(JsonObject from, String key, NumberRange range, int defaultValue) {
        return Math.toIntExact(numberOr(from, key, range, defaultValue));
    }

    /** The priority of a route or tenant, between {@code lowest} and the least urgent one. */
    static int priorityOr(JsonObject from, int lowest, int defaultValue) {
        NumberRange range = NumberRange.of(lowest, LEAST_URGENT_PRIORITY);
        return from.containsKey(PRIORITY)
                ? Math.toIntExact(range.clamp(decimal(from, PRIORITY)))
                : defaultValue;
    }

    /** An amount with a fraction, which is not negative. */
    static double amountOr(JsonObject from, String key, double defaultValue) {
        return from.containsKey(key) ? Amounts.clampAmount(decimal(from, key)) : defaultValue;
    }

    static BigDecimal decimal(JsonObject from, String key) {
        return from.getJsonNumber(key).bigDecimalValue();
    }
}
