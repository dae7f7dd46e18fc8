package poppynotch.config;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Applies a patch to a configuration. A patch has the new {@code Generation}; {@code Upsert} with
 * the items of each section to add, or to replace by name; and {@code Remove} with the names of the
 * items to remove. A section that is an object and not a list of items is replaced as a whole.
 */
public final class ConfigPatch {

    private static final String GENERATION = "Generation";
    private static final String NAME = "Name";
    private static final String UPSERT = "Upsert";
    private static final String REMOVE = "Remove";

    private ConfigPatch() {}

    /** Returns the patched configuration after validating it. */
    public static ConfigResult apply(JsonObject current, JsonObject patch) {
        try {
            JsonObjectBuilder next = ConfigReader.JSON_PROVIDER.createObjectBuilder(current);
            if (!patch.containsKey(GENERATION)) {
                return new ConfigResult.Invalid("Generation is missing");
            }
            next.add(GENERATION, patch.get(GENERATION));
            patchSections(next, current, patch);
            return ConfigReader.check(next.build());
        } catch (ClassCastException | NullPointerException e) {
            return new ConfigResult.Invalid(
                    "not readable as a change: " + ConfigReader.firstLine(e));
        }
    }

    private static void patchSections(
            JsonObjectBuilder next, JsonObject current, JsonObject patch) {
        JsonObject upsert = JsonMembers.objectOrEmpty(patch, UPSERT);
        JsonObject remove = JsonMembers.objectOrEmpty(patch, REMOVE);
        Set<String> sections = new HashSet<>(upsert.keySet());
        sections.addAll(remove.keySet());
        for (String section : sections) {
            JsonValue added = upsert.getOrDefault(section, JsonValue.EMPTY_JSON_ARRAY);
            if (added.getValueType() == JsonValue.ValueType.OBJECT) {
                next.add(section, added);
            } else {
                next.add(section, patchedItems(current, section, added, remove));
            }
        }
    }

    private static JsonArrayBuilder patchedItems(
            JsonObject current, String section, JsonValue added, JsonObject remove) {
        Map<String, JsonValue> itemsByName = new LinkedHashMap<>();
        if (current.containsKey(section)) {
            current.getJsonArray(section).forEach(item -> itemsByName.put(name(item), item));
        }
        added.asJsonArray().forEach(item -> itemsByName.put(name(item), item));
        if (remove.containsKey(section)) {
            for (JsonValue name : remove.getJsonArray(section)) {
                itemsByName.remove(((JsonString) name).getString());
            }
        }
        JsonArrayBuilder items = ConfigReader.JSON_PROVIDER.createArrayBuilder();
        itemsByName.values().forEach(items::add);
        return items;
    }

    private static String name(JsonValue item) {
        return item.asJsonObject().getString(NAME);
    }
}
