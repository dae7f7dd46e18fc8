package poppynotch.canary;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against a canary analysis that raises more false alarms than stated, or detects harm late
 * or not at all. The calls are drawn at random.
 */
class CanaryAnalysisTest {

    private static final int BLOCKS = 300;

    /** Returns the block at which the canary is judged harmful, or -1. */
    private static int harmfulAtBlock(
            long seed, double baselineRate, double canaryRate, int harmFromBlock, int canaryCalls) {
        Random random = new Random(seed);
        CanaryAnalysis analysis = new CanaryAnalysis(0.005, 0.01, BLOCKS);
        for (int block = 0; block < BLOCKS; block++) {
            VersionCounts calls = new VersionCounts(canaryCalls, 40);
            double rate = block < harmFromBlock ? baselineRate : canaryRate;
            analysis.addBlock(
                    calls,
                    new VersionCounts(
                            drawFaults(random, calls.canary(), rate),
                            drawFaults(random, calls.baseline(), baselineRate)));
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
     * The stated probability of a false alarm also holds at the tolerated excess and where both
     * versions have many faults.
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
                    falseAlarms <= 4,
                    falseAlarms + " false alarms of 400 at " + rates[0] + " and " + rates[1]);
        }
    }

    @Test
    void detectsHarmThatBeginsAtOnceOrLate() {
        for (int seed = 0; seed < 50; seed++) {
            int atOnce = harmfulAtBlock(seed, 0.01, 0.5, 0, 2);
            assertTrue(atOnce >= 0 && atOnce < 20, "seed " + seed + " at block " + atOnce);
            int late = harmfulAtBlock(seed, 0.01, 0.5, 200, 2);
            assertTrue(late >= 200 && late < 220, "seed " + seed + " at block " + late);
        }
    }

    @Test
    void findsNoHarmWhenBaselineHasNoCalls() {
        CanaryAnalysis analysis = new CanaryAnalysis(0.005, 0.01, BLOCKS);
        for (int block = 0; block < BLOCKS; block++) {
            analysis.addBlock(new VersionCounts(100, 0), new VersionCounts(100, 0));
        }
        assertFalse(analysis.isHarmful());
    }
}
