package poppynotch.lab.capacity;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.SortedMap;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Stream;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A least-squares fit of one figure over the size of the fleet: the better of two formulas, with 95
 * % intervals by Student's t. The figures at each size are assumed to be independent and of equal
 * variance. Immutable once it is made, so several threads may use it.
 */
public final class SizeFit {

    /**
     * A line through two sizes always fits exactly and leaves no degree of freedom for intervals.
     */
    public static final int MIN_SIZES = 3;

    private static final double ERROR_PROBABILITY = 0.05;

    /** The formulas; of two that fit equally well the first is taken. */
    public enum Model {
        /** Each further member adds the same amount. */
        LINEAR("a + b*size", size -> size),
        /** Each doubling of the members adds the same amount. */
        LOGARITHMIC("a + b*log2(size)", size -> Math.log(size) / Math.log(2));

        private final String formula;
        private final DoubleUnaryOperator transform;

        Model(String formula, DoubleUnaryOperator transform) {
            this.formula = formula;
            this.transform = transform;
        }

        /** The formula as results print it. */
        public String formula() {
            return formula;
        }
    }

    /** The direction of a slope. */
    public enum Trend {
        /**
         * The slope's interval contains 0: no growth is seen, which does not prove that there is
         * none.
         */
        LEVEL,
        /** The whole interval is above 0. */
        RISING,
        /** The whole interval is below 0. */
        FALLING
    }

    /**
     * A value with its 95 % interval.
     *
     * @param low at most {@code value}
     * @param high at least {@code value}
     */
    public record Estimate(double value, double low, double high) {}

    private final Model model;
    private final SimpleRegression regression;
    private final double meanX;

    private SizeFit(Model model, Collection<Map.Entry<Integer, Double>> points) {
        this.model = model;
        regression = new SimpleRegression();
        double sum = 0;
        for (Map.Entry<Integer, Double> point : points) {
            double x = model.transform.applyAsDouble(point.getKey());
            regression.addData(x, point.getValue());
            sum += x;
        }
        meanX = sum / points.size();
    }

    /**
     * Fits values by size.
     *
     * @throws IllegalArgumentException if there are fewer than {@link #MIN_SIZES} sizes, a size is
     *     below 1, or a value is not finite
     */
    public static SizeFit of(SortedMap<Integer, Double> valueBySize) {
        if (valueBySize.size() < MIN_SIZES) {
            throw new IllegalArgumentException(
                    "a fit needs " + MIN_SIZES + " sizes or more but has " + valueBySize.keySet());
        }
        valueBySize.forEach(
                (size, value) -> {
                    if (size < 1 || !Double.isFinite(value)) {
                        throw new IllegalArgumentException(
                                "a fit needs sizes of 1 or more and finite values, not "
                                        + value
                                        + " at "
                                        + size);
                    }
                });
        return Stream.of(Model.values())
                .map(model -> new SizeFit(model, valueBySize.entrySet()))
                .min(Comparator.comparingDouble(SizeFit::residual))
                .orElseThrow();
    }

    /** The formula that fits best. */
    public Model model() {
        return model;
    }

    /** The sum of squared errors. */
    public double residual() {
        return regression.getSumSquaredErrors();
    }

    /** The slope b of the formula: the change for each member, or for each doubling of members. */
    public Estimate slope() {
        double halfWidth = quantile() * regression.getSlopeStdErr();
        double slope = regression.getSlope();
        return new Estimate(slope, slope - halfWidth, slope + halfWidth);
    }

    /** The direction of the slope, by its interval. */
    public Trend trend() {
        Estimate slope = slope();
        if (slope.low() > 0) {
            return Trend.RISING;
        }
        return slope.high() < 0 ? Trend.FALLING : Trend.LEVEL;
    }

    /**
     * Predicts the figure of one run at a size. The interval is a prediction interval for that run,
     * not a confidence interval for the mean of many.
     *
     * @param size 1 or more, within the measured sizes or beyond
     */
    public Estimate at(int size) {
        double x = model.transform.applyAsDouble(size);
        double count = regression.getN();
        double spread = 1 + 1 / count + (x - meanX) * (x - meanX) / regression.getXSumSquares();
        double halfWidth = quantile() * Math.sqrt(regression.getMeanSquareError() * spread);
        double value = regression.predict(x);
        return new Estimate(value, value - halfWidth, value + halfWidth);
    }

    private double quantile() {
        return new TDistribution(regression.getN() - 2)
                .inverseCumulativeProbability(1 - ERROR_PROBABILITY / 2);
    }
}
