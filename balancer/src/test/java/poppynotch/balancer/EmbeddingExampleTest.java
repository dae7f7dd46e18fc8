package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example, which must compile and run. */
class EmbeddingExampleTest {

    @Test
    void sendsRequestInReadmeExample() {
        RecordingHost recorder = new RecordingHost();
        BalancerActions sidecar = recorder;
        // README: begin
        BalancerSettings settings =
                new BalancerSettings(
                        3,
                        0,
                        0,
                        0,
                        1,
                        false,
                        false,
                        0.1,
                        0,
                        List.of(
                                new RequestClass(
                                        "read",
                                        300,
                                        1000,
                                        1,
                                        0,
                                        Idempotency.REPEATABLE,
                                        DeduplicationScope.ALL,
                                        0,
                                        false)),
                        List.of(),
                        new AttemptLimits(3, true, true, 2000, 250),
                        new ServerRules(0.3, 9000, 3, 1000, 1000, 10_000));
        LoadBalancer balancer = new LoadBalancer(settings, 42, sidecar);

        double now = 0;
        balancer.onServerList(
                now,
                ServerListKind.FULL,
                List.of(
                        new Server("10.0.0.1:80", 0, 0, 0, 0, ServerState.READY, 1),
                        new Server("10.0.0.2:80", 0, 0, 0, 0, ServerState.READY, 1)));
        balancer.onRequest(now, new Request("r1", 0, 0, now + 1000, false));
        // The balancer has called sidecar.send("r1", server, timeoutMs): carry it out, then tell
        // the end.
        balancer.onAttemptFinished(
                now + 12,
                new AttemptResult(
                        "r1", 0, "10.0.0.1:80", AttemptOutcome.OK, 12, true, LoadReport.NONE));
        // README: end
        assertEquals(1, recorder.sent.size());
        assertEquals(0, balancer.openCalls());
    }
}
