package poppynotch.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import poppynotch.lab.measure.Result;
import poppynotch.lab.measure.RulesChecker;

/**
 * Writes the report of a run: {@code result.json} with every figure, and {@code report.html}, one
 * page that loads nothing else. Stateless.
 */
public final class RunReport {

    private static final List<String> COLUMNS =
            List.of(
                    "day",
                    "policy",
                    "seed",
                    "G",
                    "worth in time",
                    "worst 10 s",
                    "worst class",
                    "refused",
                    "failed",
                    "late",
                    "p50 ms",
                    "p99 ms",
                    "attempts",
                    "rules");

    private RunReport() {}

    /**
     * Writes a run's report.
     *
     * @param folder is created if it does not exist
     * @param about what the experiment shows
     * @param results one or more days
     */
    public static void write(Path folder, String about, List<Result> results) throws IOException {
        Files.createDirectories(folder);
        ResultFile.write(folder, results);
        Files.writeString(folder.resolve("report.html"), html(about, results));
    }

    private static String html(String about, List<Result> results) {
        Result anyDay = results.get(0);
        Page page = new Page("Experiment " + anyDay.experiment());
        page.paragraph(about);
        page.paragraph(
                anyDay.mode().equals("virtual")
                        ? "Played on the virtual clock."
                        : "Played in real time against real sidecar processes.");
        page.table(COLUMNS, results.stream().map(RunReport::row).toList());
        addRulesAndNotes(page, results);
        List<RunComparison> policies = RunComparison.comparePolicies(results);
        if (!policies.isEmpty()) {
            ComparisonReport.addTables(page, policies, "first", "other");
        }
        addPlots(page, results);
        return page.html();
    }

    private static List<String> row(Result day) {
        Result.Totals totals = day.totals();
        return List.of(
                ResultGroups.experimentTitle(day),
                day.policy(),
                String.valueOf(day.seed()),
                threeDecimals(day.g()),
                threeDecimals(day.whole()),
                threeDecimals(day.worstTenSeconds()),
                threeDecimals(day.worstClass()),
                percentOfRequests(totals.refused(), totals),
                percentOfRequests(totals.failed(), totals),
                percentOfRequests(totals.late(), totals),
                String.valueOf(Math.round(day.latency().p50())),
                String.valueOf(Math.round(day.latency().p99())),
                String.format(
                        Locale.ROOT,
                        "%.2f",
                        (double) totals.attempts() / Math.max(1, totals.offered())),
                day.hasNoViolations() ? "kept" : "BROKEN: " + day.rules());
    }

    private static void addRulesAndNotes(Page page, List<Result> results) {
        List<String> lines = new ArrayList<>();
        for (Result day : results) {
            day.broken().forEach(violation -> lines.add(text(day, violation)));
        }
        for (Result day : results) {
            String prefix = ResultGroups.policyTitle(day) + ", seed " + day.seed() + ": ";
            day.notes().forEach(note -> lines.add(prefix + note));
        }
        if (!lines.isEmpty()) {
            page.heading("Broken rules and notes");
            page.list(lines);
        }
    }

    private static String text(Result day, RulesChecker.Violation violation) {
        return String.format(
                Locale.ROOT,
                "%s, seed %d, %s: %s at %.3f s, request %s, nodo %s: %s",
                ResultGroups.policyTitle(day),
                day.seed(),
                day.mode(),
                violation.rule().name().toLowerCase(Locale.ROOT),
                violation.atMs() / 1000,
                violation.request(),
                violation.nodo(),
                violation.why());
    }

    private static void addPlots(Page page, List<Result> results) {
        DayPlots plots = new DayPlots(page);
        Map<String, Map<String, Result>> daysByTitle = new LinkedHashMap<>();
        for (Result day : results) {
            daysByTitle
                    .computeIfAbsent(
                            ResultGroups.experimentTitle(day) + ", seed " + day.seed(),
                            title -> new LinkedHashMap<>())
                    .put(day.policy(), day);
        }
        // A plot for every seed of a long run would bury the first.
        Set<String> plotted = new LinkedHashSet<>();
        daysByTitle.forEach(
                (title, daysByPolicy) -> {
                    Result anyDay = daysByPolicy.values().iterator().next();
                    if (plotted.add(ResultGroups.experimentTitle(anyDay))) {
                        page.heading(title);
                        plots.add(daysByPolicy);
                    }
                });
    }

    private static String threeDecimals(double figure) {
        return String.format(Locale.ROOT, "%.3f", figure);
    }

    private static String percentOfRequests(long count, Result.Totals totals) {
        return String.format(Locale.ROOT, "%.1f %%", 100.0 * count / Math.max(1, totals.offered()));
    }
}
