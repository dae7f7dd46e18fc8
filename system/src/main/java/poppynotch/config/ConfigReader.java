package poppynotch.config;

import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.spi.JsonProvider;
import java.io.ByteArrayInputStream;
import java.util.function.Function;
import poppynotch.numbers.InvalidNumberException;

/** Reads and validates configurations in JSON, and reports errors in one line. */
public final class ConfigReader {

    /** Shared, because each look-up of a provider searches the class path again. */
    static final JsonProvider JSON_PROVIDER = JsonProvider.provider();

    private ConfigReader() {}

    /** Reads and validates a complete configuration that is new. */
    public static ConfigResult read(byte[] json) {
        return read(json, ConfigReader::check);
    }

    /**
     * Reads a configuration that was accepted earlier, maybe by another version of the software.
     */
    public static ConfigResult readAccepted(byte[] json) {
        return read(json, ConfigReader::decode);
    }

    private static ConfigResult read(byte[] json, Function<JsonObject, ConfigResult> decoder) {
        try {
            return decoder.apply(parse(json));
        } catch (JsonException | IllegalStateException | ClassCastException e) {
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

    /**
     * The generation that a configuration or a patch states.
     *
     * @throws InvalidNumberException if it is not a whole number above 0
     */
    public static long generationOf(JsonObject document) {
        return ConfigDecoder.generation(document);
    }

    /** The JSON body of a response that reports an error. */
    public static String errorBody(String reason) {
        return JSON_PROVIDER.createObjectBuilder().add("Reason", reason).build().toString();
    }

    /** Validates a complete configuration that is new. */
    public static ConfigResult check(JsonObject document) {
        ConfigResult decoded = decode(document);
        if (decoded instanceof ConfigResult.Valid) {
            try {
                ChangeValidator.check(document);
            } catch (InvalidConfigException e) {
                return new ConfigResult.Invalid(e.getMessage());
            } catch (ClassCastException e) {
                return wrongType(e);
            }
        }
        return decoded;
    }

    private static ConfigResult wrongType(ClassCastException e) {
        return new ConfigResult.Invalid("a member has the wrong type: " + firstLine(e));
    }

    private static ConfigResult decode(JsonObject document) {
        try {
            return new ConfigResult.Valid(document, ConfigDecoder.decode(document));
        } catch (InvalidConfigException | InvalidNumberException e) {
            return new ConfigResult.Invalid(e.getMessage());
        } catch (ClassCastException e) {
            return wrongType(e);
        }
    }

    static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
    }
}
