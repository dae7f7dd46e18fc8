package poppynotch.config;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonValue;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Applies a change of named items to a configuration. */
public final class ConfigPatch {

    private static final String GENERATION = "Generation";
    private static final String NAME = "Name";
    private static final String UPSERT = "Upsert";
    private static final String REMOVE = "Remove";

    private ConfigPatch() {}

    /** The configuration after the change, checked. */
    public static ConfigResult apply(JsonObject current, JsonObject patch) {
        try {
            JsonObjectBuilder next = ConfigReader.JSON.createObjectBuilder(current);
            if (!patch.containsKey(GENERATION)) {
                return new ConfigResult.Invalid("Generation is missing");
            }
            next.add(GENERATION, patch.get(GENERATION));
            JsonObject upsert = member(patch, UPSERT);
            JsonObject remove = member(patch, REMOVE);
            Set<String> lists = new HashSet<>(upsert.keySet());
            lists.addAll(remove.keySet());
            for (String list : lists) {
                JsonValue added = upsert.getOrDefault(list, JsonValue.EMPTY_JSON_ARRAY);
                if (added.getValueType() == JsonValue.ValueType.OBJECT) {
                    next.add(list, added);
                } else {
                    next.add(list, merged(current, list, added, remove));
                }
            }
            return ConfigReader.check(next.build());
        } catch (ClassCastException | NullPointerException e) {
            return new ConfigResult.Invalid(
                    "not readable as a change: " + ConfigReader.firstLine(e));
        }
    }

    private static JsonObject member(JsonObject patch, String key) {
        return patch.containsKey(key) ? patch.getJsonObject(key) : JsonValue.EMPTY_JSON_OBJECT;
    }

    private static JsonArrayBuilder merged(
            JsonObject current, String list, JsonValue added, JsonObject remove) {
        Map<String, JsonValue> items = new LinkedHashMap<>();
        if (current.containsKey(list)) {
            current.getJsonArray(list).forEach(item -> items.put(name(item), item));
        }
        added.asJsonArray().forEach(item -> items.put(name(item), item));
        if (remove.containsKey(list)) {
            remove.getJsonArray(list)
                    .forEach(name -> items.remove(((jakarta.json.JsonString) name).getString()));
        }
        JsonArrayBuilder array = ConfigReader.JSON.createArrayBuilder();
        items.values().forEach(array::add);
        return array;
    }

    private static String name(JsonValue item) {
        return item.asJsonObject().getString(NAME);
    }
}
