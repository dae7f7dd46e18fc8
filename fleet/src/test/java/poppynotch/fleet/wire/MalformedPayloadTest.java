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

/** Payloads of faulty peers: random bytes, and valid payloads that are truncated or corrupted. */
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
        sender.hear(
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
        observations.saw(0, "s1", 5, 1, 2, 1);
        CompositePayload from =
                new CompositePayload()
                        .with(RolloutStagePayload.LETTER, new RolloutStagePayload(sender, 2))
                        .with("s", new ObservationPayload(observations));
        List<byte[]> all = new ArrayList<>();
        for (ByteBuffer one :
                List.of(
                        from.next(10, 1000, 20),
                        CompositePayload.wrapped(
                                "l",
                                QuotaLoanPayload.question(new QuotaShares.Question("a", "t", 5))),
                        CompositePayload.wrapped("l", QuotaLoanPayload.answer(5)),
                        CompositePayload.wrapped(
                                RolloutStagePayload.LETTER, RolloutStagePayload.question()))) {
            byte[] bytes = new byte[one.remaining()];
            one.duplicate().get(bytes);
            all.add(bytes);
        }
        return all;
    }

    @Test
    void appliesValidPayloads() {
        validPayloads().forEach(bytes -> payload.hear(20, ByteBuffer.wrap(bytes), 100));
        assertEquals(0.25, participant.part(20));
        assertEquals(
                115,
                participant.ageMs(20),
                "10 ms at the sender and 5 ms before, 100 ms in transit");
        assertEquals(1, store.size());
        assertEquals(Message.NOTHING, payload.asked(20, "a", 1, ByteBuffer.wrap(new byte[0])));
    }

    /** Nothing is thrown, no store grows, and payloads that cannot be decoded are counted. */
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
                byte[] from = valid.get(random.nextInt(valid.size()));
                bytes =
                        java.util.Arrays.copyOf(
                                from,
                                random.nextInt(4) == 0 ? random.nextInt(from.length) : from.length);
                for (int changes = random.nextInt(4); changes > 0 && bytes.length > 0; changes--) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
                }
            }
            payload.hear(i, ByteBuffer.wrap(bytes), random.nextInt(1000));
            payload.asked(i, "peer", i, ByteBuffer.wrap(bytes));
            payload.told(i, "peer", i, ByteBuffer.wrap(bytes));
            readAll(ByteBuffer.wrap(bytes));
        }
        assertTrue(payload.unreadable() > 1000);
        assertTrue(store.size() <= 100);
        assertEquals(0, shares.rate(40_000, "t"));
    }

    private static void readAll(ByteBuffer bytes) {
        try {
            LeaseCodec.question(bytes);
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
        try {
            LeaseCodec.answer(bytes);
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
        try {
            RolloutStagePayload.report(bytes);
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
    }

    @Test
    void roundTripsLeaseQuestionsAndAnswers() throws IOException {
        LeaseClient.Question question =
                new LeaseClient.Question(
                        "", new LeaseCommand(LeaseCommand.Kind.RENEW, "d", "m", 5, 1L << 41, 0), 3);
        assertEquals(question, LeaseCodec.question(LeaseCodec.question(question)));
        LeaseClient.Answer answer =
                new LeaseClient.Answer(true, new LeaseTable.Lease("m", 5, 1L << 41, 9, "x"), "k1");
        assertEquals(answer, LeaseCodec.answer(LeaseCodec.answer(answer)));
        assertNull(
                LeaseCodec.answer(LeaseCodec.answer(new LeaseClient.Answer(false, null, "")))
                        .duty());
    }
}
