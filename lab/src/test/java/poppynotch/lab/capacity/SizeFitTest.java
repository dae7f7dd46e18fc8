package poppynotch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Known slopes are found, and intervals contain the true value as often as they claim. */
class SizeFitTest {

    private static final List<Integer> SIZES = List.of(54, 108, 215, 430, 860, 1720);
    private static final int DRAWS = 400;

    private static SortedMap<Integer, Double> drawValues(
            SplittableRandom random, DoubleUnaryOperator function, double noise) {
        SortedMap<Integer, Double> values = new TreeMap<>();
        SIZES.forEach(
                size ->
                        values.put(
                                size,
                                function.applyAsDouble(size) + noise * random.nextGaussian()));
        return values;
    }

    private static double log2(double size) {
        return Math.log(size) / Math.log(2);
    }

    @Test
    void fitsLineExactly() {
        SizeFit fit = SizeFit.of(drawValues(new SplittableRandom(1), size -> 300 + 0.5 * size, 0));
        assertEquals(SizeFit.Model.LINEAR, fit.model());
        assertEquals(SizeFit.Trend.RISING, fit.trend());
        assertEquals(0.5, fit.slope().value(), 1e-9);
        assertEquals(300 + 2150, fit.at(4300).value(), 1e-6);
    }

    @Test
    void distinguishesLogarithmFromLine() {
        SizeFit fit =
                SizeFit.of(drawValues(new SplittableRandom(1), size -> 20 + 7 * log2(size), 0));
        assertEquals(SizeFit.Model.LOGARITHMIC, fit.model());
        assertEquals(7, fit.slope().value(), 1e-9);
        assertEquals(20 + 7 * log2(4300), fit.at(4300).value(), 1e-6);
    }

    @Test
    void fallingValuesHaveFallingTrend() {
        assertEquals(
                SizeFit.Trend.FALLING,
                SizeFit.of(drawValues(new SplittableRandom(1), size -> 300 - 0.1 * size, 1))
                        .trend());
    }

    /**
     * Of 400 draws with noise, 95 in 100 intervals should contain the true value: 380 on average, 5
     * either way.
     */
    @Test
    void intervalsContainTrueValueInNinetyFivePercentOfDraws() {
        SplittableRandom random = new SplittableRandom(32);
        int slopes = 0;
        int predictions = 0;
        for (int i = 0; i < DRAWS; i++) {
            SizeFit fit = SizeFit.of(drawValues(random, size -> 600 + 2 * size, 40));
            assertEquals(SizeFit.Model.LINEAR, fit.model());
            slopes += containsValue(fit.slope(), 2) ? 1 : 0;
            predictions +=
                    containsValue(fit.at(4300), 600 + 2 * 4300 + 40 * random.nextGaussian())
                            ? 1
                            : 0;
        }
        assertTrue(slopes >= 360 && slopes <= 396, slopes + " slopes");
        assertTrue(predictions >= 360 && predictions <= 396, predictions + " predictions");
    }

    private static boolean containsValue(SizeFit.Estimate estimate, double trueValue) {
        return estimate.low() <= trueValue && trueValue <= estimate.high();
    }

    @Test
    void constantValuesHaveLevelTrend() {
        SplittableRandom random = new SplittableRandom(32);
        int level = 0;
        for (int i = 0; i < DRAWS; i++) {
            level +=
                    SizeFit.of(drawValues(random, size -> 600, 40)).trend() == SizeFit.Trend.LEVEL
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
    void predictionIntervalWidensWithDistance() {
        SizeFit fit = SizeFit.of(drawValues(new SplittableRandom(7), size -> 600 + 2 * size, 40));
        double near = fit.at(430).high() - fit.at(430).low();
        assertTrue(fit.at(4300).high() - fit.at(4300).low() > near);
    }

    @Test
    void rejectsTooFewSizesSizeBelowOneAndNonFiniteValue() {
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
