package poppynotch.fleet.host;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Collection;
import java.util.Map;

/**
 * Formats a status of nested maps, collections, numbers, booleans and strings as one line of JSON,
 * for the admin server. Stateless.
 */
public final class StatusJson {

    private static final JsonFactory FACTORY = new JsonFactory();

    private StatusJson() {}

    /** Formats a status as one line of JSON, with the keys in the order of the maps. */
    public static String of(Map<String, ?> status) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = FACTORY.createGenerator(text)) {
            write(out, status);
        } catch (IOException e) {
            throw new IllegalStateException("failed to write JSON to memory", e);
        }
        return text.toString();
    }

    private static void write(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.writeFieldName(String.valueOf(entry.getKey()));
                write(out, entry.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof Collection<?> elements) {
            out.writeStartArray();
            for (Object element : elements) {
                write(out, element);
            }
            out.writeEndArray();
        } else if (value instanceof Double number) {
            // Rounded to three decimals, which is precise enough for operators.
            out.writeNumber(Math.round(number * 1000) / 1000.0);
        } else if (value instanceof Number number) {
            out.writeNumber(number.longValue());
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else {
            out.writeString(String.valueOf(value));
        }
    }
}
