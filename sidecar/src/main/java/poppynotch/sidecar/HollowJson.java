package poppynotch.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Map;

/**
 * JSON of maps, lists, texts, numbers and truths, as {@link
 * poppynotch.balancer.SettingsReader#value} reads it.
 */
final class HollowJson {

    private static final JsonFactory FACTORY = new JsonFactory();

    private HollowJson() {}

    /** A value as one line. */
    static String of(Object value) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = FACTORY.createGenerator(text)) {
            write(out, value);
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
        } else if (value instanceof Iterable<?> all) {
            out.writeStartArray();
            for (Object one : all) {
                write(out, one);
            }
            out.writeEndArray();
        } else if (value instanceof Number number) {
            if (number.doubleValue() == number.longValue()) {
                out.writeNumber(number.longValue());
            } else {
                out.writeNumber(number.doubleValue());
            }
        } else if (value instanceof Boolean truth) {
            out.writeBoolean(truth);
        } else if (value == null) {
            out.writeNull();
        } else {
            out.writeString(String.valueOf(value));
        }
    }
}
