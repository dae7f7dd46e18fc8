package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** New connections that fail while others are open. */
class ConnectionFailureTrackerTest {

    /**
     * Guards against mistaking slow or failing handshakes for failed servers (incident i190c84).
     */
    @Test
    void keepsUsingOpenConnectionsWhenConnectsFail() {
        Fixture f = Fixture.of(1, 0, 1);
        RecordingHost.SentAttempt pending = f.completeAllButOne(2);
        f.connectFails(pending);
        f.request(Fixture.REPEATABLE);
        f.finish(f.host.last(), AttemptOutcome.OK, 10);
        f.nowMs += 1500;
        for (int i = 0; i < 6; i++) {
            f.request(Fixture.REPEATABLE);
        }
        RecordingHost.SentAttempt again = f.host.last();
        assertEquals(pending.server(), again.server(), "the slot without a connection comes last");
        f.connectFails(again);
        assertEquals(List.of(), f.host.disconnected);
        f.finish(f.host.sent.get(f.host.sent.size() - 6), AttemptOutcome.OK, 10);
        f.request(Fixture.ONCE);
        assertEquals(
                pending.server(),
                f.host.last().server(),
                "a call that must not run twice goes there");
    }
}
