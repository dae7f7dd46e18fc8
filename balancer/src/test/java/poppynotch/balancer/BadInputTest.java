package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Invalid arguments are rejected before any action, with a message that names the field and value.
 */
class BadInputTest {

    private static void assertRejected(String field, Object value, Executable call) {
        String message = assertThrows(IllegalArgumentException.class, call).getMessage();
        assertTrue(message.contains(field) && message.contains(String.valueOf(value)), message);
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void rejectsInvalidNumbersByName(double bad) {
        assertRejected(
                "classes[].aim",
                bad,
                () ->
                        new RequestClass(
                                "c",
                                bad,
                                1000,
                                1,
                                0,
                                Idempotency.ONCE,
                                DeduplicationScope.ALL,
                                0,
                                false));
        assertRejected(
                "classes[].deadline",
                bad,
                () ->
                        new RequestClass(
                                "c",
                                100,
                                bad,
                                1,
                                0,
                                Idempotency.ONCE,
                                DeduplicationScope.ALL,
                                0,
                                false));
        assertRejected(
                "classes[].worth",
                bad,
                () ->
                        new RequestClass(
                                "c",
                                100,
                                1000,
                                bad,
                                0,
                                Idempotency.ONCE,
                                DeduplicationScope.ALL,
                                0,
                                false));
        assertRejected(
                "limits.connectTimeout", bad, () -> new AttemptLimits(3, true, true, 2000, bad));
        assertRejected("limits.maxCoolDown", bad, () -> new AttemptLimits(3, true, true, bad, 200));
        assertRejected(
                "rules.coldShare", bad, () -> new ServerRules(bad, 8000, 3, 1000, 1000, 10_000));
        assertRejected("rules.coldMs", bad, () -> new ServerRules(0.3, bad, 3, 1000, 1000, 10_000));
        assertRejected(
                "rules.askWithin", bad, () -> new ServerRules(0.3, 8000, 3, 1000, 1000, bad));
        assertRejected("tenants[].allowance", bad, () -> new Tenant("t", bad, 1));
        assertRejected(
                "server.weight", bad, () -> new Server("s", 0, 0, 0, 0, ServerState.READY, bad));
        assertRejected(
                "finished.took",
                bad,
                () ->
                        new AttemptResult(
                                "r", 0, "s", AttemptOutcome.OK, bad, true, LoadReport.NONE));
    }

    @Test
    void rejectsMissingValuesByName() {
        assertRejected("request.id", null, () -> new Request(null, 0, 0, 1000, false));
        assertRejected(
                "request.deadline", Double.NaN, () -> new Request("r", 0, 0, Double.NaN, false));
        assertRejected(
                "finished.outcome",
                null,
                () -> new AttemptResult("r", 0, "s", null, 5, true, LoadReport.NONE));
        assertRejected(
                "finished.attempt",
                -1,
                () -> new AttemptResult("r", -1, "s", AttemptOutcome.OK, 5, true, LoadReport.NONE));
        assertRejected("server.id", null, () -> new Server(null, 0, 0, 0, 0, ServerState.READY, 1));
        assertRejected("server.state", null, () -> new Server("s", 0, 0, 0, 0, null, 1));
    }

    @Test
    void rejectsInvalidRequestWithoutSideEffects() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.servers(3));
        String first = f.request(Fixture.REPEATABLE);
        f.nowMs += 60_000;
        List<String> before = List.copyOf(f.host.actions);
        assertRejected(
                "class",
                9,
                () -> f.balancer.onRequest(f.nowMs, new Request("x", 9, 0, f.nowMs + 100, false)));
        assertRejected(
                "tenant",
                5,
                () -> f.balancer.onRequest(f.nowMs, new Request("x", 0, 5, f.nowMs + 100, false)));
        assertRejected(
                first,
                "in hand",
                () ->
                        f.balancer.onRequest(
                                f.nowMs, new Request(first, 0, 0, f.nowMs + 100, false)));
        assertEquals(before, f.host.actions);
        assertEquals(1, f.balancer.openCalls());
    }

    @Test
    void answersCorrectlyForExtremeButValidFleets() {
        for (List<Server> list :
                List.of(
                        List.<Server>of(),
                        List.of(Fixture.server("d", 0, 0, ServerState.DRAINING)))) {
            Fixture f = Fixture.of(1, 0, 0).list(list);
            String rejected = f.request(Fixture.ONCE);
            assertEquals(List.of(rejected), f.host.rejected);
            assertTrue(f.host.sent.isEmpty());
        }
        Fixture many = Fixture.of(5000, 4999, 0).list(Fixture.servers(1));
        many.request(Fixture.ONCE);
        assertEquals("s0", many.host.last().server());
    }
}
