package poppynotch.config;

import jakarta.json.JsonObject;

/** What came of reading or changing a configuration. */
public sealed interface ConfigResult {

    /** It is valid. */
    record Valid(JsonObject document, FleetConfig config) implements ConfigResult {}

    /** It is not; {@code reason} is one line for the operator. */
    record Invalid(String reason) implements ConfigResult {}
}
