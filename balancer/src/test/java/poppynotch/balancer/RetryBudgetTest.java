package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The bound on the retries of all calls together. */
class RetryBudgetTest {

    @Test
    void boundsRetriesOfManyCallsTogether() {
        Fixture f = Fixture.of(2, 0, 1).list(Fixture.servers(30));
        int calls = 200;
        for (int i = 0; i < calls; i++) {
            f.nowMs += 50;
            String id = f.request(Fixture.REPEATABLE);
            for (int tries = 0;
                    tries < 9
                            && f.host.last().request().equals(id)
                            && !f.host.rejected.contains(id);
                    tries++) {
                f.finish(f.host.last(), AttemptOutcome.FAILED, 5);
            }
        }
        assertTrue(f.host.sent.size() <= calls * 1.2 + 11, "sent " + f.host.sent.size());
    }
}
