package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Estimates of request classes. */
class RequestClassTableTest {

    /** Guards against a class that loses its estimates because its index has changed. */
    @Test
    void keepsEstimatesByClassNameWhenOrderChanges() {
        BalancerSettings before = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(before).list(Fixture.servers(2));
        for (int i = 0; i < 400; i++) {
            f.nowMs += 50;
            f.request(Fixture.REPEATABLE);
            f.finish(f.host.last(), AttemptOutcome.OK, 20);
        }
        f.request(Fixture.REPEATABLE);
        double timeoutMs = f.host.last().timeoutMs();
        assertTrue(timeoutMs < 1000, "learned timeout in ms: " + timeoutMs);
        f.balancer.onSettings(
                f.nowMs,
                before.withClasses(List.of(before.classes().get(1), before.classes().get(0))));
        f.request(1);
        assertEquals(timeoutMs, f.host.last().timeoutMs(), 1);
    }
}
