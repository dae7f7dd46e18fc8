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
     * Guards against warming servers that send all of their calls to others, or take them all
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
        // Its even part of 100 balancers is 50, and 15 at its warmth of 0.3; each ring is rounded
        // separately.
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
        // Half of four executing calls over three tiers is six per balancer: three tenths of it at
        // first, and more as the server warms up.
        assertEquals(2, atOnce[0]);
        assertTrue(atOnce[1] > atOnce[0] && atOnce[1] < 6, "half warm: " + atOnce[1]);
        assertEquals(6, atOnce[2], "a warm server gets its even part");
    }
}
