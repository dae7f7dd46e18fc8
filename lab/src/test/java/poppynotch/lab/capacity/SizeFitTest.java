package poppynotch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Known slopes are found, and no more is claimed than the data hold. */
class SizeFitTest {

    private static final List<Integer> SIZES = List.of(54, 108, 215, 430, 860, 1720);
    private static final int DRAWS = 400;

    private static TreeMap<Integer, Double> drawn(
            SplittableRandom random, DoubleUnaryOperator of, double noise) {
        TreeMap<Integer, Double> values = new TreeMap<>();
        SIZES.forEach(
                size -> values.put(size, of.applyAsDouble(size) + noise * random.nextGaussian()));
        return values;
    }

    private static double log2(double size) {
        return Math.log(size) / Math.log(2);
    }

    @Test
    void aLineIsFoundExactly() {
        SizeFit fit = SizeFit.of(drawn(new SplittableRandom(1), size -> 300 + 0.5 * size, 0));
        assertEquals(SizeFit.Model.LINEAR, fit.model());
        assertEquals(SizeFit.Trend.RISING, fit.trend());
        assertEquals(0.5, fit.slope().value(), 1e-9);
        assertEquals(300 + 2150, fit.at(4300).value(), 1e-6);
    }

    @Test
    void aLogarithmIsToldFromALine() {
        SizeFit fit = SizeFit.of(drawn(new SplittableRandom(1), size -> 20 + 7 * log2(size), 0));
        assertEquals(SizeFit.Model.LOGARITHMIC, fit.model());
        assertEquals(7, fit.slope().value(), 1e-9);
        assertEquals(20 + 7 * log2(4300), fit.at(4300).value(), 1e-6);
    }

    @Test
    void whatFallsIsFalling() {
        assertEquals(
                SizeFit.Trend.FALLING,
                SizeFit.of(drawn(new SplittableRandom(1), size -> 300 - 0.1 * size, 1)).trend());
    }

    /**
     * Of 400 draws with noise, 95 in 100 intervals are to hold the truth: 380 on average, 5 either
     * way.
     */
    @Test
    void intervalsHoldTheTruthAsOftenAsTheySay() {
        SplittableRandom random = new SplittableRandom(32);
        int slopes = 0;
        int runs = 0;
        for (int i = 0; i < DRAWS; i++) {
            SizeFit fit = SizeFit.of(drawn(random, size -> 600 + 2 * size, 40));
            assertEquals(SizeFit.Model.LINEAR, fit.model());
            slopes += holds(fit.slope(), 2) ? 1 : 0;
            runs += holds(fit.at(4300), 600 + 2 * 4300 + 40 * random.nextGaussian()) ? 1 : 0;
        }
        assertTrue(slopes >= 360 && slopes <= 396, slopes + " slopes");
        assertTrue(runs >= 360 && runs <= 396, runs + " runs");
    }

    private static boolean holds(SizeFit.Estimate estimate, double truth) {
        return estimate.low() <= truth && truth <= estimate.high();
    }

    @Test
    void whatDoesNotGrowIsLevel() {
        SplittableRandom random = new SplittableRandom(32);
        int level = 0;
        for (int i = 0; i < DRAWS; i++) {
            level +=
                    SizeFit.of(drawn(random, size -> 600, 40)).trend() == SizeFit.Trend.LEVEL
                            ? 1
                            : 0;
        }
        // The better of two models is taken, so a little under 95 in 100.
        assertTrue(level >= 350, level + " of " + DRAWS);
        assertEquals(
                SizeFit.Trend.LEVEL,
                SizeFit.of(new TreeMap<>(Map.of(1, 5.0, 2, 5.0, 3, 5.0))).trend());
    }

    @Test
    void aPredictionIsTheLessSureTheFurtherItIs() {
        SizeFit fit = SizeFit.of(drawn(new SplittableRandom(7), size -> 600 + 2 * size, 40));
        double near = fit.at(430).high() - fit.at(430).low();
        assertTrue(fit.at(4300).high() - fit.at(4300).low() > near);
    }

    @Test
    void nonsenseIsRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> SizeFit.of(new TreeMap<>(Map.of(1, 1.0, 2, 2.0))));
        assertThrows(
                IllegalArgumentException.class,
                () -> SizeFit.of(new TreeMap<>(Map.of(0, 1.0, 2, 2.0, 3, 3.0))));
        assertThrows(
                IllegalArgumentException.class,
                () -> SizeFit.of(new TreeMap<>(Map.of(1, Double.NaN, 2, 2.0, 3, 3.0))));
    }
}
