package poppynotch.fleet.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import poppynotch.fleet.lease.LeaseClient;
import poppynotch.fleet.lease.LeaseCommand;
import poppynotch.fleet.lease.LeaseTable;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.rollout.RolloutParticipant;
import poppynotch.fleet.rollout.RolloutStage;
import poppynotch.fleet.sharing.ObservationStore;
import poppynotch.fleet.sharing.QuotaShares;

/**
 * Decodes random bytes, and valid payloads that are truncated or corrupted, as a faulty peer may
 * send them. They must be counted and ignored, and not throw an exception into the event loop.
 */
class MalformedPayloadTest {

    private final RolloutParticipant participant = new RolloutParticipant();
    private final QuotaShares shares = new QuotaShares(new SplittableRandom(1));
    private final ObservationStore store = new ObservationStore("me", 1, 15_000, 100);
    private final CompositePayload payload =
            new CompositePayload()
                    .with("l", new QuotaLoanPayload(shares))
                    .with(RolloutStagePayload.LETTER, new RolloutStagePayload(participant, 1))
                    .with("s", new ObservationPayload(store));

    private static List<byte[]> validPayloads() {
        RolloutParticipant sender = new RolloutParticipant();
        sender.onStage(
                0,
                new RolloutStage(
                        "r",
                        "m2",
                        List.of("s1"),
                        RolloutStage.Phase.RUNNING,
                        1,
                        0.25,
                        7,
                        3,
                        "baked"),
                5);
        ObservationStore observations = new ObservationStore("other", 1, 15_000, 100);
        observations.recordLocal(0, "s1", 5, 1, 2, 1);
        CompositePayload source =
                new CompositePayload()
                        .with(RolloutStagePayload.LETTER, new RolloutStagePayload(sender, 2))
                        .with("s", new ObservationPayload(observations));
        List<byte[]> all = new ArrayList<>();
        for (ByteBuffer buffer :
                List.of(
                        source.nextPayload(10, 1000, 20),
                        CompositePayload.encodeSingle(
                                "l",
                                QuotaLoanPayload.encodeQuestion(
                                        new QuotaShares.LoanRequest("a", "t", 5))),
                        CompositePayload.encodeSingle("l", QuotaLoanPayload.encodeAnswer(5)),
                        CompositePayload.encodeSingle(
                                RolloutStagePayload.LETTER,
                                RolloutStagePayload.encodeQuestion()))) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.duplicate().get(bytes);
            all.add(bytes);
        }
        return all;
    }

    @Test
    void appliesValidPayloads() {
        validPayloads().forEach(bytes -> payload.onPayload(20, ByteBuffer.wrap(bytes), 100));
        assertEquals(0.25, participant.canaryFraction(20));
        assertEquals(
                115,
                participant.stageAgeMs(20),
                "10 ms at the sender and 5 ms before, 100 ms in transit");
        assertEquals(1, store.size());
        assertEquals(
                Message.EMPTY_PAYLOAD,
                payload.onQuestion(20, "a", 1, ByteBuffer.wrap(new byte[0])));
    }

    /** No exception is thrown, the store keeps its limit, and malformed payloads are counted. */
    @Test
    void countsRandomAndCorruptedPayloadsWithoutThrowing() {
        Random random = new Random(5);
        List<byte[]> valid = validPayloads();
        for (int i = 0; i < 40_000; i++) {
            byte[] bytes;
            if (i % 4 == 0) {
                bytes = new byte[random.nextInt(80)];
                random.nextBytes(bytes);
            } else {
                byte[] original = valid.get(random.nextInt(valid.size()));
                bytes =
                        java.util.Arrays.copyOf(
                                original,
                                random.nextInt(4) == 0
                                        ? random.nextInt(original.length)
                                        : original.length);
                for (int changes = random.nextInt(4); changes > 0 && bytes.length > 0; changes--) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
                }
            }
            payload.onPayload(i, ByteBuffer.wrap(bytes), random.nextInt(1000));
            payload.onQuestion(i, "peer", i, ByteBuffer.wrap(bytes));
            payload.onAnswer(i, "peer", i, ByteBuffer.wrap(bytes));
            decodeAnswersAndQuestions(ByteBuffer.wrap(bytes));
        }
        assertTrue(payload.malformed() > 1000);
        assertTrue(store.size() <= 100);
        assertEquals(0, shares.rate(40_000, "t"));
    }

    private static void decodeAnswersAndQuestions(ByteBuffer bytes) {
        try {
            LeaseCodec.decodeQuestion(bytes);
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
        try {
            LeaseCodec.decodeAnswer(bytes);
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
        try {
            RolloutStagePayload.decodeAnswer(bytes);
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
    }

    @Test
    void roundTripsLeaseQuestionsAndAnswers() throws IOException {
        LeaseClient.Request question =
                new LeaseClient.Request(
                        "", new LeaseCommand(LeaseCommand.Kind.RENEW, "d", "m", 5, 1L << 41, 0), 3);
        assertEquals(question, LeaseCodec.decodeQuestion(LeaseCodec.encodeQuestion(question)));
        LeaseClient.Response answer =
                new LeaseClient.Response(
                        true, new LeaseTable.Lease("m", 5, 1L << 41, 9, "x"), "k1");
        assertEquals(answer, LeaseCodec.decodeAnswer(LeaseCodec.encodeAnswer(answer)));
        assertNull(
                LeaseCodec.decodeAnswer(
                                LeaseCodec.encodeAnswer(new LeaseClient.Response(false, null, "")))
                        .lease());
    }
}
