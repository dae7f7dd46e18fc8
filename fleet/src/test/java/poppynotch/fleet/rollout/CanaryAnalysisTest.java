package poppynotch.fleet.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * The canary analysis on randomly drawn calls, and the stages of a rollout at participants and the
 * controller.
 */
class CanaryAnalysisTest {

    private static final int BLOCKS = 300;

    /** The block at which the canary is judged harmful, or -1. */
    private static int harmfulAtBlock(
            long seed, double baselineRate, double canaryRate, int harmFromBlock, int canaryCalls) {
        Random random = new Random(seed);
        CanaryAnalysis analysis = new CanaryAnalysis(0.005, 0.01, BLOCKS);
        for (int block = 0; block < BLOCKS; block++) {
            CanaryMetrics.Count calls = new CanaryMetrics.Count(canaryCalls, 40);
            double rate = block < harmFromBlock ? baselineRate : canaryRate;
            analysis.addBlock(
                    calls,
                    new CanaryMetrics.Count(
                            drawFaults(random, calls.fresh(), rate),
                            drawFaults(random, calls.old(), baselineRate)));
            if (analysis.isHarmful()) {
                return block;
            }
        }
        return -1;
    }

    private static long drawFaults(Random random, long calls, double rate) {
        long faults = 0;
        for (long i = 0; i < calls; i++) {
            faults += random.nextDouble() < rate ? 1 : 0;
        }
        return faults;
    }

    /**
     * The stated probability of a false alarm holds, also at the edge of what is tolerated and
     * where both versions have many faults.
     */
    @Test
    void harmlessVersionRaisesFalseAlarmsNoMoreOftenThanStated() {
        for (double[] rates :
                List.of(
                        new double[] {0.01, 0.01},
                        new double[] {0.02, 0.025},
                        new double[] {0.3, 0.3},
                        new double[] {0, 0},
                        new double[] {0.4, 0.01})) {
            int falseAlarms = 0;
            for (int seed = 0; seed < 400; seed++) {
                falseAlarms += harmfulAtBlock(seed, rates[0], rates[1], 0, 10) >= 0 ? 1 : 0;
            }
            assertTrue(
                    falseAlarms <= 4, falseAlarms + " of 400 at " + rates[0] + " and " + rates[1]);
        }
    }

    @Test
    void detectsHarmThatBeginsAtOnceOrLate() {
        for (int seed = 0; seed < 50; seed++) {
            int atOnce = harmfulAtBlock(seed, 0.01, 0.5, 0, 2);
            assertTrue(atOnce >= 0 && atOnce < 20, "seed " + seed + " at " + atOnce);
            int late = harmfulAtBlock(seed, 0.01, 0.5, 200, 2);
            assertTrue(late >= 200 && late < 220, "seed " + seed + " at " + late);
        }
    }

    @Test
    void findsNothingWhenOneVersionHasNoCalls() {
        CanaryAnalysis analysis = new CanaryAnalysis(0.005, 0.01, BLOCKS);
        for (int block = 0; block < BLOCKS; block++) {
            analysis.addBlock(new CanaryMetrics.Count(100, 0), new CanaryMetrics.Count(100, 0));
        }
        assertFalse(analysis.isHarmful());
    }

    private static RolloutStage stage(
            RolloutStage.Phase phase, double part, long token, long step) {
        return new RolloutStage("r", "new", List.of(), phase, 0, part, token, step, "");
    }

    /**
     * A controller that was replaced changes nothing any more, and a stage that is not confirmed
     * stays in force for a bounded time.
     */
    @Test
    void participantRejectsStaleStagesAndDropsUnconfirmedOnes() {
        RolloutParticipant participant = new RolloutParticipant();
        assertTrue(participant.hear(0, stage(RolloutStage.Phase.RUNNING, 0.05, 7, 3), 0));
        assertFalse(
                participant.hear(1, stage(RolloutStage.Phase.RUNNING, 0.9, 6, 99), 0),
                "a lower token");
        assertFalse(
                participant.hear(1, stage(RolloutStage.Phase.RUNNING, 0.9, 7, 3), 0),
                "the same step again");
        assertEquals(0.05, participant.part(RolloutParticipant.HOLD_MS));
        assertEquals(
                0,
                participant.part(RolloutParticipant.HOLD_MS + 1),
                "no calls to the canary without a confirmation");
        assertTrue(
                participant.hear(
                        RolloutParticipant.HOLD_MS + 2,
                        stage(RolloutStage.Phase.RUNNING, 0.25, 8, 1),
                        1000));
        assertEquals(0.25, participant.part(RolloutParticipant.HOLD_MS * 2 - 998));
        assertEquals(
                0,
                participant.part(RolloutParticipant.HOLD_MS * 2 - 997),
                "the age at receipt counts");
        assertEquals(null, participant.stage(RolloutParticipant.FORGET_MS * 2));
        assertEquals(1, participant.refused());
    }

    /**
     * Two operators halt and roll back at once, twice: the rollout is rolled back, and the next
     * controller does not resume it.
     */
    @Test
    void rollBackWinsOverHaltAndMayBeRepeated() {
        List<RolloutStage> published = new ArrayList<>();
        RolloutPlan plan =
                new RolloutPlan(
                        "r", "new", List.of(), List.of(0.1, 1.0), 1000, 1, 0.005, 0.02, 0.01, true);
        RolloutController controller =
                new RolloutController(0, plan, 5, null, published::add, line -> {});
        assertEquals(Optional.empty(), controller.halt(10));
        controller.rollBack(11);
        assertEquals(RolloutStage.Phase.BACK, controller.stage().phase());
        assertEquals(Optional.of("the release is back"), controller.halt(12));
        controller.rollBack(13);
        assertEquals(RolloutStage.Phase.BACK, controller.stage().phase());
        assertEquals(RolloutStage.Phase.BACK, published.get(published.size() - 1).phase());
        assertEquals(0, published.get(published.size() - 1).part());
        RolloutController next =
                new RolloutController(
                        20,
                        plan,
                        6,
                        published.get(published.size() - 1),
                        published::add,
                        line -> {});
        next.advance(5000, 0);
        assertEquals(
                RolloutStage.Phase.BACK,
                next.stage().phase(),
                "the next controller continues from the stage");
        next.report(
                5001,
                "a",
                "z",
                1,
                new CanaryMetrics(
                        new CanaryMetrics.Count(5, 5),
                        new CanaryMetrics.Count(9, 0),
                        new CanaryMetrics.Count(0, 0)));
        assertEquals(1L, next.status(5002, 1).get("refused"), "more failures than calls");
    }
}
