package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The bounded pool of slots. */
class SlotPoolTest {

    @Test
    void reusesFreedSlotBeforeHigherRankedOnes() {
        Fixture f = Fixture.of(3, 0, 1).list(Fixture.servers(5));
        f.request(Fixture.REPEATABLE);
        RecordingHost.SentAttempt first = f.host.last();
        f.request(Fixture.REPEATABLE);
        f.finish(first, AttemptOutcome.OK, 10);
        f.request(Fixture.REPEATABLE);
        assertEquals(first.server(), f.host.last().server());
    }

    @Test
    void rejectsCallsWithoutQueueingWhenPoolIsFull() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(8));
        for (int i = 0; i < 300; i++) {
            f.request(Fixture.REPEATABLE);
        }
        assertEquals(256, f.host.sent.size());
        assertEquals(44, f.host.rejected.size());
        f.finish(f.host.sent.get(0), AttemptOutcome.OK, 10);
        assertEquals(256, f.host.sent.size(), "a rejected call must not be sent later");
    }

    @Test
    void rejectsCallsWhenNoServerIsListed() {
        Fixture f = Fixture.of(1, 0, 0).list(List.of());
        f.request(Fixture.ONCE);
        assertEquals(List.of("r0"), f.host.rejected);
    }
}
