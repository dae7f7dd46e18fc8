package poppynotch.lab.report;

import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * A mean over seeds with its 95 % confidence interval, by Student's t.
 *
 * @param n how many seeds
 * @param halfWidth half of the interval, or NaN where one seed says nothing of the spread
 */
public record Paired(int n, double mean, double halfWidth) {

    private static final double CONFIDENCE = 0.95;

    /** Of figures, or of differences seed by seed. */
    public static Paired of(List<Double> figures) {
        SummaryStatistics all = new SummaryStatistics();
        figures.forEach(all::addValue);
        int n = figures.size();
        double half = Double.NaN;
        if (n > 1) {
            double t =
                    new TDistribution(n - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2);
            half = t * all.getStandardDeviation() / Math.sqrt(n);
        }
        return new Paired(n, all.getMean(), half);
    }

    /** Whether the interval leaves out 0: a difference that the seeds agree on. */
    public boolean isClear() {
        return Math.abs(mean) > halfWidth;
    }

    /** As {@code +0.012 ± 0.004}, with a sign where it is a difference. */
    public String text(boolean difference) {
        String form = difference ? "%+.3f" : "%.3f";
        String text = String.format(java.util.Locale.ROOT, form, mean);
        return Double.isNaN(halfWidth)
                ? text
                : text + String.format(java.util.Locale.ROOT, " ± %.3f", halfWidth);
    }
}
