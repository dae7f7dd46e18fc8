package poppynotch.lab.added;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What is worked out of blocks. */
class EstimateTest {

    private static final double MS = 1e6;

    /** Of what the histogram keeps: three digits. */
    private static final double RESOLUTION = 0.01;

    /** Calls that take from 1 to 2 ms by the seed, and more by a delay. */
    private static Recorder block(long seed, int count, double delayMs) {
        SplittableRandom random = new SplittableRandom(seed);
        Schedule schedule = new Schedule(0, 100, count);
        Recorder recorder = new Recorder(schedule);
        for (int i = 0; i < count; i++) {
            recorder.over(
                    i,
                    HttpPool.Outcome.SERVED,
                    schedule.at(i) + Math.round((1 + random.nextDouble() + delayMs) * MS));
        }
        return recorder;
    }

    private static List<Estimate.Pair> pairs(int count, double... delays) {
        List<Estimate.Pair> pairs = new ArrayList<>();
        for (int i = 0; i < delays.length; i++) {
            // The same calls both ways, and a machine that is slower in every other pair.
            pairs.add(
                    new Estimate.Pair(block(i, count, i % 2), block(i, count, i % 2 + delays[i])));
        }
        return pairs;
    }

    @Test
    void findsConstantDelayDespiteMachineNoise() {
        List<Estimate.Pair> pairs = pairs(1000, 3, 3, 3, 3);
        for (double part : new double[] {0.5, 0.99, 0.999}) {
            Estimate added = Estimate.added(pairs, part).orElseThrow();
            assertEquals(3, added.value(), RESOLUTION);
            assertTrue(added.high() - added.low() < 4 * RESOLUTION, added.text());
            assertEquals(4, added.n());
        }
        assertEquals(3, Estimate.pooled(pairs, 0.99, 1).orElseThrow().value(), RESOLUTION);
    }

    @Test
    void usesStudentInterval() {
        Estimate estimate = Estimate.of(List.of(1.0, 2.0, 3.0));
        assertEquals(2, estimate.value(), 1e-12);
        // t for two degrees of freedom, 4.3027, over the root of 3.
        assertEquals(2 - 2.4841, estimate.low(), 1e-3);
        assertEquals(2 + 2.4841, estimate.high(), 1e-3);
        assertEquals(new Estimate(5, 5, 5, 1), Estimate.of(List.of(5.0)));
    }

    @Test
    void widensIntervalWhenDelaysDiffer() {
        Estimate added = Estimate.added(pairs(1000, 1, 2, 3), 0.5).orElseThrow();
        assertEquals(2, added.value(), RESOLUTION);
        assertTrue(added.low() < 0 && added.high() > 4, added.text());
        Estimate pooled = Estimate.pooled(pairs(1000, 1, 2, 3), 0.5, 1).orElseThrow();
        assertTrue(pooled.low() < pooled.value() && pooled.value() < pooled.high(), pooled.text());
    }

    @Test
    void returnsNoQuantileWithoutCallAboveIt() {
        assertTrue(Estimate.added(pairs(100, 1, 1), 0.99).isPresent());
        assertFalse(Estimate.added(pairs(99, 1, 1), 0.99).isPresent());
        assertTrue(Estimate.pooled(pairs(99, 1, 1), 0.99, 1).isPresent());
        assertFalse(Estimate.pooled(pairs(49, 1, 1), 0.99, 1).isPresent());
        assertTrue(Estimate.added(pairs(1000, 1, 1), 0.999).isPresent());
        assertFalse(Estimate.added(pairs(999, 1, 1), 0.999).isPresent());
        assertFalse(Estimate.added(List.of(), 0.5).isPresent());
    }

    @Test
    void pooledIntervalIsDeterminedBySeed() {
        assertEquals(
                Estimate.pooled(pairs(200, 1, 2, 3), 0.99, 5),
                Estimate.pooled(pairs(200, 1, 2, 3), 0.99, 5));
    }
}
