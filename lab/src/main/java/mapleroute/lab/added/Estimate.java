package mapleroute.lab.added;

import java.util.List;
import java.util.Optional;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * A mean with its 95 % interval by Student's t.
 *
 * @param low where the interval begins; the value itself where one sample says nothing of the spread
 * @param high where it ends
 * @param n how many samples
 */
public record Estimate(double value, double low, double high, int n) {

    private static final double CONFIDENCE = 0.95;

    /** One block without the sidecar and one by it, shortly after one another, with the same calls. */
    record Pair(Recorder direct, Recorder by) {
    }

    static Estimate of(List<Double> samples) {
        SummaryStatistics all = new SummaryStatistics();
        samples.forEach(all::addValue);
        int n = samples.size();
        double half = 0;
        if (n > 1) {
            double t = new TDistribution(n - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2);
            half = t * all.getStandardDeviation() / Math.sqrt(n);
        }
        return new Estimate(all.getMean(), all.getMean() - half, all.getMean() + half, n);
    }

    /** Whether a block has calls enough for a quantile: one at least lies above it. */
    static boolean suffices(Recorder block, double part) {
        return block.served() * (1 - part) >= 1 - 1e-9;
    }

    /** What the sidecar adds to a quantile, in milliseconds; nothing where a block has too few calls for it. */
    static Optional<Estimate> added(List<Pair> pairs, double part) {
        if (pairs.isEmpty() || !pairs.stream().allMatch(pair -> suffices(pair.direct(), part)
                && suffices(pair.by(), part))) {
            return Optional.empty();
        }
        return Optional.of(of(pairs.stream().map(pair -> pair.by().quantileMs(part)
            - pair.direct().quantileMs(part)).toList()));
    }

    /** As {@code 0.412 (0.38 to 0.45)}. */
    public String text() {
        return n < 2 ? String.format(java.util.Locale.ROOT, "%.3f", value)
            : String.format(java.util.Locale.ROOT, "%.3f (%.3f to %.3f)", value, low, high);
    }
}
