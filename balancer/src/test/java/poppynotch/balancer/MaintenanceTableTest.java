package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Servers that operators take out of service. */
class MaintenanceTableTest {

    /** Guards against a list, or a restart with another start time, that ends the maintenance. */
    @Test
    void keepsServerOutWhateverListsSay() {
        Fixture f = Fixture.of(1, 0, 0).list(Fixture.servers(2));
        f.balancer.onMaintenance(f.nowMs, "s0", true);
        f.list(Fixture.servers(2));
        f.change(Fixture.server("s0", 0, f.nowMs, ServerState.READY));
        f.change(Fixture.server("s0", 0, f.nowMs, ServerState.GONE));
        f.change(Fixture.server("s0", 0, f.nowMs, ServerState.READY));
        for (int i = 0; i < 20; i++) {
            f.nowMs += 100;
            f.request(Fixture.REPEATABLE);
            assertEquals("s1", f.host.last().server());
            f.finish(f.host.last(), AttemptOutcome.OK, 50);
        }
    }

    /** Maintenance may be set before a list names its server: it can date from before the start. */
    @Test
    void acceptsMaintenanceOfServerThatIsNotListedYet() {
        Fixture f = Fixture.of(1, 0, 0);
        f.balancer.onMaintenance(f.nowMs, "s0", true);
        assertFalse(f.balancer.wasListed("s0"));
        f.list(Fixture.servers(1));
        assertTrue(f.balancer.wasListed("s0"));
        f.request(Fixture.REPEATABLE);
        assertEquals(0, f.host.sent.size());
    }

    /**
     * Guards against overload of a server that is back from maintenance: it was restarted, and
     * lists report that late.
     */
    @Test
    void warmsUpServerThatIsBackFromMaintenance() {
        Fixture f = Fixture.of(1, 0, 0).list(Fixture.servers(2));
        f.balancer.onMaintenance(f.nowMs, "s0", true);
        f.nowMs += 3000;
        f.balancer.onMaintenance(f.nowMs, "s0", false);
        f.balancer.onMaintenance(f.nowMs, "s0", false);
        f.nowMs += 200;
        int before = f.host.sent.size();
        for (int i = 0; i < 40; i++) {
            f.request(Fixture.REPEATABLE);
        }
        long back = f.host.sent.stream().skip(before).filter(s -> s.server().equals("s0")).count();
        long warm = f.host.sent.size() - before - back;
        assertTrue(
                back > 0 && back < warm,
                back + " calls to the cold server, " + warm + " to the warm one");
    }

    /**
     * Guards against a server that stays idle after its maintenance, as few calls reach its ranks.
     */
    @Test
    void givesNextCallToServerThatIsBackFromMaintenance() {
        for (int own = 0; own < 9; own++) {
            Fixture f = Fixture.of(9, own, 0).list(Fixture.servers(9));
            for (int server = 0; server < 9; server++) {
                String id = "s" + server;
                f.balancer.onMaintenance(f.nowMs, id, true);
                f.nowMs += 3000;
                f.balancer.onMaintenance(f.nowMs, id, false);
                f.nowMs += 200;
                f.request(Fixture.REPEATABLE);
                assertEquals(id, f.host.last().server());
                f.finish(f.host.last(), AttemptOutcome.OK, 50);
                f.nowMs += 20_000;
            }
        }
    }
}
