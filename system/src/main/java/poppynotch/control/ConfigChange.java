package poppynotch.control;

import com.google.common.hash.Hashing;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import java.nio.charset.StandardCharsets;
import poppynotch.config.ConfigPatch;
import poppynotch.config.ConfigReader;
import poppynotch.config.ConfigResult;
import poppynotch.config.DocumentCodec;
import poppynotch.numbers.InvalidNumberException;
import poppynotch.register.ProposalOutcome;
import poppynotch.register.RegisterValue;

/**
 * An operator's change of the configuration, as a change of the register. It is idempotent: a
 * digest of its content identifies it when it is sent again, to whichever replica.
 *
 * <p>Each submission needs an object of its own, as {@link #apply} stores its result for {@link
 * #resultOf}. Both are called from the thread of the {@link ControlPlaneNode}.
 */
public final class ConfigChange implements OperatorChange {

    /** The content of a change. Constants keep their order, as the digest covers the ordinal. */
    public enum Kind {
        /** A complete configuration. */
        COMPLETE,
        /** Named items to add, replace or remove. */
        PATCH
    }

    private final Kind kind;
    private final long baseGeneration;
    private final JsonObject body;
    private final long digest;

    /** The result of the latest call of {@link #apply}; valid once its value is chosen. */
    private OperatorChangeResult result = new OperatorChangeResult.Unclear();

    private ConfigChange(Kind kind, long baseGeneration, JsonObject body, long digest) {
        this.kind = kind;
        this.baseGeneration = baseGeneration;
        this.body = body;
        this.digest = digest;
    }

    /** The result of parsing a change. */
    public sealed interface ParseResult {
        /** The change can be submitted. */
        record Parsed(ConfigChange change) implements ParseResult {}

        /** The change is invalid, whatever the current configuration is. */
        record Malformed(String reason) implements ParseResult {}
    }

    /**
     * Parses a change.
     *
     * @param baseGeneration the generation of the configuration that it was made for
     * @param content JSON with the key {@code Generation}
     */
    public static ParseResult parse(Kind kind, long baseGeneration, byte[] content) {
        try {
            JsonObject body = ConfigReader.parse(content);
            if (kind == Kind.COMPLETE
                    && ConfigReader.check(body) instanceof ConfigResult.Invalid invalid) {
                return new ParseResult.Malformed(invalid.reason());
            }
            if (!body.containsKey("Generation")) {
                return new ParseResult.Malformed("Generation is missing");
            }
            ConfigReader.generationOf(body);
            return new ParseResult.Parsed(
                    new ConfigChange(
                            kind, baseGeneration, body, digestOf(kind, baseGeneration, content)));
        } catch (JsonException
                | IllegalStateException
                | ClassCastException
                | InvalidNumberException e) {
            return new ParseResult.Malformed(
                    "not readable: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    private static long digestOf(Kind kind, long baseGeneration, byte[] content) {
        return Hashing.sipHash24()
                .newHasher()
                .putInt(kind.ordinal())
                .putLong(baseGeneration)
                .putBytes(content)
                .hash()
                .asLong();
    }

    @Override
    public Decision apply(RegisterValue current) {
        if (current.includesChange(digest)) {
            return keep(new OperatorChangeResult.Applied(current.generation()));
        }
        if (current.mayPredateHistory(baseGeneration)) {
            return keep(new OperatorChangeResult.Unclear());
        }
        if (baseGeneration != current.generation()) {
            return keep(new OperatorChangeResult.Conflict(current.generation()));
        }
        ConfigResult next =
                kind == Kind.COMPLETE
                        ? ConfigReader.check(body)
                        : ConfigPatch.apply(documentOf(current), body);
        if (next instanceof ConfigResult.Invalid invalid) {
            return keep(new OperatorChangeResult.Invalid(invalid.reason()));
        }
        ConfigResult.Valid valid = (ConfigResult.Valid) next;
        long generation = valid.config().generation();
        if (generation <= current.generation()) {
            return keep(
                    new OperatorChangeResult.Invalid(
                            "Generation " + generation + " is not above " + current.generation()));
        }
        result = new OperatorChangeResult.Applied(generation);
        return new Decision.Replace(
                current.withDocument(generation, DocumentCodec.encode(valid.document()), digest));
    }

    /** Keeps the current value, and stores the result for the operator. */
    private Decision keep(OperatorChangeResult resultForOperator) {
        result = resultForOperator;
        return new Decision.Keep();
    }

    private static JsonObject documentOf(RegisterValue value) {
        byte[] json =
                value.document().length == 0
                        ? "{}".getBytes(StandardCharsets.UTF_8)
                        : DocumentCodec.decode(value.document());
        return ConfigReader.parse(json);
    }

    /** Identifies the change, whichever replica it is sent to. */
    public long digest() {
        return digest;
    }

    @Override
    public OperatorChangeResult resultOf(ProposalOutcome outcome) {
        return outcome instanceof ProposalOutcome.Chosen
                ? result
                : new OperatorChangeResult.Unclear();
    }
}
