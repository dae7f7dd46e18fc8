package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Calls to servers that are warming up. */
class SlowStartTest {

    /**
     * Guards against balancers that send a warming server none of its usual calls, or all of them
     * (h68f2a6).
     */
    @Test
    void givesWarmingServerTheWarmFractionOfItsCalls() {
        List<Server> servers = new ArrayList<>(Fixture.servers(8));
        servers.set(3, Fixture.server("s3", 0, 1_000_000 - 1, ServerState.READY));
        int warming =
                Collections.frequency(Fixture.firstServersOfBalancers(servers, Set.of()), "s3");
        assertTrue(
                warming >= 5 && warming <= 10, warming + " of 25, at three tenths of its capacity");
    }

    /**
     * Guards against many balancers that overload a server that has just started: one call each is
     * too much.
     */
    @Test
    void limitsWarmingServerToTheWarmFractionOfItsArc() {
        int balancers = 100;
        int users = 0;
        for (int index = 0; index < balancers; index++) {
            Fixture f = Fixture.of(balancers, index, 1);
            f.list(
                    List.of(
                            Fixture.server("cold", 0, f.nowMs - 100, ServerState.READY),
                            Fixture.server("warm")));
            for (int i = 0; i < 3; i++) {
                f.request(Fixture.REPEATABLE);
            }
            users += (int) f.host.sent.stream().filter(s -> s.server().equals("cold")).count();
        }
        // With 100 balancers and two servers, a warm server may hold 50 calls, and one with a
        // warmth of 0.3 may hold 15. More are tolerated, as each ring is rounded separately.
        assertTrue(users > 0 && users <= 20, "calls at once " + users);
    }

    /**
     * Guards against warm servers that get all calls while warming ones idle with one call each.
     */
    @Test
    void admitsCallsThatWaitForLowerTiersByWarmth() {
        int[] atOnce = new int[3];
        for (int age = 0; age < 3; age++) {
            BalancerSettings one = Fixture.settings(2, 0, 0, true);
            Fixture f = new Fixture(Fixture.withTiers(one, 3));
            f.list(
                    List.of(
                            Fixture.server(
                                    "cold", 0, f.nowMs - 100 - age * 4000, ServerState.READY),
                            Fixture.server("warm")));
            for (int i = 0; i < 12; i++) {
                f.request(Fixture.REPEATABLE);
            }
            atOnce[age] = (int) f.host.sent.stream().filter(s -> s.server().equals("cold")).count();
        }
        // A warm server holds 4 executing calls x 3 tiers, which is 6 for each of two balancers. A
        // new server gets three tenths of that, and more as it warms up.
        assertEquals(2, atOnce[0]);
        assertTrue(atOnce[1] > atOnce[0] && atOnce[1] < 6, "half warm: " + atOnce[1]);
        assertEquals(6, atOnce[2], "a warm server gets its even part");
    }
}
