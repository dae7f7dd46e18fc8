package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The results of a trial.
 *
 * @param figures in the order in which they were measured
 * @param courses time series for plots
 * @param findings what did not go as promised, one line each
 */
public record TrialOutcome(List<Figure> figures, List<TimeSeries> courses, List<String> findings) {

    /**
     * A figure.
     *
     * @param key dotted words
     * @param unit of the value
     * @param size the number of members, or 0 where it does not matter
     * @param low the 1st part in a hundred of the samples, or the value where there is one
     * @param high the 99th
     * @param n how many samples
     */
    public record Figure(
            String key, String unit, int size, double value, double low, double high, long n) {}

    /** Lines over the seconds of a trial, by name, with when a cut began and ended. */
    public record TimeSeries(
            String title,
            String unit,
            double cutFrom,
            double cutTo,
            Map<String, List<double[]>> lines) {}

    TrialOutcome() {
        this(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    }

    void add(String key, String unit, int size, double value) {
        figures.add(new Figure(key, unit, size, value, value, value, 1));
    }

    void add(String key, String unit, int size, TrafficMeter.Rate rate) {
        figures.add(new Figure(key, unit, size, rate.mean(), rate.low(), rate.high(), size));
    }

    /** A figure of that key at that size; NaN where there is none. */
    double value(String key, int size) {
        return figures.stream()
                .filter(each -> each.key().equals(key) && each.size() == size)
                .mapToDouble(Figure::value)
                .findFirst()
                .orElse(Double.NaN);
    }
}
