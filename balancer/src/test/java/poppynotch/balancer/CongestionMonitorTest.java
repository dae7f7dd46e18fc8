package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which outcomes count as congestion. */
class CongestionMonitorTest {

    /**
     * Guards against one hung server that lowers the limit to a call or two, where it would stay.
     */
    @Test
    void doesNotMistakeHungServerForCongestion() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.servers(4));
        int before = f.callsAdmittedAfterRounds(100, 20);
        List<RecordingHost.SentAttempt> hung = new ArrayList<>();
        int from = f.host.sent.size();
        for (int i = 0; i < before; i++) {
            f.request(Fixture.REPEATABLE);
        }
        List<RecordingHost.SentAttempt> sent =
                List.copyOf(f.host.sent.subList(from, f.host.sent.size()));
        f.nowMs += 100;
        for (RecordingHost.SentAttempt attempt : sent) {
            if (attempt.server().equals(sent.get(0).server())) {
                hung.add(attempt);
            } else {
                f.finish(attempt, AttemptOutcome.OK, 100);
            }
        }
        assertTrue(hung.size() >= 3, hung.size() + " calls hang");
        for (RecordingHost.SentAttempt attempt : hung) {
            f.nowMs += 990;
            f.balancer.onAttemptFinished(
                    f.nowMs,
                    new AttemptResult(
                            attempt.request(),
                            attempt.attempt(),
                            attempt.server(),
                            AttemptOutcome.TIMED_OUT,
                            990,
                            true,
                            LoadReport.NONE));
        }
        int after = f.callsAdmittedAfterRounds(100, 1);
        assertTrue(
                after >= before * 3 / 4,
                before
                        + " calls at once before the hang and "
                        + after
                        + " after, with three of four servers");
    }
}
