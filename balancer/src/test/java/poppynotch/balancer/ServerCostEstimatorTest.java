package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Servers that respond slowly. */
class ServerCostEstimatorTest {

    /**
     * Guards against an overloaded or slow server that keeps its calls because it has their lowest
     * rank.
     */
    @Test
    void movesSlowServerBackEvenInItsLowestRanks() {
        Fixture f = Fixture.of(50, 0, 1).list(Fixture.servers(10));
        f.request(Fixture.REPEATABLE);
        String firstServer = f.host.last().server();
        int lateCalls = 0;
        for (int i = 0; i < 60; i++) {
            RecordingHost.SentAttempt sent = f.host.last();
            f.nowMs += 100;
            f.finish(sent, AttemptOutcome.OK, sent.server().equals(firstServer) ? 700 : 100);
            f.request(Fixture.REPEATABLE);
            lateCalls += i >= 30 && f.host.last().server().equals(firstServer) ? 1 : 0;
        }
        assertEquals(0, lateCalls, "calls that the slow server still got");
    }
}
