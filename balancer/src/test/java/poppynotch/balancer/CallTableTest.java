package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Final responses of calls. */
class CallTableTest {

    @Test
    void givesNoFinalResponseAfterClientIsGone() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.servers(4));
        String id = f.request(Fixture.REPEATABLE);
        RecordingHost.SentAttempt sent = f.host.last();
        f.balancer.onClientGone(f.nowMs, id);
        f.finish(sent, AttemptOutcome.CANCELED, 5);
        f.finish(sent, AttemptOutcome.FAILED, 6);
        assertEquals(1, f.host.sent.size());
        assertTrue(f.host.rejected.isEmpty() && f.host.failed.isEmpty());
        assertEquals(List.of("r0#0"), f.host.cancelled);
    }
}
