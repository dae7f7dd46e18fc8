package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests for the list of servers. */
class ServerListRequesterTest {

    @Test
    void keepsOldListAndAsksAgainAfterFailedRequest() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(2));
        f.balancer.onServerList(f.now, ServerListKind.FAILED, List.of());
        f.request(Fixture.REPEATABLE);
        assertEquals(1, f.host.sent.size());
        assertEquals(1, f.host.timers.size(), "it asks again later");
    }

    /**
     * Guards against sends to servers that are gone: an update counts as announced 2 s after a
     * request was cut short.
     */
    @Test
    void asksAgainSoonAfterFailureAndThenBacksOff() {
        List<Double> first = new ArrayList<>();
        List<Double> late = new ArrayList<>();
        for (int seed = 0; seed < 40; seed++) {
            RecordingHost host = new RecordingHost();
            LoadBalancer balancer = new LoadBalancer(Fixture.settings(1, 0, 1, true), seed, host);
            balancer.onServerList(0, ServerListKind.FULL, Fixture.servers(2));
            for (int failures = 0; failures < 8; failures++) {
                balancer.onServerList(failures, ServerListKind.FAILED, List.of());
            }
            first.add(host.timers.get(0));
            late.add(host.timers.get(7));
            balancer.onServerList(10, ServerListKind.DELTA, List.of());
            balancer.onServerList(11, ServerListKind.FAILED, List.of());
            assertTrue(host.timers.get(8) <= 500, "a call that succeeded ends the backing off");
        }
        assertTrue(Collections.max(first) <= 500, "the first comes soon: " + first);
        assertTrue(Collections.max(late) <= 4000, "however many failed: " + late);
        assertTrue(
                Collections.max(late) > 4 * Collections.max(first), "later ones back off: " + late);
        assertTrue(first.stream().distinct().count() == first.size(), "no two together: " + first);
    }
}
