package poppynotch.config;

import jakarta.json.JsonObject;

/** The result of reading or patching a configuration. */
public sealed interface ConfigResult {

    /**
     * The configuration is valid.
     *
     * @param document the JSON document of the configuration, including unknown members
     */
    record Valid(JsonObject document, FleetConfig config) implements ConfigResult {}

    /**
     * The configuration is invalid.
     *
     * @param reason the error in one line, for the operator
     */
    record Invalid(String reason) implements ConfigResult {}
}
