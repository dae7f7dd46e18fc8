package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The limit while servers are ejected. */
class UsableCapacityTest {

    /** Guards against servers that are overloaded by the calls of others that have failed. */
    @Test
    void givesRemainingServersOnlyTheirPartOfTheCalls() {
        Fixture failing = Fixture.of(2, 0, 0).list(Fixture.servers(4));
        Fixture listed = Fixture.of(2, 0, 0).list(Fixture.servers(4));
        for (int i = 0; i < 60; i++) {
            failing.nowMs += 30;
            failing.request(Fixture.REPEATABLE);
            boolean cutOff = Set.of("s0", "s1").contains(failing.host.last().server());
            failing.finish(
                    failing.host.last(),
                    cutOff ? AttemptOutcome.CONNECT_ERROR : AttemptOutcome.OK,
                    10);
        }
        listed.list(Fixture.servers(2));
        for (Fixture f : List.of(failing, listed)) {
            f.nowMs += 70;
            int before = f.host.sent.size();
            for (int i = 0; i < 20; i++) {
                f.request(Fixture.REPEATABLE);
            }
            int taken = f.host.sent.size() - before;
            assertTrue(
                    taken >= 4 && taken <= 5,
                    taken + " admitted, but four servers take eight calls, and two are left");
        }
        // A list that is empty for a while leaves no capacity to scale the limit by.
        listed.list(List.of());
        listed.list(Fixture.servers(4));
        listed.nowMs += 70;
        int before = listed.host.sent.size();
        for (int i = 0; i < 20; i++) {
            listed.request(Fixture.REPEATABLE);
        }
        assertEquals(
                4,
                listed.host.sent.size() - before,
                "four more, eight in all, once the servers are back");
    }

    /**
     * Guards against a limit that counts ejected servers, or that stays low once they have
     * recovered.
     */
    @Test
    void limitFollowsServersOnAndOffProbation() {
        Fixture f = Fixture.of(1, 0, 0).list(Fixture.servers(4));
        f.nowMs += 1000;
        f.balancer.onTimer(f.nowMs, 2);
        double all = f.balancer.limit();
        f.request(Fixture.ONCE);
        String failedServer = f.host.last().server();
        f.finish(f.host.last(), AttemptOutcome.FAILED, 5);
        f.nowMs += 150;
        f.balancer.onTimer(f.nowMs, 2);
        assertEquals(all * 3 / 4, f.balancer.limit(), 1e-9);
        for (int i = 0; i < 200 && f.balancer.limit() < all; i++) {
            f.nowMs += 150;
            f.request(Fixture.REPEATABLE);
            f.finish(f.host.last(), AttemptOutcome.OK, 5);
        }
        assertTrue(
                f.host.sent.stream().filter(sent -> sent.server().equals(failedServer)).count()
                        > 1);
        assertTrue(f.balancer.limit() >= all, f.balancer.limit() + " of " + all);
    }
}
