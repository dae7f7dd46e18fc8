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
        f.balancer.onClientGone(f.now, "nobody");
        f.finish(new RecordingHost.SentAttempt("nobody", 0, "s0", 1), AttemptOutcome.OK, 1);
        f.balancer.onStreamStarted(f.now, "nobody", 0);
        f.balancer.onTimer(f.now, 99);
        assertTrue(f.host.sent.isEmpty() && f.host.rejected.isEmpty());
    }

    @Test
    void givesEqualActionsForEqualEvents() {
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Fixture f = Fixture.of(7, 3, 0).list(Fixture.servers(12));
            Random random = new Random(5);
            for (int i = 0; i < 500; i++) {
                f.now += random.nextInt(30);
                f.request(random.nextInt(3));
                if (!f.host.sent.isEmpty() && random.nextBoolean()) {
                    RecordingHost.SentAttempt sent =
                            f.host.sent.get(random.nextInt(f.host.sent.size()));
                    f.finish(sent, AttemptOutcome.values()[random.nextInt(6)], random.nextInt(900));
                }
            }
            runs.add(f.host.all);
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    /**
     * Guards against rules that change under a request: an open request keeps its class and its
     * attempts.
     */
    @Test
    void openRequestsKeepClassAndAttemptsWhenSettingsChange() {
        BalancerSettings before = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(before).list(Fixture.servers(4));
        String read = f.request(Fixture.REPEATABLE);
        RecordingHost.SentAttempt first = f.host.last();
        BalancerSettings turned =
                before.withClasses(List.of(before.classes().get(1), before.classes().get(0)));
        f.balancer.onSettings(
                f.now,
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
                        turned.classes(),
                        List.of(),
                        new AttemptLimits(1, true, true, 2000, 200),
                        before.rules()));
        String order = f.request(0);
        RecordingHost.SentAttempt second = f.host.last();
        f.finish(first, AttemptOutcome.RESET, 5);
        assertEquals(read, f.host.last().request());
        assertEquals(1, f.host.last().attempt(), "it is safe to repeat, and had three attempts");
        f.finish(second, AttemptOutcome.CONNECT_ERROR, 5);
        assertTrue(f.host.rejected.contains(order), "the new one has one attempt");
    }

    /**
     * Guards against slow readers that keep others out: a call whose answer has begun is not at
     * work.
     */
    @Test
    void freesLimitForOthersWhenStreamedAnswerBegins() {
        Fixture f = Fixture.of(1, 0, 0).list(Fixture.servers(2));
        while (f.host.rejected.isEmpty()) {
            f.request(Fixture.REPEATABLE);
        }
        int most = f.host.sent.size();
        RecordingHost.SentAttempt first = f.host.sent.get(0);
        for (RecordingHost.SentAttempt sent : List.copyOf(f.host.sent)) {
            f.balancer.onStreamStarted(f.now, sent.request(), 0);
            f.balancer.onStreamStarted(f.now, sent.request(), 0);
        }
        for (int i = 0; i < most; i++) {
            f.request(Fixture.REPEATABLE);
        }
        assertEquals(2 * most, f.host.sent.size());
        f.finish(first, AttemptOutcome.RESET, 5);
        f.request(Fixture.REPEATABLE);
        assertEquals(
                2 * most, f.host.sent.size(), "the end of a stream makes no room a second time");
        assertEquals(0, f.host.failed.size(), "it has had its answer");
    }
}
