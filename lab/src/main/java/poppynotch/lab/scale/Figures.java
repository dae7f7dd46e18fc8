package poppynotch.lab.scale;

import java.util.Collection;
import org.HdrHistogram.DoubleHistogram;
import poppynotch.lab.report.ScaleResults;
import poppynotch.lab.report.ScaleResults.Figure;

/** The figures of one size, on their way into the results. */
final class Figures {

    private static final int DIGITS = 3;
    private static final String SPREAD = "median; low and high are the 1st and 99th part of all";

    private final ScaleResults results;
    private final int size;

    Figures(ScaleResults results, int size) {
        this.results = results;
        this.size = size;
    }

    /** One value. */
    void add(String key, String unit, double value) {
        results.add(key, unit, size, value);
    }

    /** One value, and what else there is to know of it. */
    void add(String key, String unit, double value, String about) {
        results.add(
                new Figure(
                        key, unit, ScaleResults.MEASURED, size, value, null, null, 0, about, null));
    }

    /** The median of many, with its spread; nothing where there are none. */
    void spread(String key, String unit, Collection<Double> values) {
        if (values.isEmpty()) {
            return;
        }
        DoubleHistogram all = histogram(values);
        results.add(
                new Figure(
                        key,
                        unit,
                        ScaleResults.MEASURED,
                        size,
                        all.getValueAtPercentile(50),
                        all.getValueAtPercentile(1),
                        all.getValueAtPercentile(99),
                        values.size(),
                        SPREAD,
                        null));
    }

    /** The largest of many, with their median as low; nothing where there are none. */
    void peak(String key, String unit, Collection<Double> values) {
        if (values.isEmpty()) {
            return;
        }
        DoubleHistogram all = histogram(values);
        double most = values.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        results.add(
                new Figure(
                        key,
                        unit,
                        ScaleResults.MEASURED,
                        size,
                        most,
                        Math.min(most, all.getValueAtPercentile(50)),
                        most,
                        values.size(),
                        "the largest of all; low is their median",
                        null));
    }

    /** Quantiles of times in seconds, as KEY.p50, KEY.p99 and KEY.last. */
    void times(String key, Collection<Double> seconds, String about) {
        if (seconds.isEmpty()) {
            return;
        }
        DoubleHistogram all = histogram(seconds);
        double last = seconds.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        time(key + ".p50", Math.min(last, all.getValueAtPercentile(50)), seconds.size(), about);
        time(key + ".p99", Math.min(last, all.getValueAtPercentile(99)), seconds.size(), about);
        time(key + ".last", last, seconds.size(), about);
    }

    private void time(String key, double seconds, int n, String about) {
        results.add(
                new Figure(
                        key,
                        "s",
                        ScaleResults.MEASURED,
                        size,
                        seconds,
                        null,
                        null,
                        n,
                        about,
                        null));
    }

    private static DoubleHistogram histogram(Collection<Double> values) {
        DoubleHistogram all = new DoubleHistogram(DIGITS);
        values.forEach(value -> all.recordValue(Math.max(0, value)));
        return all;
    }
}
