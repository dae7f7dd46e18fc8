package poppynotch.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import poppynotch.lab.measure.Result;

/**
 * Renders comparisons: in plain lines, as tables of a page, and as a page with plots. Stateless.
 */
public final class ComparisonReport {

    private ComparisonReport() {}

    /** Returns a comparison in plain lines: its title, then a line for each figure. */
    public static List<String> lines(RunComparison comparison) {
        List<String> lines = new ArrayList<>();
        lines.add(comparison.what() + ", " + seeds(comparison));
        comparison
                .figures()
                .forEach(
                        (title, difference) ->
                                lines.add(
                                        String.format(
                                                Locale.ROOT,
                                                "  %-26s %8.3f  %8.3f   %s%s",
                                                title,
                                                difference.first(),
                                                difference.second(),
                                                text(difference),
                                                verdict(difference))));
        return lines;
    }

    /**
     * Writes a comparison of two runs as {@code comparison.json} and {@code comparison.html}.
     *
     * @param folder is created if it does not exist
     */
    public static void write(
            Path folder, List<RunComparison> comparisons, List<Result> before, List<Result> after)
            throws IOException {
        Files.createDirectories(folder);
        ResultFile.JSON.writeValue(folder.resolve("comparison.json").toFile(), comparisons);
        Page page = new Page("Two runs side by side");
        addTables(page, comparisons, "first", "second");
        Map<String, Map<Long, Result>> secondDays = ResultGroups.bySeed(after);
        DayPlots plots = new DayPlots(page);
        // Only the first seed of each group is plotted.
        Set<String> plotted = new LinkedHashSet<>();
        for (Result first : before) {
            String group = ResultGroups.policyTitle(first);
            Result second = secondDays.getOrDefault(group, Map.of()).get(first.seed());
            if (second != null && plotted.add(group)) {
                page.heading(group + ", seed " + first.seed());
                plots.add(Map.of("1st run", first, "2nd run", second));
            }
        }
        Files.writeString(folder.resolve("comparison.html"), page.html());
    }

    /** Adds a table for each comparison; the names of the groups head the columns. */
    static void addTables(
            Page page, List<RunComparison> comparisons, String firstName, String secondName) {
        page.heading("Differences, seed by seed, with 95 % confidence intervals");
        for (RunComparison comparison : comparisons) {
            page.paragraph(comparison.what() + " (" + seeds(comparison) + ")");
            List<List<String>> rows = new ArrayList<>();
            comparison
                    .figures()
                    .forEach(
                            (title, difference) ->
                                    rows.add(
                                            List.of(
                                                    title,
                                                    threeDecimals(difference.first()),
                                                    threeDecimals(difference.second()),
                                                    text(difference),
                                                    verdict(difference).trim())));
            page.table(List.of("figure", firstName, secondName, "difference", ""), rows);
        }
    }

    private static String seeds(RunComparison comparison) {
        return comparison.seeds() + (comparison.seeds() == 1 ? " seed" : " seeds");
    }

    private static String text(RunComparison.Difference difference) {
        double halfWidth = difference.halfWidth() == null ? Double.NaN : difference.halfWidth();
        return new PairedMean(0, difference.mean(), halfWidth).text(true);
    }

    private static String verdict(RunComparison.Difference difference) {
        if (!difference.clear() || difference.mean() == 0) {
            return "";
        }
        return difference.better() ? "  better" : "  worse";
    }

    private static String threeDecimals(double figure) {
        return String.format(Locale.ROOT, "%.3f", figure);
    }
}
