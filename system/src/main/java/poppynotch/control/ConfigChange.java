package poppynotch.control;

import com.google.common.hash.Hashing;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import java.nio.charset.StandardCharsets;
import poppynotch.config.ConfigPatch;
import poppynotch.config.ConfigReader;
import poppynotch.config.ConfigResult;
import poppynotch.config.DocumentCodec;
import poppynotch.register.Outcome;
import poppynotch.register.RegisterValue;

/**
 * An operator's change of the configuration, as a change of the register. It is known by its
 * content when it is sent again, to whichever core process.
 */
public final class ConfigChange implements OperatorChange {

    /** How the change is given. */
    public enum Kind {
        /** A whole configuration. */
        WHOLE,
        /** Named items to add, replace or remove. */
        PATCH
    }

    private final Kind kind;
    private final long buildsOn;
    private final JsonObject body;
    private final long digest;

    /** What the latest decision means for the operator, if the value it was made on is chosen. */
    private OperatorChangeResult result = new OperatorChangeResult.Unclear();

    private ConfigChange(Kind kind, long buildsOn, JsonObject body, long digest) {
        this.kind = kind;
        this.buildsOn = buildsOn;
        this.body = body;
        this.digest = digest;
    }

    /** What came of reading an order. */
    public sealed interface Read {
        /** It can be tried. */
        record Good(ConfigChange order) implements Read {}

        /** It is invalid whatever the current version is. */
        record Bad(String reason) implements Read {}
    }

    /** Reads an order; {@code buildsOn} is the version it was made for. */
    public static Read read(Kind kind, long buildsOn, byte[] content) {
        try {
            JsonObject body = ConfigReader.parse(content);
            if (kind == Kind.WHOLE
                    && ConfigReader.check(body) instanceof ConfigResult.Invalid invalid) {
                return new Read.Bad(invalid.reason());
            }
            if (!body.containsKey("Generation")) {
                return new Read.Bad("Generation is missing");
            }
            body.getJsonNumber("Generation").longValueExact();
            long digest =
                    Hashing.sipHash24()
                            .newHasher()
                            .putInt(kind.ordinal())
                            .putLong(buildsOn)
                            .putBytes(content)
                            .hash()
                            .asLong();
            return new Read.Good(new ConfigChange(kind, buildsOn, body, digest));
        } catch (JsonException
                | IllegalStateException
                | ClassCastException
                | ArithmeticException e) {
            return new Read.Bad(
                    "not readable: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    @Override
    public Decision decide(RegisterValue current) {
        if (current.includes(digest)) {
            result = new OperatorChangeResult.Taken(current.generation());
            return new Decision.Keep();
        }
        if (current.mayHaveForgotten(buildsOn)) {
            result = new OperatorChangeResult.Unclear();
            return new Decision.Keep();
        }
        if (buildsOn != current.generation()) {
            result = new OperatorChangeResult.Conflict(current.generation());
            return new Decision.Keep();
        }
        ConfigResult next =
                kind == Kind.WHOLE
                        ? ConfigReader.check(body)
                        : ConfigPatch.apply(currentDocument(current), body);
        if (next instanceof ConfigResult.Invalid invalid) {
            result = new OperatorChangeResult.Invalid(invalid.reason());
            return new Decision.Keep();
        }
        ConfigResult.Valid valid = (ConfigResult.Valid) next;
        long generation = valid.config().generation();
        if (generation <= current.generation()) {
            result =
                    new OperatorChangeResult.Invalid(
                            "Generation " + generation + " is not above " + current.generation());
            return new Decision.Keep();
        }
        result = new OperatorChangeResult.Taken(generation);
        return new Decision.Replace(
                current.withDocument(generation, DocumentCodec.encode(valid.document()), digest));
    }

    private static JsonObject currentDocument(RegisterValue current) {
        byte[] json =
                current.document().length == 0
                        ? "{}".getBytes(StandardCharsets.UTF_8)
                        : DocumentCodec.decode(current.document());
        return ConfigReader.parse(json);
    }

    /** By which the change is known wherever it comes from. */
    public long digest() {
        return digest;
    }

    @Override
    public OperatorChangeResult resultOf(Outcome outcome) {
        return outcome instanceof Outcome.Chosen ? result : new OperatorChangeResult.Unclear();
    }
}
