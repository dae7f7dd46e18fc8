package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Calls that move away from overloaded servers. */
class CascadeGuardTest {

    /**
     * Guards against calls that leave overloaded servers and overload the next ones in turn
     * (incident i495c4c).
     */
    @Test
    void keepsCallsThatLeaveOverloadedServersFromOverloadingOthers() {
        Fixture f = Fixture.of(100, 0, 0).list(Fixture.servers(10));
        for (int i = 0; i < 3; i++) {
            f.callsAdmittedOfTen(100);
        }
        for (int i = 0; i < 2; i++) {
            f.request(Fixture.REPEATABLE);
            for (int attempt = 0; attempt < 3; attempt++) {
                f.finish(f.host.last(), AttemptOutcome.QUEUE_FULL, 1);
            }
        }
        int sent = f.host.sent.size();
        f.request(Fixture.REPEATABLE);
        assertEquals(sent, f.host.sent.size(), "six servers are full: a seventh is not tried");
        f.nowMs += 60_000;
        f.callsAdmittedOfTen(100);
        assertTrue(f.host.sent.size() > sent, "calls are sent again once the servers are not full");
    }
}
