package poppynotch.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads one object of an experiment's file, key by key, and collects every error with the full key
 * instead of ending at the first. A key that was not read before {@link #done} is unknown, which is
 * an error too.
 */
final class Fields {

    private final String path;
    private final ObjectNode node;
    private final List<String> errors;
    private final Set<String> readKeys = new HashSet<>();

    private Fields(String path, JsonNode node, List<String> errors) {
        this.path = path;
        this.errors = errors;
        if (node instanceof ObjectNode object) {
            this.node = object;
        } else {
            this.node = JsonNodeFactory.instance.objectNode();
            if (node != null && !node.isNull()) {
                errors.add(
                        (path.isEmpty() ? "the file" : path)
                                + " should be a group of keys but is "
                                + node);
            }
        }
    }

    static Fields root(JsonNode node, List<String> errors) {
        return new Fields("", node, errors);
    }

    private String fullKey(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private JsonNode get(String key) {
        readKeys.add(key);
        JsonNode value = node.get(key);
        return value == null || value.isNull() ? null : value;
    }

    boolean has(String key) {
        return get(key) != null;
    }

    void fault(String key, String reason) {
        errors.add(fullKey(key) + " " + reason);
    }

    /** A group of keys; where the file has none, one without keys, so that its defaults hold. */
    Fields group(String key) {
        return new Fields(fullKey(key), get(key), errors);
    }

    /** The groups of a list, or of an object by their names. */
    <T> List<T> groups(String key, Function<Fields, T> reader) {
        List<T> all = new ArrayList<>();
        JsonNode value = get(key);
        if (value instanceof ArrayNode list) {
            for (int i = 0; i < list.size(); i++) {
                all.add(
                        reader.apply(
                                new Fields(fullKey(key) + "[" + i + "]", list.get(i), errors)));
            }
        } else if (value instanceof ObjectNode named) {
            for (Iterator<String> names = named.fieldNames(); names.hasNext(); ) {
                String name = names.next();
                Fields fields = new Fields(fullKey(key) + "." + name, named.get(name), errors);
                fields.name = name;
                all.add(reader.apply(fields));
            }
        } else if (value != null) {
            fault(key, "should be a list or a group of named entries but is " + value);
        }
        return all;
    }

    private String name;

    /** The name of an entry: its key, or its field {@code name}. */
    String name() {
        return name != null ? name : text("name", null);
    }

    String text(String key, String absent) {
        JsonNode value = get(key);
        if (value == null) {
            if (absent == null) {
                fault(key, "is missing");
            }
            return absent == null ? "" : absent;
        }
        if (!value.isValueNode()) {
            fault(key, "should be a text but is " + value);
            return "";
        }
        return value.asText();
    }

    List<String> texts(String key, List<String> absent) {
        JsonNode value = get(key);
        if (value == null) {
            return absent;
        }
        List<String> all = new ArrayList<>();
        if (!(value instanceof ArrayNode list) || list.isEmpty()) {
            fault(key, "should be a list with an entry at least but is " + value);
            return absent;
        }
        list.forEach(entry -> all.add(entry.asText()));
        return all;
    }

    /** An enum's constant, written in lower case with hyphens. */
    <E extends Enum<E>> E word(String key, E absent, Class<E> kind) {
        String text = text(key, absent == null ? null : written(absent));
        for (E one : kind.getEnumConstants()) {
            if (written(one).equals(text)) {
                return one;
            }
        }
        if (has(key)) {
            List<String> words = new ArrayList<>();
            for (E one : kind.getEnumConstants()) {
                words.add(written(one));
            }
            fault(key, "should be one of " + String.join(", ", words) + " but is " + text);
        }
        return absent == null ? kind.getEnumConstants()[0] : absent;
    }

    static String written(Enum<?> word) {
        return word.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    double figure(String key, Quantity quantity, double absent, double min, double max) {
        Range range = range(key, quantity, Range.of(absent), min, max);
        if (range.low() != range.high()) {
            fault(key, "should be one figure, not a range");
        }
        return range.low();
    }

    int whole(String key, int absent, int min, int max) {
        double figure = figure(key, Quantity.NUMBER, absent, min, max);
        if (figure != Math.rint(figure)) {
            fault(key, "should be a whole number but is " + figure);
        }
        return (int) figure;
    }

    /**
     * A figure, or two with {@code ..} between them; an absent default of NaN makes the key a must.
     */
    Range range(String key, Quantity quantity, Range absent, double min, double max) {
        JsonNode value = get(key);
        if (value == null) {
            if (Double.isNaN(absent.low())) {
                fault(key, "is missing");
                return Range.of(min);
            }
            return absent;
        }
        try {
            String[] ends =
                    value.isValueNode()
                            ? value.asText().split("\\.\\.", -1)
                            : new String[] {value.toString()};
            double low = quantity.parse(ends[0]);
            double high = ends.length > 1 ? quantity.parse(ends[1]) : low;
            if (ends.length > 2 || low > high) {
                fault(key, "should be a range from low..high but is " + value.asText());
            } else if (low < min || high > max) {
                fault(
                        key,
                        "is out of bounds: "
                                + value.asText()
                                + " is not within "
                                + shown(min, quantity)
                                + " and "
                                + shown(max, quantity));
            } else {
                return new Range(low, high);
            }
        } catch (IllegalArgumentException e) {
            fault(key, e.getMessage());
        }
        return Double.isNaN(absent.low()) ? Range.of(min) : absent;
    }

    private static String shown(double figure, Quantity quantity) {
        String text =
                figure == Math.rint(figure) && Math.abs(figure) < 1e15
                        ? String.valueOf((long) figure)
                        : String.valueOf(figure);
        return switch (quantity) {
            case DURATION -> text + "ms";
            case RATE -> text + "/s";
            case NUMBER -> text;
        };
    }

    List<Long> wholes(String key, List<Long> absent) {
        List<Long> all = new ArrayList<>();
        for (String text : texts(key, absent.stream().map(String::valueOf).toList())) {
            try {
                all.add(Long.parseLong(text));
            } catch (NumberFormatException e) {
                fault(key, "should hold whole numbers but has " + text);
            }
        }
        return all;
    }

    /** Lists by key: the values that a sweep tries. */
    Map<String, List<String>> lists(String key) {
        Map<String, List<String>> all = new LinkedHashMap<>();
        Fields group = group(key);
        for (Iterator<String> names = group.node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            all.put(name, group.texts(name, List.of()));
        }
        return all;
    }

    /** Reports the keys that were not read as unknown. */
    void done() {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String key = names.next();
            if (!readKeys.contains(key)) {
                fault(key, "is unknown");
            }
        }
    }
}
