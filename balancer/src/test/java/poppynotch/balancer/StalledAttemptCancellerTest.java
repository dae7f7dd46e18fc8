package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Attempts at servers that cannot be reached any more. */
class StalledAttemptCancellerTest {

    /** Guards against calls that wait on a silent server until their time is over (zone+vast). */
    @Test
    void cancelsStalledAttemptsAtUnreachableServer() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(2));
        String read = f.request(Fixture.REPEATABLE);
        String silent = f.host.last().server();
        f.request(Fixture.REPEATABLE);
        f.finish(f.host.last(), AttemptOutcome.OK, 10);
        f.request(Fixture.ONCE);
        f.request(Fixture.REPEATABLE);
        RecordingHost.SentAttempt again =
                f.host.sent.stream()
                        .skip(1)
                        .filter(s -> s.server().equals(silent))
                        .findFirst()
                        .orElseThrow();
        f.now += 400;
        f.connectFails(again);
        assertEquals(
                List.of(read + "#0"),
                f.host.cancelled,
                "no call that must not run twice, none later");
        int before = f.host.sent.size();
        f.balancer.onAttemptFinished(
                f.now,
                new AttemptResult(
                        read, 0, silent, AttemptOutcome.CANCELED, 400, false, LoadReport.NONE));
        assertEquals(before + 1, f.host.sent.size());
        assertNotEquals(silent, f.host.last().server());
    }
}
