package poppynotch.lab.added;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.apache.commons.math3.stat.descriptive.rank.Percentile;

/**
 * A figure with its 95 % interval: of a mean by Student's t, of calls together by drawing pairs
 * anew.
 *
 * @param low where the interval begins; the value itself where one sample says nothing of the
 *     spread
 * @param high where it ends
 * @param n how many samples
 */
public record Estimate(double value, double low, double high, int n) {

    private static final double CONFIDENCE = 0.95;
    private static final int DRAWS = 400;

    /**
     * One block without the sidecar and one by it, shortly after one another, with the same calls.
     */
    record Pair(Recorder direct, Recorder by) {}

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
    static boolean suffices(long calls, double part) {
        return calls * (1 - part) >= 1 - 1e-9;
    }

    /**
     * What the sidecar adds to a quantile, in milliseconds; nothing where a block has too few
     * calls.
     */
    static Optional<Estimate> added(List<Pair> pairs, double part) {
        if (pairs.isEmpty()
                || !pairs.stream()
                        .allMatch(
                                pair ->
                                        suffices(pair.direct().served(), part)
                                                && suffices(pair.by().served(), part))) {
            return Optional.empty();
        }
        return Optional.of(
                of(
                        pairs.stream()
                                .map(
                                        pair ->
                                                pair.by().quantileMs(part)
                                                        - pair.direct().quantileMs(part))
                                .toList()));
    }

    /**
     * What the sidecar adds to a quantile of all blocks' calls together, in milliseconds. Its
     * interval is that of 400 draws of pairs, with replacement. All blocks together reach further
     * than each of them does.
     */
    static Optional<Estimate> pooled(List<Pair> pairs, double part, long seed) {
        long fewest =
                Math.min(
                        pairs.stream().mapToLong(pair -> pair.direct().served()).sum(),
                        pairs.stream().mapToLong(pair -> pair.by().served()).sum());
        if (!suffices(fewest, part)) {
            return Optional.empty();
        }
        SplittableRandom random = new SplittableRandom(seed);
        double[] draws = new double[DRAWS];
        for (int i = 0; i < DRAWS; i++) {
            draws[i] =
                    together(
                            random.ints(pairs.size(), 0, pairs.size())
                                    .mapToObj(pairs::get)
                                    .toList(),
                            part);
        }
        Percentile percentile = new Percentile();
        percentile.setData(draws);
        return Optional.of(
                new Estimate(
                        together(pairs, part),
                        percentile.evaluate(100 * (1 - CONFIDENCE) / 2),
                        percentile.evaluate(100 * (1 + CONFIDENCE) / 2),
                        pairs.size()));
    }

    private static double together(List<Pair> pairs, double part) {
        Histogram direct = Recorder.empty();
        Histogram by = Recorder.empty();
        for (Pair pair : pairs) {
            direct.add(pair.direct().times());
            by.add(pair.by().times());
        }
        return (by.getValueAtPercentile(part * 100) - direct.getValueAtPercentile(part * 100))
                / 1e6;
    }

    /** As {@code 0.412 (0.38 to 0.45)}. */
    public String text() {
        return n < 2
                ? String.format(java.util.Locale.ROOT, "%.3f", value)
                : String.format(java.util.Locale.ROOT, "%.3f (%.3f to %.3f)", value, low, high);
    }
}
