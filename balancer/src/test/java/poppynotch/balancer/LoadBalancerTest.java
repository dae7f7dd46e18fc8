package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The balancer as a whole. */
class LoadBalancerTest {

    @Test
    void ignoresEventsForUnknownRequests() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.servers(2));
        f.balancer.onClientGone(f.nowMs, "unknown");
        f.finish(new RecordingHost.SentAttempt("unknown", 0, "s0", 1), AttemptOutcome.OK, 1);
        f.balancer.onStreamStarted(f.nowMs, "unknown", 0);
        f.balancer.onTimer(f.nowMs, 99);
        assertTrue(f.host.sent.isEmpty() && f.host.rejected.isEmpty());
    }

    @Test
    void givesEqualActionsForEqualEvents() {
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Fixture f = Fixture.of(7, 3, 0).list(Fixture.servers(12));
            Random random = new Random(5);
            for (int i = 0; i < 500; i++) {
                f.nowMs += random.nextInt(30);
                f.request(random.nextInt(3));
                if (!f.host.sent.isEmpty() && random.nextBoolean()) {
                    RecordingHost.SentAttempt sent =
                            f.host.sent.get(random.nextInt(f.host.sent.size()));
                    f.finish(sent, AttemptOutcome.values()[random.nextInt(6)], random.nextInt(900));
                }
            }
            runs.add(f.host.actions);
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    /**
     * Guards against settings changes that affect open requests: these keep their class and their
     * maximum attempts.
     */
    @Test
    void openRequestsKeepClassAndAttemptsWhenSettingsChange() {
        BalancerSettings before = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(before).list(Fixture.servers(4));
        String read = f.request(Fixture.REPEATABLE);
        RecordingHost.SentAttempt first = f.host.last();
        BalancerSettings swapped =
                before.withClasses(List.of(before.classes().get(1), before.classes().get(0)));
        f.balancer.onSettings(
                f.nowMs,
                new BalancerSettings(
                        1,
                        0,
                        0,
                        0,
                        1,
                        false,
                        true,
                        0.1,
                        0,
                        swapped.classes(),
                        List.of(),
                        new AttemptLimits(1, true, true, 2000, 200),
                        before.rules()));
        String order = f.request(0);
        RecordingHost.SentAttempt second = f.host.last();
        f.finish(first, AttemptOutcome.RESET, 5);
        assertEquals(read, f.host.last().request());
        assertEquals(
                1,
                f.host.last().attempt(),
                "the open request may be repeated and keeps three attempts");
        f.finish(second, AttemptOutcome.CONNECT_ERROR, 5);
        assertTrue(f.host.rejected.contains(order), "the new request has one attempt");
    }

    /**
     * Guards against slow readers that keep other calls out: a call whose response has started does
     * not count against the limit.
     */
    @Test
    void freesLimitForOthersWhenStreamedResponseBegins() {
        Fixture f = Fixture.of(1, 0, 0).list(Fixture.servers(2));
        while (f.host.rejected.isEmpty()) {
            f.request(Fixture.REPEATABLE);
        }
        int limit = f.host.sent.size();
        RecordingHost.SentAttempt first = f.host.sent.get(0);
        for (RecordingHost.SentAttempt sent : List.copyOf(f.host.sent)) {
            f.balancer.onStreamStarted(f.nowMs, sent.request(), 0);
            f.balancer.onStreamStarted(f.nowMs, sent.request(), 0);
        }
        for (int i = 0; i < limit; i++) {
            f.request(Fixture.REPEATABLE);
        }
        assertEquals(2 * limit, f.host.sent.size());
        f.finish(first, AttemptOutcome.RESET, 5);
        f.request(Fixture.REPEATABLE);
        assertEquals(
                2 * limit,
                f.host.sent.size(),
                "the end of a stream does not free room a second time");
        assertEquals(0, f.host.failed.size(), "the client has its response");
    }
}
