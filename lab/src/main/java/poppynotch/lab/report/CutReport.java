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
import java.util.stream.Stream;
import poppynotch.lab.fleet.TrialOutcome;
import poppynotch.lab.measure.Result;

/**
 * A page for fleets of two regions that lose each other: figures by size, and the course of each
 * cut.
 */
public final class CutReport {

    private CutReport() {}

    /**
     * Writes {@code index.html} into a folder.
     *
     * @param about what was played, a paragraph each
     */
    public static void write(Path folder, List<String> about, List<TrialOutcome> outcomes)
            throws IOException {
        Page page = new Page("lab scale cut: regions on the virtual clock");
        about.forEach(page::paragraph);
        List<String> findings =
                outcomes.stream().flatMap(each -> each.findings().stream()).toList();
        page.heading("Findings");
        page.paragraph(
                findings.isEmpty()
                        ? "All came back to one view, and all that is promised was kept."
                        : "Not as it should be:");
        page.list(findings);
        // By key and then by size.
        Map<String, Map<Integer, TrialOutcome.Figure>> figures = new LinkedHashMap<>();
        outcomes.stream()
                .flatMap(each -> each.figures().stream())
                .forEach(
                        figure ->
                                figures.computeIfAbsent(figure.key(), key -> new TreeMap<>())
                                        .put(figure.size(), figure));
        page.heading("By size");
        Charts charts = new Charts();
        figures.forEach(
                (key, bySize) -> {
                    if (bySize.size() > 1) {
                        List<double[]> points = new ArrayList<>();
                        bySize.forEach(
                                (size, figure) -> points.add(new double[] {size, figure.value()}));
                        String unit = bySize.values().iterator().next().unit();
                        page.plot(
                                charts.overSizes(key, unit, List.of(new Charts.Line(key, points))));
                    }
                });
        page.heading("Over time");
        outcomes.stream()
                .flatMap(each -> each.courses().stream())
                .forEach(
                        course -> {
                            List<Charts.Line> lines = new ArrayList<>();
                            course.lines()
                                    .forEach(
                                            (name, points) ->
                                                    lines.add(new Charts.Line(name, points)));
                            page.plot(
                                    charts.overTime(
                                            course.title(),
                                            course.unit(),
                                            lines,
                                            List.of(
                                                    new Result.Span(
                                                            "cut",
                                                            course.cutFrom(),
                                                            course.cutTo()))));
                        });
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
        List<List<String>> rows = new ArrayList<>();
        figures.forEach(
                (key, bySize) -> {
                    List<String> row =
                            new ArrayList<>(List.of(key, bySize.values().iterator().next().unit()));
                    sizes.forEach(
                            size ->
                                    row.add(
                                            bySize.containsKey(size)
                                                    ? told(bySize.get(size))
                                                    : ""));
                    rows.add(row);
                });
        page.table(
                Stream.concat(
                                Stream.of("figure", "unit"),
                                sizes.stream()
                                        .map(size -> size == 0 ? "any size" : String.valueOf(size)))
                        .toList(),
                rows);
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("index.html"), page.html());
    }

    private static String told(TrialOutcome.Figure figure) {
        return figure.n() == 1
                ? number(figure.value())
                : number(figure.value())
                        + " ["
                        + number(figure.low())
                        + ", "
                        + number(figure.high())
                        + "]";
    }

    private static String number(double value) {
        double size = Math.abs(value);
        return String.format(
                Locale.ROOT,
                size == 0 || size >= 100 ? "%.0f" : size >= 0.1 ? "%.2f" : "%.3g",
                value);
    }
}
