package poppynotch.fleet.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What is judged bad, by drawn calls, and what a process makes of the stages that it hears of. */
class CanaryAnalysisTest {

    private static final int BLOCKS = 300;

    /** The block at which it is judged bad, or -1. */
    private static int judged(
            long seed, double oldRate, double freshRate, int from, int freshCalls) {
        Random random = new Random(seed);
        CanaryAnalysis judge = new CanaryAnalysis(0.005, 0.01, BLOCKS);
        for (int block = 0; block < BLOCKS; block++) {
            CanaryMetrics.Count calls = new CanaryMetrics.Count(freshCalls, 40);
            double rate = block < from ? oldRate : freshRate;
            judge.block(
                    calls,
                    new CanaryMetrics.Count(
                            draw(random, calls.fresh(), rate), draw(random, calls.old(), oldRate)));
            if (judge.isBad()) {
                return block;
            }
        }
        return -1;
    }

    private static long draw(Random random, long calls, double rate) {
        long bad = 0;
        for (long i = 0; i < calls; i++) {
            bad += random.nextDouble() < rate ? 1 : 0;
        }
        return bad;
    }

    /**
     * The stated chance of a false alarm holds, also at the edge of what is tolerated and where all
     * ail.
     */
    @Test
    void anInnocentVersionIsJudgedBadNoMoreOftenThanStated() {
        for (double[] rates :
                List.of(
                        new double[] {0.01, 0.01},
                        new double[] {0.02, 0.025},
                        new double[] {0.3, 0.3},
                        new double[] {0, 0},
                        new double[] {0.4, 0.01})) {
            int bad = 0;
            for (int seed = 0; seed < 400; seed++) {
                bad += judged(seed, rates[0], rates[1], 0, 10) >= 0 ? 1 : 0;
            }
            assertTrue(bad <= 4, bad + " of 400 at " + rates[0] + " and " + rates[1]);
        }
    }

    @Test
    void harmIsFoundAlsoWhereItBeginsLate() {
        for (int seed = 0; seed < 50; seed++) {
            int atOnce = judged(seed, 0.01, 0.5, 0, 2);
            assertTrue(atOnce >= 0 && atOnce < 20, "seed " + seed + " at " + atOnce);
            int late = judged(seed, 0.01, 0.5, 200, 2);
            assertTrue(late >= 200 && late < 220, "seed " + seed + " at " + late);
        }
    }

    @Test
    void whereOneVersionGetsNoCallsNothingIsKnown() {
        CanaryAnalysis judge = new CanaryAnalysis(0.005, 0.01, BLOCKS);
        for (int block = 0; block < BLOCKS; block++) {
            judge.block(new CanaryMetrics.Count(100, 0), new CanaryMetrics.Count(100, 0));
        }
        assertFalse(judge.isBad());
    }

    private static RolloutStage stage(
            RolloutStage.Phase phase, double part, long token, long step) {
        return new RolloutStage("r", "new", List.of(), phase, 0, part, token, step, "");
    }

    /**
     * A conductor that another has followed changes nothing any more, and a silent one leaves its
     * stage.
     */
    @Test
    void stagesCountByTokenAndHoldForTheirBound() {
        RolloutParticipant stager = new RolloutParticipant();
        assertTrue(stager.hear(0, stage(RolloutStage.Phase.RUNNING, 0.05, 7, 3), 0));
        assertFalse(
                stager.hear(1, stage(RolloutStage.Phase.RUNNING, 0.9, 6, 99), 0), "a lower token");
        assertFalse(
                stager.hear(1, stage(RolloutStage.Phase.RUNNING, 0.9, 7, 3), 0),
                "the same step again");
        assertEquals(0.05, stager.part(RolloutParticipant.HOLD_MS));
        assertEquals(0, stager.part(RolloutParticipant.HOLD_MS + 1), "the safe stage");
        assertTrue(
                stager.hear(
                        RolloutParticipant.HOLD_MS + 2,
                        stage(RolloutStage.Phase.RUNNING, 0.25, 8, 1),
                        1000));
        assertEquals(0.25, stager.part(RolloutParticipant.HOLD_MS * 2 - 998));
        assertEquals(
                0, stager.part(RolloutParticipant.HOLD_MS * 2 - 997), "its age on the way counts");
        assertEquals(null, stager.stage(RolloutParticipant.FORGET_MS * 2));
        assertEquals(1, stager.refused());
    }

    /**
     * Halt and back at once, by two operators, twice: it is back; what was judged bad does not go
     * on.
     */
    @Test
    void haltAndBackMayBeSaidTogetherAndAgain() {
        List<RolloutStage> told = new ArrayList<>();
        RolloutPlan plan =
                new RolloutPlan(
                        "r", "new", List.of(), List.of(0.1, 1.0), 1000, 1, 0.005, 0.02, 0.01, true);
        RolloutController conductor =
                new RolloutController(0, plan, 5, null, told::add, line -> {});
        assertEquals(null, conductor.halt(10));
        assertEquals(null, conductor.back(11));
        assertEquals("the release is back", conductor.halt(12));
        assertEquals(null, conductor.back(13));
        assertEquals(RolloutStage.Phase.BACK, told.get(told.size() - 1).phase());
        assertEquals(0, told.get(told.size() - 1).part());
        RolloutController next =
                new RolloutController(
                        20, plan, 6, told.get(told.size() - 1), told::add, line -> {});
        next.advance(5000, 0);
        assertEquals(
                RolloutStage.Phase.BACK, next.stage().phase(), "the next one begins nothing anew");
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
