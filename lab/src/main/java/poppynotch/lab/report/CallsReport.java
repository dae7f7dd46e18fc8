package poppynotch.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import poppynotch.lab.added.CallsOutcome;
import poppynotch.lab.added.CallsOutcome.Measured;
import poppynotch.lab.added.Estimate;

/**
 * Renders the latency that sidecars add to calls: as a page, and as {@link ScaleResults}.
 * Stateless.
 */
public final class CallsReport {

    private static final double NANOS_PER_MS = 1e6;

    /** Keys of the figures in the columns of the first table. */
    private static final List<String> COLUMN_KEYS =
            List.of("added.p50", "added.p99", "added.p999", "pooled.p99");

    private CallsReport() {}

    /**
     * Converts the figures to the form of {@code results.json}.
     *
     * @param command the command line that measured them
     * @param commit the measured commit, or null to ask git
     */
    public static ScaleResults results(CallsOutcome outcome, String command, String commit) {
        ScaleResults results = new ScaleResults(command, commit);
        for (CallsOutcome.Figure figure : outcome.figures()) {
            Estimate value = figure.value();
            boolean hasInterval = value.n() > 1;
            results.add(
                    new ScaleResults.Figure(
                            figure.key(),
                            figure.unit(),
                            ScaleResults.MEASURED,
                            figure.size(),
                            value.value(),
                            hasInterval ? value.low() : null,
                            hasInterval ? value.high() : null,
                            value.n(),
                            figure.about(),
                            null));
        }
        return results;
    }

    /** Writes {@code index.html} into a folder, which is made where it is not there. */
    public static void write(Path folder, CallsOutcome outcome, String command) throws IOException {
        Page page = new Page("What a sidecar adds to a call");
        page.paragraph(command);
        page.paragraph(
                "The same calls go straight to a quick server and by a sidecar, in turn. A call's"
                    + " time counts from when it was meant to be sent. Added is the difference of"
                    + " quantiles by pairs of blocks, with a 95 % interval over the pairs"
                    + " (Student's t); pooled is that of all blocks' calls together, with an"
                    + " interval by drawing pairs anew.");
        Charts charts = new Charts();
        addAddedLatency(page, charts, outcome);
        addDistributions(page, charts, outcome);
        page.heading("Notes");
        page.list(outcome.notes());
        page.heading("All figures");
        page.table(
                List.of("figure", "size", "value", "unit", "samples", "about"),
                outcome.figures().stream()
                        .map(
                                figure ->
                                        List.of(
                                                figure.key(),
                                                Integer.toString(figure.size()),
                                                figure.value().text(),
                                                figure.unit(),
                                                Integer.toString(figure.value().n()),
                                                figure.about() == null ? "" : figure.about()))
                        .toList());
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("index.html"), page.html());
    }

    private static void addAddedLatency(Page page, Charts charts, CallsOutcome outcome) {
        page.heading("Added, ms");
        page.table(
                List.of("phase", "p50", "p99", "p99.9", "pooled p99", "processor a call"),
                outcome.phases().stream().map(CallsReport::row).toList());
        page.plot(
                charts.over(
                        "Added by rate",
                        "calls a second",
                        "ms",
                        lines(
                                outcome,
                                phase -> "known " + phase.phase().known() + fleetSuffix(phase),
                                phase -> phase.phase().rate())));
        page.plot(
                charts.over(
                        "Added by servers known",
                        "servers known",
                        "ms",
                        lines(
                                outcome,
                                phase ->
                                        number(phase.phase().rate())
                                                + " a second"
                                                + fleetSuffix(phase),
                                phase -> (double) phase.phase().known())));
    }

    private static void addDistributions(Page page, Charts charts, CallsOutcome outcome) {
        page.heading("Distributions");
        page.paragraph(
                "Along the bottom the part of calls that took longer: 1 is a tenth of them, 2 a "
                        + "hundredth, 3 a thousandth.");
        for (Measured phase : outcome.phases()) {
            page.plot(
                    charts.over(
                            phase.phase().key(),
                            "nines",
                            "ms",
                            List.of(
                                    distribution("without", phase.direct()),
                                    distribution("by the sidecar", phase.by()))));
        }
    }

    private static String fleetSuffix(Measured phase) {
        return phase.phase().fleet() ? ", in a fleet" : "";
    }

    private static String number(double value) {
        return value == Math.rint(value)
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.2f", value);
    }

    private static List<String> row(Measured phase) {
        List<String> row = new ArrayList<>(List.of(phase.phase().key()));
        COLUMN_KEYS.forEach(
                name ->
                        row.add(
                                phase.figures().containsKey(name)
                                        ? phase.figures().get(name).text()
                                        : "too few calls"));
        row.add(phase.figures().get("cpu").text());
        return row;
    }

    /**
     * Returns the added median and 99th percentile over a measure, one line for each quantile and
     * name with two points or more.
     */
    private static List<Charts.Line> lines(
            CallsOutcome outcome,
            Function<Measured, String> name,
            Function<Measured, Double> measure) {
        Map<String, List<double[]>> lines = new TreeMap<>();
        outcome.phases().stream()
                .filter(phase -> phase.figures().containsKey("added.p99"))
                .forEach(
                        phase -> {
                            for (String quantile : List.of("added.p50", "added.p99")) {
                                lines.computeIfAbsent(
                                                quantile.substring("added.".length())
                                                        + ", "
                                                        + name.apply(phase),
                                                title -> new ArrayList<>())
                                        .add(
                                                new double[] {
                                                    measure.apply(phase),
                                                    phase.figures().get(quantile).value()
                                                });
                            }
                        });
        lines.values().removeIf(points -> points.size() < 2);
        lines.values()
                .forEach(points -> points.sort(Comparator.comparingDouble(point -> point[0])));
        return lines.entrySet().stream()
                .map(line -> new Charts.Line(line.getKey(), line.getValue()))
                .toList();
    }

    /**
     * Returns the latency over the number of nines of its quantile, as far as there are calls
     * beyond it.
     *
     * @param latencies in nanoseconds
     */
    private static Charts.Line distribution(String name, Histogram latencies) {
        List<double[]> points = new ArrayList<>();
        for (double nines = 0.05; Math.pow(10, nines) <= latencies.getTotalCount(); nines += 0.05) {
            points.add(
                    new double[] {
                        nines,
                        latencies.getValueAtPercentile(100 * (1 - Math.pow(10, -nines)))
                                / NANOS_PER_MS
                    });
        }
        return new Charts.Line(name, points);
    }
}
