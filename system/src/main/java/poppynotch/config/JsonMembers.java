package poppynotch.config;

import static poppynotch.config.InvalidConfigException.require;

import jakarta.json.JsonArray;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the members of JSON objects. Throws {@code ClassCastException} for a member of the wrong
 * type, and {@link InvalidConfigException} if a required member is missing.
 */
final class JsonMembers {

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

    static long longOr(JsonObject from, String key, long defaultValue) {
        return from.containsKey(key) ? from.getJsonNumber(key).longValue() : defaultValue;
    }

    static double doubleOr(JsonObject from, String key, double defaultValue) {
        return from.containsKey(key) ? from.getJsonNumber(key).doubleValue() : defaultValue;
    }
}
