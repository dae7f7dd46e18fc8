package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which calls get another attempt, where, and how long an attempt may take. */
class RetryPolicyTest {

    @Test
    void boundsAttemptsAndSendsThemToOtherServers() {
        Fixture f = Fixture.of(2, 0, 1).list(Fixture.servers(6));
        f.request(Fixture.REPEATABLE);
        for (int i = 0; i < 3; i++) {
            f.nowMs += 5;
            f.finish(f.host.last(), AttemptOutcome.FAILED, 5);
        }
        assertEquals(3, f.host.sent.size());
        assertEquals(
                3,
                new HashSet<>(f.host.sent.stream().map(RecordingHost.SentAttempt::server).toList())
                        .size());
        assertEquals(1, f.host.rejected.size());
    }

    @Test
    void doesNotRetryNonIdempotentCallThatMayHaveRun() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.servers(4));
        f.request(Fixture.ONCE);
        f.finish(f.host.last(), AttemptOutcome.RESET, 5);
        assertEquals(1, f.host.sent.size());
        assertEquals(List.of("r0"), f.host.failed);
        assertTrue(f.host.rejected.isEmpty());
    }

    @Test
    void retriesNonIdempotentCallThatNeverRan() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.servers(4));
        f.request(Fixture.ONCE);
        f.finish(f.host.last(), AttemptOutcome.CONNECT_ERROR, 5);
        assertEquals(2, f.host.sent.size());
    }

    @Test
    void repeatsKeyedCallOnlyInsideItsGroupAndWindow() {
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            list.add(Fixture.server("s" + i, i % 3, 0, ServerState.READY));
        }
        Fixture f = Fixture.of(2, 0, 0).list(list);
        f.request(Fixture.BY_CELL);
        int first = f.host.last().server().charAt(1) % 3;
        f.finish(f.host.last(), AttemptOutcome.FAILED, 5);
        assertEquals(2, f.host.sent.size());
        assertEquals(first, f.host.last().server().charAt(1) % 3);
        f.nowMs += 900;
        f.finish(f.host.last(), AttemptOutcome.FAILED, 900);
        assertEquals(2, f.host.sent.size(), "the deduplication window is over");
        assertEquals(
                List.of("r0"), f.host.failed, "a keyed call that may have run is not rejected");
    }

    /**
     * Guards against attempts that go on after the latency target although late responses have no
     * value: the work is wasted, and a failure after the target costs more than one before it.
     */
    @Test
    void timesOutBeforeLatencyTargetWhenLateAnswersHaveNoValue() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.servers(1));
        f.request(Fixture.REPEATABLE);
        f.nowMs += 200;
        f.finish(f.host.last(), AttemptOutcome.QUEUE_FULL, 200);
        for (RecordingHost.SentAttempt sent : f.host.sent) {
            assertTrue(sent.timeoutMs() < 1000, "timeout in ms: " + sent.timeoutMs());
        }
        f.request(Fixture.ONCE);
        assertEquals(3000, f.host.last().timeoutMs(), "a late response has a value in this class");
    }
}
