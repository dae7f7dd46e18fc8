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
    void keepsOldListAndRetriesAfterFailedRequest() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(2));
        f.balancer.onServerList(f.nowMs, ServerListKind.FAILED, List.of());
        f.request(Fixture.REPEATABLE);
        assertEquals(1, f.host.sent.size());
        assertEquals(1, f.host.timerDelaysMs.size(), "a retry is scheduled");
    }

    /**
     * Guards against calls to servers that are gone: a balancer is expected to have an update 2 s
     * after a request for it was cut short.
     */
    @Test
    void retriesSoonAfterFailureAndThenBacksOff() {
        List<Double> firstDelaysMs = new ArrayList<>();
        List<Double> lateDelaysMs = new ArrayList<>();
        for (int seed = 0; seed < 40; seed++) {
            RecordingHost host = new RecordingHost();
            LoadBalancer balancer = new LoadBalancer(Fixture.settings(1, 0, 1, true), seed, host);
            balancer.onServerList(0, ServerListKind.FULL, Fixture.servers(2));
            for (int failures = 0; failures < 8; failures++) {
                balancer.onServerList(failures, ServerListKind.FAILED, List.of());
            }
            firstDelaysMs.add(host.timerDelaysMs.get(0));
            lateDelaysMs.add(host.timerDelaysMs.get(7));
            balancer.onServerList(10, ServerListKind.DELTA, List.of());
            balancer.onServerList(11, ServerListKind.FAILED, List.of());
            assertTrue(host.timerDelaysMs.get(8) <= 500, "a successful request resets the backoff");
        }
        assertTrue(
                Collections.max(firstDelaysMs) <= 500,
                "delays after the first failure in ms: " + firstDelaysMs);
        assertTrue(
                Collections.max(lateDelaysMs) <= 4000,
                "delays after eight failures in ms: " + lateDelaysMs);
        assertTrue(
                Collections.max(lateDelaysMs) > 4 * Collections.max(firstDelaysMs),
                "delays after eight failures in ms: " + lateDelaysMs);
        assertTrue(
                firstDelaysMs.stream().distinct().count() == firstDelaysMs.size(),
                "delays must differ, in ms: " + firstDelaysMs);
    }
}
