package poppynotch.lab.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import poppynotch.lab.measure.Result;

/**
 * Adds the plots of days to a page: the course of each figure over the seconds, with the faults
 * shaded, and the spread of calls over the model servers. One for each page, used by one thread.
 */
final class DayPlots {

    private final Page page;
    private final Charts charts = new Charts();

    DayPlots(Page page) {
        this.page = page;
    }

    /**
     * Adds the plots of some days to the end of the page, with a line for each day. The faults and
     * tiers are those of the first day by name.
     *
     * @param daysByName the days by their names in the legend
     */
    void add(Map<String, Result> daysByName) {
        Map<String, Result> days = new TreeMap<>(daysByName);
        Result first = days.values().iterator().next();
        List<Result.Span> faults = first.troubles();
        if (!faults.isEmpty()) {
            page.paragraph("Shaded: " + text(faults) + ".");
        }
        addPlot(
                "Worth served in time",
                "part of that asked for",
                lines(days, Result.Second::worth, ""),
                faults);
        List<Charts.Line> latencies = new ArrayList<>(lines(days, Result.Second::p50, " p50"));
        latencies.addAll(lines(days, Result.Second::p99, " p99"));
        addPlot("What clients waited", "ms", latencies, faults);
        List<Charts.Line> outcomes =
                new ArrayList<>(lines(days, Result.Second::refused, " refused"));
        outcomes.addAll(lines(days, Result.Second::failed, " failed"));
        outcomes.addAll(lines(days, Result.Second::late, " late"));
        addPlot("Requests not served in time", "a second", outcomes, faults);
        addPlot("Clients' retries", "a second", lines(days, Result.Second::retries, ""), faults);
        addPlot(
                "Attempts at nodos, all tiers",
                "a second",
                lines(days, Result.Second::attempts, ""),
                faults);
        addPlot(
                "Limit of the first tier's sidecars",
                "calls at once, mean",
                lines(days, Result.Second::limit, ""),
                faults);
        first.nodos().keySet().forEach(tier -> addSpread(days, tier));
    }

    private void addPlot(
            String title, String unit, List<Charts.Line> lines, List<Result.Span> faults) {
        page.plot(charts.overTime(title, unit, lines, faults));
    }

    private void addSpread(Map<String, Result> days, String tier) {
        List<Charts.Line> lines =
                days.entrySet().stream()
                        .map(
                                day ->
                                        Charts.spread(
                                                day.getKey(),
                                                day.getValue()
                                                        .nodos()
                                                        .getOrDefault(tier, Map.of())))
                        .toList();
        page.plot(
                charts.overNodos(
                        "Calls a nodo, tier " + tier + ", from the busiest on",
                        "of the mean",
                        lines));
    }

    private static String text(List<Result.Span> faults) {
        return faults.stream()
                .map(
                        fault ->
                                String.format(
                                        Locale.ROOT,
                                        "%s from %.0f to %.0f s",
                                        fault.kind(),
                                        fault.from(),
                                        fault.to()))
                .collect(Collectors.joining(", "));
    }

    private static List<Charts.Line> lines(
            Map<String, Result> days, ToDoubleFunction<Result.Second> figure, String suffix) {
        return days.entrySet().stream()
                .map(day -> Charts.perSecond(day.getKey() + suffix, day.getValue(), figure))
                .toList();
    }
}
