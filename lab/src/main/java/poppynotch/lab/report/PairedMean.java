package poppynotch.lab.report;

import java.util.List;
import java.util.Locale;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * A mean over seeds with its 95 % confidence interval, by Student's t.
 *
 * @param n how many seeds
 * @param halfWidth half of the interval, or NaN for a single seed
 */
public record PairedMean(int n, double mean, double halfWidth) {

    private static final double CONFIDENCE = 0.95;

    /** Computes the mean and its interval of figures, or of the differences seed by seed. */
    public static PairedMean of(List<Double> figures) {
        SummaryStatistics statistics = new SummaryStatistics();
        figures.forEach(statistics::addValue);
        int n = figures.size();
        double halfWidth = Double.NaN;
        if (n > 1) {
            double t =
                    new TDistribution(n - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2);
            halfWidth = t * statistics.getStandardDeviation() / Math.sqrt(n);
        }
        return new PairedMean(n, statistics.getMean(), halfWidth);
    }

    /** Whether the interval excludes 0: the difference is significant. */
    public boolean isClear() {
        return Math.abs(mean) > halfWidth;
    }

    /** As {@code +0.012 ± 0.004}, with a sign where it is a difference. */
    public String text(boolean difference) {
        String format = difference ? "%+.3f" : "%.3f";
        String text = String.format(Locale.ROOT, format, mean);
        return Double.isNaN(halfWidth)
                ? text
                : text + String.format(Locale.ROOT, " ± %.3f", halfWidth);
    }
}
