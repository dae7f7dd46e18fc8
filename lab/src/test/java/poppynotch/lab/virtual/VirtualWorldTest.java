package poppynotch.lab.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import org.junit.jupiter.api.Test;
import poppynotch.lab.TestExperiments;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.measure.Result;
import poppynotch.lab.policy.Policies;

/** Whole days on the virtual clock, seen through what the score and the checker make of them. */
class VirtualWorldTest {

    private static Result play(Experiment experiment, long seed, String policy) {
        return VirtualWorld.play(
                        experiment, seed, policy, Map.of(), clock -> null, false, part -> {})
                .result();
    }

    private static Result play(String faults, String... changes) throws Exception {
        return play(TestExperiments.smallExperiment(faults, changes), 1, "decide");
    }

    private static void assertEveryRequestIsCounted(Result result) {
        Result.Totals t = result.totals();
        assertEquals(t.offered(), t.inTime() + t.late() + t.refused() + t.failed(), t.toString());
        assertTrue(t.offered() > 100, t.toString());
    }

    @Test
    void producesIdenticalResultForSameSeed() throws Exception {
        Experiment e =
                TestExperiments.smallExperiment(
                        "- {kind: zone-lost, at: 2s, for: 1s, zone: b}\n"
                                + "- {kind: release, tier: two, at: 3s, for: 2s, part: 0.5}");
        ObjectMapper json = new ObjectMapper();
        String first = json.writeValueAsString(play(e, 5, "decide"));
        assertEquals(first, json.writeValueAsString(play(e, 5, "decide")));
        assertNotEquals(first, json.writeValueAsString(play(e, 6, "decide")));
    }

    @Test
    void everyPolicyGetsSameRequestsAndBreaksNoRule() throws Exception {
        Experiment e =
                TestExperiments.smallExperiment(
                        "- {kind: crash, at: 2s, for: 1s, part: 0.3}\n"
                                + "- {kind: errors, at: 3s, for: 1s, part: 0.3, share: 0.8}");
        long offered = play(e, 3, "decide").totals().offered();
        for (String policy : Policies.names()) {
            Result result = play(e, 3, policy);
            assertEquals(offered, result.totals().offered(), policy);
            assertEquals(Map.of(), result.rules(), policy + " " + result.broken());
            assertEveryRequestIsCounted(result);
        }
    }

    @Test
    void servesRequestsOnDayWithoutFaults() throws Exception {
        Result result = play("");
        assertEveryRequestIsCounted(result);
        assertTrue(result.whole() > 0.9, String.valueOf(result.whole()));
        assertTrue(result.hasNoViolations(), result.broken().toString());
    }

    @Test
    void eachFaultKindHasItsEffect() throws Exception {
        double calm = play("").whole();
        assertTrue(
                play("- {kind: hang, at: 2s, for: 3s, part: 1, tier: one}").whole() < calm - 0.2);
        assertTrue(
                play("- {kind: slow, at: 1s, for: 5s, factor: 8}").latency().p50()
                        > play("").latency().p50() * 2);
        assertTrue(play("- {kind: resets, at: 1s, for: 3s, share: 0.3}").totals().resets() > 20);
        assertTrue(play("- {kind: garbled, at: 1s, for: 3s, share: 0.3}").totals().garbled() > 20);
        assertTrue(
                play("- {kind: errors, at: 1s, for: 3s, share: 1, part: 0.25}").totals().errors()
                        > 2);
        assertTrue(
                play("- {kind: burst, at: 1s, for: 4s, factor: 2}").totals().offered()
                        > play("").totals().offered() * 1.4);
        assertTrue(
                play("- {kind: sidecars-killed, at: 2s, for: 2s, part: 1}").totals().failed() > 20);
        assertTrue(
                play("- {kind: impatience, at: 1s, for: 3s, delay: 20ms}").totals().tries()
                        > play("").totals().tries() * 1.3);
        Result cut = play("- {kind: zone-cut, at: 2s, for: 2s, zone: b}");
        assertTrue(cut.totals().unconnected() > 0, cut.totals().toString());
        assertTrue(play("- {kind: zone-lost, at: 2s, for: 1s, zone: b}").totals().resets() > 0);
    }

    /**
     * New names come, and what drains gets nothing new: else the rule on drains would be broken.
     */
    @Test
    void releaseReplacesServersWithoutViolation() throws Exception {
        Result result = play("- {kind: release, at: 1s, for: 3s, part: 1}");
        assertEveryRequestIsCounted(result);
        assertTrue(result.nodos().get("two").size() > 4, result.nodos().toString());
        assertTrue(result.hasNoViolations(), result.broken().toString());
    }

    /** Guards against a restart that loses what was taken: SIGTERM lets it be answered. */
    @Test
    void gracefulSidecarRestartLosesNoRequest() throws Exception {
        Result result = play("- {kind: sidecars-restarted, at: 1s, for: 2s, part: 0.5}");
        assertEveryRequestIsCounted(result);
        assertTrue(result.hasNoViolations(), result.broken().toString());
    }

    @Test
    void slowSidecarStartLowersServedValue() throws Exception {
        String killed = "- {kind: sidecars-killed, at: 2s, for: 100ms, part: 1}";
        assertTrue(
                play(killed, "world.sidecar-start", "3s").whole()
                        < play(killed, "world.sidecar-start", "100ms").whole() - 0.2);
    }

    @Test
    void sidecarsConnectToCrashedServersWhileDiscoveryIsDown() throws Exception {
        Result result =
                play(
                        "- {kind: discovery-down, at: 1s, for: 4s}\n"
                                + "- {kind: crash, at: 2s, for: 1s, part: 0.25, tier: two}");
        assertEveryRequestIsCounted(result);
        assertTrue(result.totals().unconnected() > 0, result.totals().toString());
    }
}
