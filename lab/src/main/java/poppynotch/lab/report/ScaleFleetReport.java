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
import poppynotch.lab.report.ScaleResults.Figure;

/**
 * Pages and lines for the figures of scale runs: each key over the sizes, and two runs side by
 * side.
 */
public final class ScaleFleetReport {

    private ScaleFleetReport() {}

    /**
     * Writes {@code index.html} into a folder: a plot of each key over the sizes, by phase, and a
     * table.
     *
     * @param faults what could not be played, in plain lines
     */
    public static void write(Path folder, ScaleResults results, List<String> faults)
            throws IOException {
        Page page = new Page("Scale: " + results.command());
        page.paragraph(
                "Measured on one machine, with commit "
                        + results.commit()
                        + (results.dirty() ? " and changes that it does not hold" : "")
                        + ". Sizes are hollow members.");
        if (!faults.isEmpty()) {
            page.paragraph("BROKEN:");
            page.list(faults);
        }
        Charts charts = new Charts();
        byPhase(results)
                .forEach(
                        (phase, keys) -> {
                            page.heading(phase);
                            keys.forEach(
                                    (key, figures) ->
                                            page.plot(
                                                    charts.overSizes(
                                                            key,
                                                            figures.get(0).unit(),
                                                            lines("", figures))));
                        });
        page.heading("Figures");
        page.table(
                List.of("figure", "unit", "size", "value", "low", "high", "n", "about"),
                sorted(results).stream()
                        .map(
                                figure ->
                                        List.of(
                                                figure.key(),
                                                figure.unit(),
                                                Integer.toString(figure.size()),
                                                text(figure.value()),
                                                text(figure.low()),
                                                text(figure.high()),
                                                figure.n() == 0 ? "" : Long.toString(figure.n()),
                                                figure.about() == null ? "" : figure.about()))
                        .toList());
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("index.html"), page.html());
    }

    /** Writes {@code comparison.html} into a folder. */
    public static void write(Path folder, ScaleResults before, ScaleResults after)
            throws IOException {
        Page page = new Page("Scale: " + before.commit() + " and " + after.commit());
        page.list(
                List.of(
                        "first: " + before.command() + ", " + before.commit(),
                        "second: " + after.command() + ", " + after.commit()));
        Charts charts = new Charts();
        Map<String, Map<String, List<Figure>>> second = byPhase(after);
        byPhase(before)
                .forEach(
                        (phase, keys) -> {
                            page.heading(phase);
                            keys.forEach(
                                    (key, figures) -> {
                                        List<Charts.Line> lines =
                                                new ArrayList<>(lines("first: ", figures));
                                        lines.addAll(
                                                lines(
                                                        "second: ",
                                                        second.getOrDefault(phase, Map.of())
                                                                .getOrDefault(key, List.of())));
                                        page.plot(
                                                charts.overSizes(
                                                        key, figures.get(0).unit(), lines));
                                    });
                        });
        page.heading("Differences");
        page.list(lines(before, after));
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("comparison.html"), page.html());
    }

    /** The figures as a table of Markdown: a row for each key, a column for each size. */
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
        byPhase(results)
                .values()
                .forEach(
                        keys ->
                                keys.forEach(
                                        (key, figures) -> {
                                            List<String> cells =
                                                    sizes.stream()
                                                            .map(
                                                                    size ->
                                                                            results.find(key, size)
                                                                                    .map(
                                                                                            figure ->
                                                                                                    text(
                                                                                                            figure
                                                                                                                    .value()))
                                                                                    .orElse(""))
                                                            .toList();
                                            lines.add(
                                                    "| "
                                                            + key
                                                            + " | "
                                                            + figures.get(0).unit()
                                                            + " | "
                                                            + String.join(" | ", cells)
                                                            + " |");
                                        }));
        return lines;
    }

    /** What two runs have in common, a line for each figure. */
    public static List<String> lines(ScaleResults before, ScaleResults after) {
        List<String> lines = new ArrayList<>();
        for (Figure first : sorted(before)) {
            Optional<Figure> found = after.find(first.key(), first.size());
            if (found.isEmpty() || !found.get().unit().equals(first.unit())) {
                continue;
            }
            Figure second = found.get();
            double difference = second.value() - first.value();
            boolean known =
                    first.low() != null
                            && first.high() != null
                            && second.low() != null
                            && second.high() != null;
            boolean apart = known && (second.low() > first.high() || second.high() < first.low());
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%-38s %5d  %10s %10s  %s%s %s%s%s",
                            first.key(),
                            first.size(),
                            text(first.value()),
                            text(second.value()),
                            difference > 0 ? "+" : "",
                            text(difference),
                            first.unit(),
                            first.value() == 0
                                    ? ""
                                    : String.format(
                                            Locale.ROOT,
                                            " (%+.0f %%)",
                                            100 * difference / first.value()),
                            apart ? ", apart" : ""));
        }
        return lines;
    }

    private static List<Figure> sorted(ScaleResults results) {
        return results.figures().stream()
                .sorted(Comparator.comparing(Figure::key).thenComparing(Figure::size))
                .toList();
    }

    /** By phase in the order of the run, and there by key. */
    private static Map<String, Map<String, List<Figure>>> byPhase(ScaleResults results) {
        Map<String, Map<String, List<Figure>>> phases = new LinkedHashMap<>();
        results.figures()
                .forEach(
                        figure ->
                                phases.computeIfAbsent(
                                                figure.key()
                                                        .substring(0, figure.key().indexOf('.')),
                                                phase -> new TreeMap<>())
                                        .computeIfAbsent(figure.key(), key -> new ArrayList<>())
                                        .add(figure));
        return phases;
    }

    private static List<Charts.Line> lines(String prefix, List<Figure> figures) {
        List<Figure> sorted = figures.stream().sorted(Comparator.comparing(Figure::size)).toList();
        List<Charts.Line> lines = new ArrayList<>();
        lines.add(
                new Charts.Line(
                        prefix + "value",
                        sorted.stream()
                                .map(figure -> new double[] {figure.size(), figure.value()})
                                .toList()));
        if (sorted.stream().anyMatch(figure -> figure.low() != null && figure.high() != null)) {
            lines.add(
                    new Charts.Line(
                            prefix + "low",
                            sorted.stream()
                                    .filter(figure -> figure.low() != null)
                                    .map(figure -> new double[] {figure.size(), figure.low()})
                                    .toList()));
            lines.add(
                    new Charts.Line(
                            prefix + "high",
                            sorted.stream()
                                    .filter(figure -> figure.high() != null)
                                    .map(figure -> new double[] {figure.size(), figure.high()})
                                    .toList()));
        }
        return lines;
    }

    /** Three digits that count. */
    private static String text(Double value) {
        if (value == null) {
            return "";
        }
        double size = Math.abs(value);
        return value == 0
                ? "0"
                : String.format(
                        Locale.ROOT,
                        size >= 100 ? "%.0f" : size >= 1 ? "%.2f" : size >= 0.01 ? "%.4f" : "%.6f",
                        value);
    }
}
