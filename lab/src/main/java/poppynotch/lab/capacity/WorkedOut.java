package poppynotch.lab.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import poppynotch.lab.report.ScaleResults;

/**
 * Works figures out for sizes that no run had, from those that runs measured: each key that was
 * measured at {@value SizeFit#LEAST_SIZES} sizes or more is fitted by itself, whatever it is.
 * Figures that were worked out already, and those that belong to no size, are passed over. It does
 * no I/O.
 */
public final class WorkedOut {

    /**
     * One key's fit.
     *
     * @param unit of the figure
     * @param sizes that were measured, from the smallest on
     * @param source the results that it was measured in
     */
    public record Fitted(
            String key, String unit, List<Integer> sizes, SizeFit fit, ScaleResults source) {}

    private static final class Series {
        final String unit;
        final Path file;
        final ScaleResults source;
        final TreeMap<Integer, Double> values = new TreeMap<>();

        Series(String unit, Path file, ScaleResults source) {
            this.unit = unit;
            this.file = file;
            this.source = source;
        }
    }

    private WorkedOut() {}

    /**
     * Fits what can be fitted, key by key in the order in which they first come.
     *
     * @param measured the results by the file that each was read from
     * @throws IllegalArgumentException if a key comes from two files or in two units, or none was
     *     measured at enough sizes
     */
    public static List<Fitted> fit(Map<Path, ScaleResults> measured) {
        Map<String, Series> all = new LinkedHashMap<>();
        measured.forEach(
                (file, results) -> {
                    for (ScaleResults.Figure figure : results.figures()) {
                        if (figure.kind().equals(ScaleResults.MEASURED) && figure.size() > 0) {
                            Series series =
                                    all.computeIfAbsent(
                                            figure.key(),
                                            key -> new Series(figure.unit(), file, results));
                            if (!series.file.equals(file)) {
                                throw new IllegalArgumentException(
                                        figure.key()
                                                + " is in both "
                                                + series.file
                                                + " and "
                                                + file);
                            }
                            if (!series.unit.equals(figure.unit())) {
                                throw new IllegalArgumentException(
                                        figure.key()
                                                + " comes in "
                                                + series.unit
                                                + " and "
                                                + figure.unit()
                                                + " in "
                                                + file);
                            }
                            series.values.put(figure.size(), figure.value());
                        }
                    }
                });
        List<Fitted> fitted = new ArrayList<>();
        all.forEach(
                (key, series) -> {
                    if (series.values.size() >= SizeFit.LEAST_SIZES) {
                        fitted.add(
                                new Fitted(
                                        key,
                                        series.unit,
                                        List.copyOf(series.values.keySet()),
                                        SizeFit.of(series.values),
                                        series.source));
                    }
                });
        if (fitted.isEmpty()) {
            throw new IllegalArgumentException(
                    "no key was measured at "
                            + SizeFit.LEAST_SIZES
                            + " sizes or more in "
                            + measured.keySet());
        }
        return fitted;
    }

    /** A fit's figure for one size. */
    public static ScaleResults.Figure figure(Fitted fitted, int size) {
        SizeFit.Estimate at = fitted.fit().at(size);
        SizeFit.Estimate slope = fitted.fit().slope();
        ScaleResults source = fitted.source();
        return new ScaleResults.Figure(
                fitted.key(),
                fitted.unit(),
                ScaleResults.WORKED,
                size,
                at.value(),
                at.low(),
                at.high(),
                fitted.sizes().size(),
                "low and high: 95 % interval of one run's figure",
                new ScaleResults.Fit(
                        fitted.fit().model().formula(),
                        fitted.fit().trend().name().toLowerCase(Locale.ROOT),
                        slope.value(),
                        slope.low(),
                        slope.high(),
                        fitted.sizes(),
                        source.command(),
                        source.commit() + (source.dirty() ? "-dirty" : "")));
    }
}
