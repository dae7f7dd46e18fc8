package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Servers that answer slowly. */
class ServerCostEstimatorTest {

    /**
     * Guards against a crowded or slow server that keeps its callers because it is their lowest
     * rank.
     */
    @Test
    void movesSlowServerBackEvenInItsLowestRanks() {
        Fixture f = Fixture.of(50, 0, 1).list(Fixture.servers(10));
        f.request(Fixture.REPEATABLE);
        String favourite = f.host.last().server();
        int uses = 0;
        for (int i = 0; i < 60; i++) {
            RecordingHost.SentAttempt sent = f.host.last();
            f.now += 100;
            f.finish(sent, AttemptOutcome.OK, sent.server().equals(favourite) ? 700 : 100);
            f.request(Fixture.REPEATABLE);
            uses += i >= 30 && f.host.last().server().equals(favourite) ? 1 : 0;
        }
        assertEquals(0, uses, "calls it still got");
    }
}
