package poppynotch.lab.added;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.apache.commons.math3.stat.descriptive.rank.Percentile;

/**
 * A figure with its 95 % confidence interval: that of a mean by Student's t, that of a quantile of
 * pooled calls by the bootstrap over pairs.
 *
 * @param value the figure
 * @param low end of the interval; the value itself where there is only one sample
 * @param high end of the interval
 * @param n number of samples
 */
public record Estimate(double value, double low, double high, int n) {

    private static final double CONFIDENCE = 0.95;
    private static final int BOOTSTRAP_DRAWS = 400;

    /**
     * One block without the sidecar and one by it, shortly after one another, with the same calls.
     */
    record Pair(Recorder direct, Recorder by) {}

    /** The mean of samples. */
    static Estimate of(List<Double> samples) {
        SummaryStatistics all = new SummaryStatistics();
        samples.forEach(all::addValue);
        int n = samples.size();
        double half = 0;
        if (n > 1) {
            double t =
                    new TDistribution(n - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2);
            half = t * all.getStandardDeviation() / Math.sqrt(n);
        }
        return new Estimate(all.getMean(), all.getMean() - half, all.getMean() + half, n);
    }

    /** Whether there are calls enough for a quantile: one at least lies above it. */
    static boolean hasEnoughCalls(long calls, double fraction) {
        return calls * (1 - fraction) >= 1 - 1e-9;
    }

    /**
     * The mean over pairs of what the sidecar adds to a quantile, in milliseconds; empty where a
     * block has too few calls.
     */
    static Optional<Estimate> added(List<Pair> pairs, double fraction) {
        if (pairs.isEmpty()
                || !pairs.stream()
                        .allMatch(
                                pair ->
                                        hasEnoughCalls(pair.direct().served(), fraction)
                                                && hasEnoughCalls(pair.by().served(), fraction))) {
            return Optional.empty();
        }
        return Optional.of(
                of(
                        pairs.stream()
                                .map(
                                        pair ->
                                                pair.by().quantileMs(fraction)
                                                        - pair.direct().quantileMs(fraction))
                                .toList()));
    }

    /**
     * What the sidecar adds to a quantile of all blocks' calls together, in milliseconds, with the
     * interval of 400 bootstrap draws of pairs. All blocks together have calls enough for higher
     * quantiles than each of them.
     */
    static Optional<Estimate> pooled(List<Pair> pairs, double fraction, long seed) {
        long servedCalls =
                Math.min(
                        pairs.stream().mapToLong(pair -> pair.direct().served()).sum(),
                        pairs.stream().mapToLong(pair -> pair.by().served()).sum());
        if (!hasEnoughCalls(servedCalls, fraction)) {
            return Optional.empty();
        }
        SplittableRandom random = new SplittableRandom(seed);
        double[] draws = new double[BOOTSTRAP_DRAWS];
        for (int i = 0; i < BOOTSTRAP_DRAWS; i++) {
            draws[i] =
                    pooledDifference(
                            random.ints(pairs.size(), 0, pairs.size())
                                    .mapToObj(pairs::get)
                                    .toList(),
                            fraction);
        }
        Percentile percentile = new Percentile();
        percentile.setData(draws);
        return Optional.of(
                new Estimate(
                        pooledDifference(pairs, fraction),
                        percentile.evaluate(100 * (1 - CONFIDENCE) / 2),
                        percentile.evaluate(100 * (1 + CONFIDENCE) / 2),
                        pairs.size()));
    }

    private static double pooledDifference(List<Pair> pairs, double fraction) {
        Histogram direct = Recorder.empty();
        Histogram by = Recorder.empty();
        for (Pair pair : pairs) {
            direct.add(pair.direct().times());
            by.add(pair.by().times());
        }
        return (by.getValueAtPercentile(fraction * 100)
                        - direct.getValueAtPercentile(fraction * 100))
                / 1e6;
    }

    /** As {@code 0.412 (0.38 to 0.45)}. */
    public String text() {
        return n < 2
                ? String.format(Locale.ROOT, "%.3f", value)
                : String.format(Locale.ROOT, "%.3f (%.3f to %.3f)", value, low, high);
    }
}
