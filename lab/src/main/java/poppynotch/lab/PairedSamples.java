package poppynotch.lab;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * Samples of two variants that were played with the same seeds: their means, and the mean of the
 * paired differences with its 95 % interval by Student's t. For one thread.
 */
final class PairedSamples {

    /** The quantile of a two-sided 95 % interval. */
    private static final double QUANTILE = 0.975;

    private final SummaryStatistics first = new SummaryStatistics();
    private final SummaryStatistics second = new SummaryStatistics();
    private final SummaryStatistics differences = new SummaryStatistics();

    /** Adds the values of one seed. */
    void add(double firstValue, double secondValue) {
        first.addValue(firstValue);
        second.addValue(secondValue);
        differences.addValue(secondValue - firstValue);
    }

    double firstMean() {
        return first.getMean();
    }

    double secondMean() {
        return second.getMean();
    }

    /** The mean of the second variant's value less the first one's. */
    double meanDifference() {
        return differences.getMean();
    }

    /** Half of the 95 % interval of the mean difference; needs two samples or more. */
    double halfWidth() {
        long count = differences.getN();
        return new TDistribution(count - 1).inverseCumulativeProbability(QUANTILE)
                * differences.getStandardDeviation()
                / Math.sqrt((double) count);
    }
}
