package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Servers that operators take out of service. */
class MaintenanceTableTest {

    /** Guards against maintenance that a list ends, or a restart under another start time. */
    @Test
    void keepsServerOutWhateverListsSay() {
        Fixture f = Fixture.of(1, 0, 0).list(Fixture.servers(2));
        f.balancer.onMaintenance(f.now, "s0", true);
        f.list(Fixture.servers(2));
        f.change(Fixture.server("s0", 0, f.now, ServerState.READY));
        f.change(Fixture.server("s0", 0, f.now, ServerState.GONE));
        f.change(Fixture.server("s0", 0, f.now, ServerState.READY));
        for (int i = 0; i < 20; i++) {
            f.now += 100;
            f.request(Fixture.REPEATABLE);
            assertEquals("s1", f.host.last().server());
            f.finish(f.host.last(), AttemptOutcome.OK, 50);
        }
    }

    /**
     * Maintenance may begin before the list that names its server: it is known from before the
     * start.
     */
    @Test
    void acceptsMaintenanceOfServerThatIsNotListedYet() {
        Fixture f = Fixture.of(1, 0, 0);
        f.balancer.onMaintenance(f.now, "s0", true);
        assertFalse(f.balancer.wasListed("s0"));
        f.list(Fixture.servers(1));
        assertTrue(f.balancer.wasListed("s0"));
        f.request(Fixture.REPEATABLE);
        assertEquals(0, f.host.sent.size());
    }

    /**
     * Guards against a flood: what comes back from maintenance was restarted, and lists report it
     * late.
     */
    @Test
    void warmsUpServerThatIsBackFromMaintenance() {
        Fixture f = Fixture.of(1, 0, 0).list(Fixture.servers(2));
        f.balancer.onMaintenance(f.now, "s0", true);
        f.now += 3000;
        f.balancer.onMaintenance(f.now, "s0", false);
        f.balancer.onMaintenance(f.now, "s0", false);
        f.now += 200;
        int before = f.host.sent.size();
        for (int i = 0; i < 40; i++) {
            f.request(Fixture.REPEATABLE);
        }
        long back = f.host.sent.stream().skip(before).filter(s -> s.server().equals("s0")).count();
        long warm = f.host.sent.size() - before - back;
        assertTrue(
                back > 0 && back < warm, back + " to the cold one, " + warm + " to the warm one");
    }

    /**
     * Guards against a server that stands idle after its maintenance, as few calls come this far
     * down.
     */
    @Test
    void givesNextCallToServerThatIsBackFromMaintenance() {
        for (int own = 0; own < 9; own++) {
            Fixture f = Fixture.of(9, own, 0).list(Fixture.servers(9));
            for (int server = 0; server < 9; server++) {
                String id = "s" + server;
                f.balancer.onMaintenance(f.now, id, true);
                f.now += 3000;
                f.balancer.onMaintenance(f.now, id, false);
                f.now += 200;
                f.request(Fixture.REPEATABLE);
                assertEquals(id, f.host.last().server());
                f.finish(f.host.last(), AttemptOutcome.OK, 50);
                f.now += 20_000;
            }
        }
    }
}
