package poppynotch.config;

import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.spi.JsonProvider;
import java.io.ByteArrayInputStream;

/** Reads and validates configurations in JSON, and reports errors in one line. */
public final class ConfigReader {

    /** Shared, because each look-up of a provider searches the class path again. */
    static final JsonProvider JSON_PROVIDER = JsonProvider.provider();

    private ConfigReader() {}

    /** Reads and validates a complete configuration. */
    public static ConfigResult read(byte[] json) {
        try {
            return check(parse(json));
        } catch (JsonException
                | IllegalStateException
                | ClassCastException
                | ArithmeticException e) {
            return new ConfigResult.Invalid("not readable as a configuration: " + firstLine(e));
        }
    }

    /**
     * Parses a JSON object.
     *
     * @throws JsonException if the bytes are not a JSON object
     */
    public static JsonObject parse(byte[] json) {
        try (JsonReader reader = JSON_PROVIDER.createReader(new ByteArrayInputStream(json))) {
            return reader.readObject();
        }
    }

    /** The JSON body of a response that reports an error. */
    public static String errorBody(String reason) {
        return JSON_PROVIDER.createObjectBuilder().add("Reason", reason).build().toString();
    }

    /** Validates a complete configuration. */
    public static ConfigResult check(JsonObject document) {
        try {
            return new ConfigResult.Valid(document, ConfigDecoder.decode(document));
        } catch (InvalidConfigException e) {
            return new ConfigResult.Invalid(e.getMessage());
        } catch (ClassCastException | ArithmeticException e) {
            return new ConfigResult.Invalid("a member has the wrong type: " + firstLine(e));
        }
    }

    static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
    }
}
