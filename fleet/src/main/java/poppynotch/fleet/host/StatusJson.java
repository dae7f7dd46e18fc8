package poppynotch.fleet.host;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Collection;
import java.util.Map;

/**
 * Writes a status of nested maps, lists, numbers, booleans and texts as one line of JSON, for the
 * admin server. Stateless.
 */
public final class StatusJson {

    private static final JsonFactory FACTORY = new JsonFactory();

    private StatusJson() {}

    /** The line, with the keys in the order of the maps. */
    public static String of(Map<String, ?> status) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = FACTORY.createGenerator(text)) {
            write(out, status);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
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
            // Rounded to thousandths, which is more than operators need.
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
