package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Attempts at servers that have become unreachable. */
class StalledAttemptCancellerTest {

    /** Guards against calls that wait for an unresponsive server until they time out. */
    @Test
    void cancelsStalledAttemptsAtUnreachableServer() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(2));
        String read = f.request(Fixture.REPEATABLE);
        String unreachable = f.host.last().server();
        f.request(Fixture.REPEATABLE);
        f.finish(f.host.last(), AttemptOutcome.OK, 10);
        f.request(Fixture.ONCE);
        f.request(Fixture.REPEATABLE);
        RecordingHost.SentAttempt again =
                f.host.sent.stream()
                        .skip(1)
                        .filter(s -> s.server().equals(unreachable))
                        .findFirst()
                        .orElseThrow();
        f.nowMs += 400;
        f.connectFails(again);
        assertEquals(
                List.of(read + "#0"),
                f.host.cancelled,
                "neither a call that must not run twice nor a later one");
        int before = f.host.sent.size();
        f.balancer.onAttemptFinished(
                f.nowMs,
                new AttemptResult(
                        read,
                        0,
                        unreachable,
                        AttemptOutcome.CANCELED,
                        400,
                        false,
                        LoadReport.NONE));
        assertEquals(before + 1, f.host.sent.size());
        assertNotEquals(unreachable, f.host.last().server());
    }
}
