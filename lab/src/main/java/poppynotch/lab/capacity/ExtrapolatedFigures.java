package poppynotch.lab.capacity;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import poppynotch.lab.report.ScaleResults;

/**
 * Extrapolates figures to sizes that no run had, from the measured ones: each key that was measured
 * at {@value SizeFit#MIN_SIZES} sizes or more is fitted by itself. Figures that are extrapolated
 * themselves, and those without a size, are skipped. Stateless; does no I/O.
 */
public final class ExtrapolatedFigures {

    /**
     * The fit of one key.
     *
     * @param unit the unit of the figure
     * @param sizes the measured sizes in ascending order
     * @param source the results that hold the measured figures
     */
    public record FittedFigure(
            String key, String unit, List<Integer> sizes, SizeFit fit, ScaleResults source) {}

    /** The measured values of one key by size; all come from one file, in one unit. */
    private static final class Series {

        private final String key;
        private final String unit;
        private final Path file;
        private final ScaleResults source;
        private final TreeMap<Integer, Double> valueBySize = new TreeMap<>();

        Series(String key, String unit, Path file, ScaleResults source) {
            this.key = key;
            this.unit = unit;
            this.file = file;
            this.source = source;
        }

        void add(ScaleResults.Figure figure, Path from) {
            if (!file.equals(from)) {
                throw new IllegalArgumentException(key + " is in both " + file + " and " + from);
            }
            if (!unit.equals(figure.unit())) {
                throw new IllegalArgumentException(
                        key + " comes in " + unit + " and " + figure.unit() + " in " + from);
            }
            valueBySize.put(figure.size(), figure.value());
        }

        boolean canBeFitted() {
            return valueBySize.size() >= SizeFit.MIN_SIZES;
        }

        FittedFigure fit() {
            return new FittedFigure(
                    key, unit, List.copyOf(valueBySize.keySet()), SizeFit.of(valueBySize), source);
        }
    }

    private ExtrapolatedFigures() {}

    /**
     * Fits each key that has enough sizes, in the order in which the keys first occur.
     *
     * @param measured the results by the file that each was read from
     * @throws IllegalArgumentException if a key comes from two files or in two units, or none was
     *     measured at enough sizes
     */
    public static List<FittedFigure> fit(Map<Path, ScaleResults> measured) {
        Map<String, Series> seriesByKey = new LinkedHashMap<>();
        measured.forEach((file, results) -> addMeasured(seriesByKey, file, results));
        List<FittedFigure> fitted =
                seriesByKey.values().stream().filter(Series::canBeFitted).map(Series::fit).toList();
        if (fitted.isEmpty()) {
            throw new IllegalArgumentException(
                    "no key was measured at "
                            + SizeFit.MIN_SIZES
                            + " sizes or more in "
                            + measured.keySet());
        }
        return fitted;
    }

    private static void addMeasured(
            Map<String, Series> seriesByKey, Path file, ScaleResults results) {
        for (ScaleResults.Figure figure : results.figures()) {
            if (figure.kind().equals(ScaleResults.MEASURED) && figure.size() > 0) {
                seriesByKey
                        .computeIfAbsent(
                                figure.key(), key -> new Series(key, figure.unit(), file, results))
                        .add(figure, file);
            }
        }
    }

    /**
     * Returns the extrapolated figure for one size.
     *
     * @param size 1 or more
     */
    public static ScaleResults.Figure extrapolate(FittedFigure fitted, int size) {
        SizeFit.Estimate prediction = fitted.fit().at(size);
        SizeFit.Estimate slope = fitted.fit().slope();
        ScaleResults source = fitted.source();
        return new ScaleResults.Figure(
                fitted.key(),
                fitted.unit(),
                ScaleResults.EXTRAPOLATED,
                size,
                prediction.value(),
                prediction.low(),
                prediction.high(),
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
