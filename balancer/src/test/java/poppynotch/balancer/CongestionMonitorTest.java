package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What counts as crowding. */
class CongestionMonitorTest {

    /**
     * Guards against a limit that one hung server takes down to a call or two, where it would stay.
     */
    @Test
    void doesNotTakeHungServerForCrowding() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.servers(4));
        int before = f.callsAtOnceAfter(100, 20);
        List<RecordingHost.SentAttempt> hung = new ArrayList<>();
        int from = f.host.sent.size();
        for (int i = 0; i < before; i++) {
            f.request(Fixture.REPEATABLE);
        }
        List<RecordingHost.SentAttempt> sent =
                List.copyOf(f.host.sent.subList(from, f.host.sent.size()));
        f.now += 100;
        for (RecordingHost.SentAttempt each : sent) {
            if (each.server().equals(sent.get(0).server())) {
                hung.add(each);
            } else {
                f.finish(each, AttemptOutcome.OK, 100);
            }
        }
        assertTrue(hung.size() >= 3, hung.size() + " calls hang");
        for (RecordingHost.SentAttempt each : hung) {
            f.now += 990;
            f.balancer.onAttemptFinished(
                    f.now,
                    new AttemptResult(
                            each.request(),
                            each.attempt(),
                            each.server(),
                            AttemptOutcome.TIMED_OUT,
                            990,
                            true,
                            LoadReport.NONE));
        }
        int after = f.callsAtOnceAfter(100, 1);
        assertTrue(
                after >= before * 3 / 4,
                before
                        + " calls at once before the hang and "
                        + after
                        + " after, with three of four servers");
    }
}
