package poppynotch.rollout;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against stored rollouts that this version or a later one decodes differently. */
class RolloutTableCodecTest {

    private static final Rollout ORDERED = Rollout.ordered(17, "v2", 12_000);

    private static RolloutTable tableOf(Rollout rollout) {
        return RolloutTable.EMPTY
                .with(ServiceVersions.serving("other", "v9"))
                .with(new ServiceVersions("pool", "v1", Optional.of(rollout)));
    }

    @Test
    void decodesEveryStateAsEncoded() {
        for (Rollout rollout :
                List.of(
                        ORDERED,
                        ORDERED.withExposure(
                                900,
                                new Exposure.AttemptBudget(
                                        40,
                                        List.of(Long.MIN_VALUE, -1L, Long.MAX_VALUE),
                                        List.of("i-é", "i-2"))),
                        ORDERED.withExposure(7000, new Exposure.Share(500)),
                        ORDERED.ended(9000, RolloutState.DONE),
                        ORDERED.ended(9000, RolloutState.ROLLED_BACK))) {
            RolloutTable table = tableOf(rollout);
            assertThat(RolloutTableCodec.decode(RolloutTableCodec.encode(table))).isEqualTo(table);
        }
    }

    @Test
    void emptyTableHasNoBytes() {
        assertThat(RolloutTableCodec.encode(RolloutTable.EMPTY)).isEmpty();
        assertThat(RolloutTableCodec.decode(new byte[0])).isEqualTo(RolloutTable.EMPTY);
    }

    /** The stored bytes are those that the first version with rollouts has written. */
    @Test
    void decodesBytesStoredByFirstVersion() {
        String stored =
                "{\"Services\":[{\"Backend\":\"pool\",\"ServingVersion\":\"v1\",\"Rollout\":{\"Id\":17,"
                    + "\"TargetVersion\":\"v2\",\"TermMs\":12000,\"State\":\"running\",\"Step\":1,"
                    + "\"ElapsedMs\":900,\"Exposure\":{\"Kind\":\"rights\",\"Attempts\":40,"
                    + "\"Edges\":[5],\"Servers\":[\"i-1\"]}}}]}";
        RolloutTable table =
                RolloutTable.EMPTY.with(
                        new ServiceVersions(
                                "pool",
                                "v1",
                                Optional.of(
                                        ORDERED.withExposure(
                                                900,
                                                new Exposure.AttemptBudget(
                                                        40, List.of(5L), List.of("i-1"))))));
        byte[] bytes = stored.getBytes(StandardCharsets.UTF_8);
        assertThat(RolloutTableCodec.decode(bytes)).isEqualTo(table);
        assertThat(RolloutTableCodec.encode(table)).isEqualTo(bytes);
    }

    @Test
    void unknownExposureIsDecodedAsNone() {
        String stored =
                new String(
                        RolloutTableCodec.encode(
                                tableOf(ORDERED.withExposure(1, new Exposure.Share(500)))),
                        StandardCharsets.UTF_8);
        RolloutTable decoded =
                RolloutTableCodec.decode(
                        stored.replace("\"share\"", "\"mirror\"").getBytes(StandardCharsets.UTF_8));
        assertThat(decoded.service("pool").orElseThrow().rollout().orElseThrow().exposure())
                .isEqualTo(new Exposure.None());
    }

    @Test
    void rejectsMalformedBytes() {
        for (String malformed :
                List.of("{", "[]", "{}", "{\"Services\":[{}]}", "{\"Services\":7}")) {
            assertThrows(
                    MalformedRolloutsException.class,
                    () -> RolloutTableCodec.decode(malformed.getBytes(StandardCharsets.UTF_8)));
        }
    }
}
