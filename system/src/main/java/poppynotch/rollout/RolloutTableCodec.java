package poppynotch.rollout;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonException;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonString;
import jakarta.json.spi.JsonProvider;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import poppynotch.config.ConfigReader;

/**
 * Encodes the rollout table for storage and transmission, as JSON in UTF-8. Unknown members are
 * ignored. Stateless and thread-safe.
 */
public final class RolloutTableCodec {

    private static final JsonProvider JSON = JsonProvider.provider();

    private static final String EXPOSURE_NONE = "none";
    private static final String EXPOSURE_RIGHTS = "rights";
    private static final String EXPOSURE_SHARE = "share";

    private RolloutTableCodec() {}

    // ---- encoding ----

    /** Encodes a table; an empty table is encoded as no bytes. */
    public static byte[] encode(RolloutTable table) {
        if (table.isEmpty()) {
            return new byte[0];
        }
        JsonArrayBuilder services = JSON.createArrayBuilder();
        table.services().values().forEach(service -> services.add(encodeService(service)));
        return JSON.createObjectBuilder()
                .add("Services", services)
                .build()
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private static JsonObjectBuilder encodeService(ServiceVersions service) {
        JsonObjectBuilder encoded =
                JSON.createObjectBuilder()
                        .add("Backend", service.backend())
                        .add("ServingVersion", service.servingVersion());
        service.rollout().ifPresent(rollout -> encoded.add("Rollout", encodeRollout(rollout)));
        return encoded;
    }

    private static JsonObjectBuilder encodeRollout(Rollout rollout) {
        return JSON.createObjectBuilder()
                .add("Id", rollout.id())
                .add("TargetVersion", rollout.targetVersion())
                .add("TermMs", rollout.termMs())
                .add("State", rollout.state().wireName())
                .add("Step", rollout.step())
                .add("ElapsedMs", rollout.elapsedMs())
                .add("Exposure", encodeExposure(rollout.exposure()));
    }

    private static JsonObjectBuilder encodeExposure(Exposure exposure) {
        JsonObjectBuilder encoded = JSON.createObjectBuilder();
        if (exposure instanceof Exposure.AttemptBudget budget) {
            JsonArrayBuilder edges = JSON.createArrayBuilder();
            budget.edgeIncarnations().forEach(edges::add);
            return encoded.add("Kind", EXPOSURE_RIGHTS)
                    .add("Attempts", budget.attempts())
                    .add("Edges", edges)
                    .add("Servers", JSON.createArrayBuilder(budget.serverIds()));
        }
        if (exposure instanceof Exposure.Share share) {
            return encoded.add("Kind", EXPOSURE_SHARE).add("Permille", share.permille());
        }
        return encoded.add("Kind", EXPOSURE_NONE);
    }

    // ---- decoding ----

    /**
     * Decodes a table.
     *
     * @throws MalformedRolloutsException if the bytes are not an encoded table
     */
    public static RolloutTable decode(byte[] encoded) {
        if (encoded.length == 0) {
            return RolloutTable.EMPTY;
        }
        try {
            RolloutTable table = RolloutTable.EMPTY;
            JsonObject document = ConfigReader.parse(encoded);
            for (JsonObject item :
                    document.getJsonArray("Services").getValuesAs(JsonObject.class)) {
                table = table.with(decodeService(item));
            }
            return table;
        } catch (JsonException
                | ClassCastException
                | NullPointerException
                | ArithmeticException
                | IllegalArgumentException e) {
            // Malformed JSON, or a member that is missing, of a wrong type or with an invalid
            // value.
            throw new MalformedRolloutsException(e);
        }
    }

    private static ServiceVersions decodeService(JsonObject item) {
        Optional<Rollout> rollout =
                item.containsKey("Rollout")
                        ? Optional.of(decodeRollout(item.getJsonObject("Rollout")))
                        : Optional.empty();
        return new ServiceVersions(
                item.getString("Backend"), item.getString("ServingVersion"), rollout);
    }

    private static Rollout decodeRollout(JsonObject item) {
        return new Rollout(
                longValue(item, "Id"),
                item.getString("TargetVersion"),
                longValue(item, "TermMs"),
                RolloutState.ofWireName(item.getString("State")),
                longValue(item, "Step"),
                longValue(item, "ElapsedMs"),
                decodeExposure(item.getJsonObject("Exposure")));
    }

    /** Decodes an exposure; one of an unknown kind gives the new version no attempts. */
    private static Exposure decodeExposure(JsonObject item) {
        return switch (item.getString("Kind")) {
            case EXPOSURE_RIGHTS ->
                    new Exposure.AttemptBudget(
                            longValue(item, "Attempts"),
                            item.getJsonArray("Edges")
                                    .getValuesAs((JsonNumber edge) -> edge.longValueExact()),
                            item.getJsonArray("Servers").getValuesAs(JsonString::getString));
            case EXPOSURE_SHARE -> new Exposure.Share(item.getInt("Permille"));
            default -> new Exposure.None();
        };
    }

    private static long longValue(JsonObject item, String key) {
        return item.getJsonNumber(key).longValueExact();
    }
}
