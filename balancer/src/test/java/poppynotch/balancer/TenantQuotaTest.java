package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tenants beyond their quota. */
class TenantQuotaTest {

    /**
     * Guards against a flood of calls from one tenant: those beyond its quota are rejected first.
     */
    @Test
    void rejectsCallsBeyondQuotaFirst() {
        Fixture f =
                new Fixture(
                        Fixture.settings(
                                10,
                                0,
                                0,
                                true,
                                new Tenant("flood", 10, 0.1),
                                new Tenant("calm", 1000, 0.9)));
        f.list(Fixture.servers(20));
        for (int i = 0; i < 50; i++) {
            f.request(Fixture.REPEATABLE, 0);
        }
        int flooded = f.host.sent.size();
        for (int i = 0; i < 50; i++) {
            f.request(Fixture.REPEATABLE, 1);
        }
        assertTrue(flooded < f.host.sent.size(), "there is room for the tenant within its quota");
        assertEquals(8, f.host.sent.size());
    }

    /**
     * Guards against a flood that takes a small limit's only slot whenever it falls free (h430bb6).
     */
    @Test
    void keepsLastSlotOfSmallLimitFromFloodBeyondQuota() {
        Fixture f =
                new Fixture(
                        Fixture.settings(
                                10,
                                0,
                                0,
                                true,
                                new Tenant("flood", 0, 0.1),
                                new Tenant("calm", 1000, 0.9)));
        f.list(Fixture.servers(4));
        f.request(Fixture.REPEATABLE, 0);
        f.nowMs += 10;
        for (int i = 0; i < 20; i++) {
            f.request(Fixture.REPEATABLE, 0);
        }
        assertTrue(f.host.sent.size() <= 1, "the flood got " + f.host.sent.size());
        f.request(Fixture.REPEATABLE, 1);
        assertEquals("r21", f.host.last().request());
        f.request(Fixture.REPEATABLE, 1);
        assertEquals(
                List.of("r22"),
                f.host.rejected.subList(f.host.rejected.size() - 1, f.host.rejected.size()),
                "the limit is full");
        f.finish(f.host.last(), AttemptOutcome.OK, 10);
        f.nowMs += 500;
        int before = f.host.sent.size();
        f.request(Fixture.REPEATABLE, 0);
        assertEquals(before, f.host.sent.size(), "a call within its quota was rejected just now");
    }
}
