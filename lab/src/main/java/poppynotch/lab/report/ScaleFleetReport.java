package poppynotch.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import poppynotch.lab.report.ScaleResults.Figure;

/**
 * Renders the figures of scale runs as pages, tables of Markdown and plain lines: each key over the
 * sizes, and two runs side by side. Stateless.
 */
public final class ScaleFleetReport {

    private static final List<String> COLUMNS =
            List.of("figure", "unit", "size", "value", "low", "high", "n", "about");

    private ScaleFleetReport() {}

    /**
     * Writes {@code index.html} into a folder: a plot of each key over the sizes, by phase, and a
     * table.
     *
     * @param folder is created if it does not exist
     * @param failures what could not be played, in plain lines
     */
    public static void write(Path folder, ScaleResults results, List<String> failures)
            throws IOException {
        Page page = new Page("Scale: " + results.command());
        page.paragraph(
                "Measured on one machine, with commit "
                        + results.commit()
                        + (results.dirty() ? " and changes that it does not hold" : "")
                        + ". Sizes are hollow members.");
        if (!failures.isEmpty()) {
            page.paragraph("BROKEN:");
            page.list(failures);
        }
        addPlots(page, results);
        page.heading("Figures");
        page.table(COLUMNS, sorted(results).stream().map(ScaleFleetReport::row).toList());
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("index.html"), page.html());
    }

    private static void addPlots(Page page, ScaleResults results) {
        Charts charts = new Charts();
        byPhase(results)
                .forEach(
                        (phase, figuresByKey) -> {
                            page.heading(phase);
                            figuresByKey.forEach(
                                    (key, figures) ->
                                            page.plot(
                                                    charts.overSizes(
                                                            key,
                                                            figures.get(0).unit(),
                                                            chartLines("", figures))));
                        });
    }

    private static List<String> row(Figure figure) {
        return List.of(
                figure.key(),
                figure.unit(),
                Integer.toString(figure.size()),
                text(figure.value()),
                text(figure.low()),
                text(figure.high()),
                figure.n() == 0 ? "" : Long.toString(figure.n()),
                figure.about() == null ? "" : figure.about());
    }

    /**
     * Writes {@code comparison.html} into a folder, which is created if it does not exist: both
     * runs' plots of each key of the first, and the differences.
     */
    public static void write(Path folder, ScaleResults before, ScaleResults after)
            throws IOException {
        Page page = new Page("Scale: " + before.commit() + " and " + after.commit());
        page.list(
                List.of(
                        "first: " + before.command() + ", " + before.commit(),
                        "second: " + after.command() + ", " + after.commit()));
        addPlots(page, before, after);
        page.heading("Differences");
        page.list(lines(before, after));
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("comparison.html"), page.html());
    }

    private static void addPlots(Page page, ScaleResults before, ScaleResults after) {
        Charts charts = new Charts();
        Map<String, Map<String, List<Figure>>> afterByPhase = byPhase(after);
        byPhase(before)
                .forEach(
                        (phase, figuresByKey) -> {
                            page.heading(phase);
                            Map<String, List<Figure>> afterByKey =
                                    afterByPhase.getOrDefault(phase, Map.of());
                            figuresByKey.forEach(
                                    (key, figures) -> {
                                        List<Charts.Line> lines =
                                                new ArrayList<>(chartLines("first: ", figures));
                                        lines.addAll(
                                                chartLines(
                                                        "second: ",
                                                        afterByKey.getOrDefault(key, List.of())));
                                        page.plot(
                                                charts.overSizes(
                                                        key, figures.get(0).unit(), lines));
                                    });
                        });
    }

    /**
     * Returns the figures as a table of Markdown: a row for each key, a column for each size;
     * nothing if there are no figures.
     */
    public static List<String> lines(ScaleResults results) {
        if (results.figures().isEmpty()) {
            return List.of();
        }
        List<Integer> sizes =
                results.figures().stream().map(Figure::size).distinct().sorted().toList();
        List<String> lines = new ArrayList<>();
        lines.add(
                "| figure | unit | "
                        + String.join(" | ", sizes.stream().map(String::valueOf).toList())
                        + " |");
        lines.add("| --- | --- |" + " --- |".repeat(sizes.size()));
        for (Map<String, List<Figure>> figuresByKey : byPhase(results).values()) {
            figuresByKey.forEach(
                    (key, figures) ->
                            lines.add(
                                    "| "
                                            + key
                                            + " | "
                                            + figures.get(0).unit()
                                            + " | "
                                            + String.join(" | ", cells(results, key, sizes))
                                            + " |"));
        }
        return lines;
    }

    private static List<String> cells(ScaleResults results, String key, List<Integer> sizes) {
        return sizes.stream()
                .map(size -> results.find(key, size).map(found -> text(found.value())).orElse(""))
                .toList();
    }

    /** Returns what two runs have in common: a line for each key, size and unit. */
    public static List<String> lines(ScaleResults before, ScaleResults after) {
        List<String> lines = new ArrayList<>();
        for (Figure first : sorted(before)) {
            Optional<Figure> second = after.find(first.key(), first.size());
            if (second.isPresent() && second.get().unit().equals(first.unit())) {
                lines.add(line(first, second.get()));
            }
        }
        return lines;
    }

    private static String line(Figure first, Figure second) {
        double difference = second.value() - first.value();
        String percent =
                first.value() == 0
                        ? ""
                        : String.format(
                                Locale.ROOT, " (%+.0f %%)", 100 * difference / first.value());
        return String.format(
                Locale.ROOT,
                "%-38s %5d  %10s %10s  %s%s %s%s%s",
                first.key(),
                first.size(),
                text(first.value()),
                text(second.value()),
                difference > 0 ? "+" : "",
                text(difference),
                first.unit(),
                percent,
                areApart(first, second) ? ", apart" : "");
    }

    /** Whether both intervals are known and do not overlap. */
    private static boolean areApart(Figure first, Figure second) {
        return hasInterval(first)
                && hasInterval(second)
                && (second.low() > first.high() || second.high() < first.low());
    }

    private static boolean hasInterval(Figure figure) {
        return figure.low() != null && figure.high() != null;
    }

    private static List<Figure> sorted(ScaleResults results) {
        return results.figures().stream()
                .sorted(Comparator.comparing(Figure::key).thenComparing(Figure::size))
                .toList();
    }

    /** Groups figures by phase, in the order of the run, and there by key in alphabetical order. */
    private static Map<String, Map<String, List<Figure>>> byPhase(ScaleResults results) {
        Map<String, Map<String, List<Figure>>> phases = new LinkedHashMap<>();
        for (Figure figure : results.figures()) {
            String phase = figure.key().substring(0, figure.key().indexOf('.'));
            phases.computeIfAbsent(phase, name -> new TreeMap<>())
                    .computeIfAbsent(figure.key(), key -> new ArrayList<>())
                    .add(figure);
        }
        return phases;
    }

    private static List<Charts.Line> chartLines(String prefix, List<Figure> figures) {
        List<Figure> bySize = figures.stream().sorted(Comparator.comparing(Figure::size)).toList();
        List<Charts.Line> lines = new ArrayList<>();
        lines.add(chartLine(prefix + "value", bySize, Figure::value));
        if (bySize.stream().anyMatch(ScaleFleetReport::hasInterval)) {
            lines.add(chartLine(prefix + "low", bySize, Figure::low));
            lines.add(chartLine(prefix + "high", bySize, Figure::high));
        }
        return lines;
    }

    /** A line over the sizes that have the value. */
    private static Charts.Line chartLine(
            String name, List<Figure> figures, Function<Figure, Double> value) {
        return new Charts.Line(
                name,
                figures.stream()
                        .filter(figure -> value.apply(figure) != null)
                        .map(figure -> new double[] {figure.size(), value.apply(figure)})
                        .toList());
    }

    /** Formats a value with about three significant digits; nothing for null. */
    private static String text(Double value) {
        if (value == null) {
            return "";
        }
        return value == 0 ? "0" : String.format(Locale.ROOT, format(Math.abs(value)), value);
    }

    private static String format(double magnitude) {
        if (magnitude >= 100) {
            return "%.0f";
        }
        if (magnitude >= 1) {
            return "%.2f";
        }
        return magnitude >= 0.01 ? "%.4f" : "%.6f";
    }
}
