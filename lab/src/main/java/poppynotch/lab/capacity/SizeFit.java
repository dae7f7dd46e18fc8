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
 * How one figure grows with the size of the fleet: the better of two formulas, by least squares,
 * with 95 % intervals by Student's t. It takes the figures at each size for independent and equally
 * sure. For several threads once it is made.
 */
public final class SizeFit {

    /** A line through two sizes always fits, and says nothing of how sure it is. */
    public static final int LEAST_SIZES = 3;

    private static final double DOUBT = 0.05;

    /** The formulas; of two that fit alike the first is taken. */
    public enum Model {
        /** Each further member adds the same. */
        LINEAR("a + b*size", size -> size),
        /** Each doubling adds the same. */
        LOGARITHMIC("a + b*log2(size)", size -> Math.log(size) / Math.log(2));

        private final String formula;
        private final DoubleUnaryOperator of;

        Model(String formula, DoubleUnaryOperator of) {
            this.formula = formula;
            this.of = of;
        }

        /** As it is told. */
        public String formula() {
            return formula;
        }
    }

    /** What a slope comes to. */
    public enum Trend {
        /** The slope's interval holds 0: no growth is seen, which is not that there is none. */
        LEVEL,
        RISING,
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
            double x = model.of.applyAsDouble(point.getKey());
            regression.addData(x, point.getValue());
            sum += x;
        }
        meanX = sum / points.size();
    }

    /**
     * Fits values by size.
     *
     * @throws IllegalArgumentException where there are fewer than {@link #LEAST_SIZES} sizes, a
     *     size is below 1, or a value is no number
     */
    public static SizeFit of(SortedMap<Integer, Double> valueBySize) {
        if (valueBySize.size() < LEAST_SIZES) {
            throw new IllegalArgumentException(
                    "a fit needs "
                            + LEAST_SIZES
                            + " sizes or more but has "
                            + valueBySize.keySet());
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

    /** The sum of squares that it leaves unexplained. */
    public double residual() {
        return regression.getSumSquaredErrors();
    }

    /** Its slope b: the unit's change a member, or a doubling of members. */
    public Estimate slope() {
        double half = quantile() * regression.getSlopeStdErr();
        double slope = regression.getSlope();
        return new Estimate(slope, slope - half, slope + half);
    }

    /** What the slope comes to. */
    public Trend trend() {
        Estimate slope = slope();
        return slope.low() > 0 ? Trend.RISING : slope.high() < 0 ? Trend.FALLING : Trend.LEVEL;
    }

    /**
     * What one run at a size would give: the interval is for that run's figure, not for the mean of
     * many.
     *
     * @param size 1 or more, within the sizes that were measured or beyond
     */
    public Estimate at(int size) {
        double x = model.of.applyAsDouble(size);
        double n = regression.getN();
        double spread = 1 + 1 / n + (x - meanX) * (x - meanX) / regression.getXSumSquares();
        double half = quantile() * Math.sqrt(regression.getMeanSquareError() * spread);
        double value = regression.predict(x);
        return new Estimate(value, value - half, value + half);
    }

    private double quantile() {
        return new TDistribution(regression.getN() - 2).inverseCumulativeProbability(1 - DOUBT / 2);
    }
}
