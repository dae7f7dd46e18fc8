package poppynotch.rollout;

import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import poppynotch.config.ConfigReader;

/**
 * An operator's order of a rollout, as received: service, target version and time limit.
 *
 * @param termMs the time limit, at least 1 ms
 */
public record RolloutRequest(String backend, String targetVersion, long termMs) {

    private static final double MS_PER_S = 1000;

    /** The upper bound of the time limit, which keeps sums of times from overflowing. */
    private static final double MAX_TERM_S = 30 * 24 * 3600.0;

    private static final int MAX_NAME_LENGTH = 256;

    /** The result of parsing an order. */
    public sealed interface ParseResult {
        /** The order is well formed. */
        record Parsed(RolloutRequest request) implements ParseResult {}

        /** The order cannot be parsed or has invalid values. */
        record Malformed(String reason) implements ParseResult {}
    }

    /** Parses an order from JSON. */
    public static ParseResult parse(byte[] content) {
        try {
            JsonObject body = ConfigReader.parse(content);
            String backend = body.getString("Backend");
            String version = body.getString("TargetVersion");
            double termS = body.getJsonNumber("TermS").doubleValue();
            if (!isName(backend) || !isName(version)) {
                return new ParseResult.Malformed("Backend and TargetVersion must be short names");
            }
            long termMs = Math.round(Math.min(termS, MAX_TERM_S) * MS_PER_S);
            if (termMs < 1) {
                return new ParseResult.Malformed("TermS must be above 0");
            }
            return new ParseResult.Parsed(new RolloutRequest(backend, version, termMs));
        } catch (JsonException
                | IllegalStateException
                | ClassCastException
                | NullPointerException e) {
            // Malformed JSON, or a member that is missing or of a wrong type.
            return new ParseResult.Malformed(
                    "not an order: Backend and TargetVersion (strings) and TermS (a number) are"
                            + " required");
        }
    }

    private static boolean isName(String text) {
        return !text.isEmpty() && text.length() <= MAX_NAME_LENGTH;
    }
}
