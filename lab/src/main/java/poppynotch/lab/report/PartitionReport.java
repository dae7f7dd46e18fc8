package poppynotch.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import poppynotch.lab.fleet.TrialOutcome;
import poppynotch.lab.measure.Result;

/**
 * Renders a page on fleets of two regions that are partitioned: figures by size, and the course of
 * each partition. Stateless.
 */
public final class PartitionReport {

    private PartitionReport() {}

    /**
     * Writes {@code index.html} into a folder, which is created if it does not exist.
     *
     * @param about what was played, a paragraph each
     */
    public static void write(Path folder, List<String> about, List<TrialOutcome> outcomes)
            throws IOException {
        Page page = new Page("lab scale cut: regions on the virtual clock");
        about.forEach(page::paragraph);
        List<String> findings =
                outcomes.stream().flatMap(outcome -> outcome.findings().stream()).toList();
        page.heading("Findings");
        page.paragraph(
                findings.isEmpty()
                        ? "All came back to one view, and all that is promised was kept."
                        : "Not as it should be:");
        page.list(findings);
        Map<String, Map<Integer, TrialOutcome.Figure>> figures = byKeyAndSize(outcomes);
        Charts charts = new Charts();
        addPlotsBySize(page, charts, figures);
        addPlotsOverTime(page, charts, outcomes);
        addTable(page, figures);
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("index.html"), page.html());
    }

    private static Map<String, Map<Integer, TrialOutcome.Figure>> byKeyAndSize(
            List<TrialOutcome> outcomes) {
        Map<String, Map<Integer, TrialOutcome.Figure>> figures = new LinkedHashMap<>();
        for (TrialOutcome outcome : outcomes) {
            for (TrialOutcome.Figure figure : outcome.figures()) {
                figures.computeIfAbsent(figure.key(), key -> new TreeMap<>())
                        .put(figure.size(), figure);
            }
        }
        return figures;
    }

    private static void addPlotsBySize(
            Page page, Charts charts, Map<String, Map<Integer, TrialOutcome.Figure>> figures) {
        page.heading("By size");
        figures.forEach(
                (key, bySize) -> {
                    if (bySize.size() > 1) {
                        List<double[]> points = new ArrayList<>();
                        bySize.forEach(
                                (size, figure) -> points.add(new double[] {size, figure.value()}));
                        List<Charts.Line> lines = List.of(new Charts.Line(key, points));
                        page.plot(charts.overSizes(key, unit(bySize), lines));
                    }
                });
    }

    private static void addPlotsOverTime(Page page, Charts charts, List<TrialOutcome> outcomes) {
        page.heading("Over time");
        outcomes.stream()
                .flatMap(outcome -> outcome.courses().stream())
                .forEach(
                        course -> {
                            List<Charts.Line> lines = new ArrayList<>();
                            course.lines()
                                    .forEach(
                                            (name, points) ->
                                                    lines.add(new Charts.Line(name, points)));
                            Result.Span partition =
                                    new Result.Span("cut", course.cutFrom(), course.cutTo());
                            page.plot(
                                    charts.overTime(
                                            course.title(),
                                            course.unit(),
                                            lines,
                                            List.of(partition)));
                        });
    }

    private static void addTable(
            Page page, Map<String, Map<Integer, TrialOutcome.Figure>> figures) {
        page.heading("Figures");
        page.paragraph(
                "In brackets the 1st and the 99th part in a hundred of the members, or the first"
                        + " and the last of more samples than one.");
        List<Integer> sizes =
                figures.values().stream()
                        .flatMap(bySize -> bySize.keySet().stream())
                        .distinct()
                        .sorted()
                        .toList();
        List<String> head = new ArrayList<>(List.of("figure", "unit"));
        sizes.forEach(size -> head.add(size == 0 ? "any size" : String.valueOf(size)));
        List<List<String>> rows = new ArrayList<>();
        figures.forEach(
                (key, bySize) -> {
                    List<String> row = new ArrayList<>(List.of(key, unit(bySize)));
                    sizes.forEach(
                            size ->
                                    row.add(
                                            bySize.containsKey(size)
                                                    ? text(bySize.get(size))
                                                    : ""));
                    rows.add(row);
                });
        page.table(head, rows);
    }

    private static String unit(Map<Integer, TrialOutcome.Figure> bySize) {
        return bySize.values().iterator().next().unit();
    }

    private static String text(TrialOutcome.Figure figure) {
        if (figure.n() == 1) {
            return number(figure.value());
        }
        return number(figure.value())
                + " ["
                + number(figure.low())
                + ", "
                + number(figure.high())
                + "]";
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, format(Math.abs(value)), value);
    }

    private static String format(double magnitude) {
        if (magnitude == 0 || magnitude >= 100) {
            return "%.0f";
        }
        return magnitude >= 0.1 ? "%.2f" : "%.3g";
    }
}
