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
import poppynotch.fleet.lease.Command;
import poppynotch.fleet.lease.DutyClient;
import poppynotch.fleet.lease.Ledger;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.rollout.Stage;
import poppynotch.fleet.rollout.Stager;
import poppynotch.fleet.sharing.Shares;
import poppynotch.fleet.sharing.SightingStore;

/**
 * Shared state that peers in error send: random bytes, and good ones with some changed or cut off.
 */
class StrangeRidersTest {

    private final Stager stager = new Stager();
    private final Shares shares = new Shares(new SplittableRandom(1));
    private final SightingStore store = new SightingStore("me", 1, 15_000, 100);
    private final Riders riders =
            new Riders()
                    .with("l", new LoanDesk(shares))
                    .with(StageRider.LETTER, new StageRider(stager, 1))
                    .with("s", new SightingRider(store));

    private static List<byte[]> good() {
        Stager told = new Stager();
        told.hear(
                0,
                new Stage("r", "m2", List.of("s1"), Stage.Phase.RUNNING, 1, 0.25, 7, 3, "baked"),
                5);
        SightingStore seen = new SightingStore("other", 1, 15_000, 100);
        seen.saw(0, "s1", 5, 1, 2, 1);
        Riders from =
                new Riders()
                        .with(StageRider.LETTER, new StageRider(told, 2))
                        .with("s", new SightingRider(seen));
        List<byte[]> all = new ArrayList<>();
        for (ByteBuffer one :
                List.of(
                        from.next(10, 1000, 20),
                        Riders.wrapped("l", LoanDesk.question(new Shares.Question("a", "t", 5))),
                        Riders.wrapped("l", LoanDesk.answer(5)),
                        Riders.wrapped(StageRider.LETTER, StageRider.question()))) {
            byte[] bytes = new byte[one.remaining()];
            one.duplicate().get(bytes);
            all.add(bytes);
        }
        return all;
    }

    @Test
    void whatIsGoodIsTakenUp() {
        good().forEach(bytes -> riders.hear(20, ByteBuffer.wrap(bytes), 100));
        assertEquals(0.25, stager.part(20));
        assertEquals(115, stager.ageMs(20), "held for 10 ms and 5 before, 100 under way");
        assertEquals(1, store.size());
        assertEquals(Message.NOTHING, riders.asked(20, "a", 1, ByteBuffer.wrap(new byte[0])));
    }

    /** Nothing is thrown, and nothing grows; what cannot be read is counted. */
    @Test
    void randomAndSpoiltBytesDoNoHarm() {
        Random random = new Random(5);
        List<byte[]> good = good();
        for (int i = 0; i < 40_000; i++) {
            byte[] bytes;
            if (i % 4 == 0) {
                bytes = new byte[random.nextInt(80)];
                random.nextBytes(bytes);
            } else {
                byte[] from = good.get(random.nextInt(good.size()));
                bytes =
                        java.util.Arrays.copyOf(
                                from,
                                random.nextInt(4) == 0 ? random.nextInt(from.length) : from.length);
                for (int changes = random.nextInt(4); changes > 0 && bytes.length > 0; changes--) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
                }
            }
            riders.hear(i, ByteBuffer.wrap(bytes), random.nextInt(1000));
            riders.asked(i, "peer", i, ByteBuffer.wrap(bytes));
            riders.told(i, "peer", i, ByteBuffer.wrap(bytes));
            readAll(ByteBuffer.wrap(bytes));
        }
        assertTrue(riders.unreadable() > 1000);
        assertTrue(store.size() <= 100);
        assertEquals(0, shares.rate(40_000, "t"));
    }

    private static void readAll(ByteBuffer bytes) {
        try {
            DutyCodec.question(bytes);
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
        try {
            DutyCodec.answer(bytes);
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
        try {
            StageRider.report(bytes);
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
    }

    @Test
    void questionsAndAnswersOfDutiesComeBackAsTheyWere() throws IOException {
        DutyClient.Question question =
                new DutyClient.Question(
                        "", new Command(Command.Kind.RENEW, "d", "m", 5, 1L << 41, 0), 3);
        assertEquals(question, DutyCodec.question(DutyCodec.question(question)));
        DutyClient.Answer answer =
                new DutyClient.Answer(true, new Ledger.Duty("m", 5, 1L << 41, 9, "x"), "k1");
        assertEquals(answer, DutyCodec.answer(DutyCodec.answer(answer)));
        assertNull(
                DutyCodec.answer(DutyCodec.answer(new DutyClient.Answer(false, null, ""))).duty());
    }
}
