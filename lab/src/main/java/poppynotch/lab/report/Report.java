package poppynotch.lab.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import poppynotch.lab.measure.Result;

/**
 * What a run leaves: {@code result.json} with every figure, and {@code report.html}, one page that
 * needs nothing beside it. A comparison leaves the same of two runs.
 */
public final class Report {

    /** Figures that runs are compared by, each with whether more of it is better. */
    public enum Figure {
        /** The mark of the day. */
        G("G", true, Result::g),
        /** The worth served in time. */
        WHOLE("worth in time, whole day", true, Result::whole),
        /** The worst ten seconds. */
        WORST("worth in time, worst 10 s", true, Result::worstTenSeconds),
        /** Refused requests, as a part of all. */
        REFUSED("refused", false, r -> part(r, r.totals().refused())),
        /** Failed requests, as a part of all. */
        FAILED("failed", false, r -> part(r, r.totals().failed())),
        /** Late answers, as a part of all requests. */
        LATE("late", false, r -> part(r, r.totals().late())),
        /** Attempts at nodos for each request. */
        ATTEMPTS("attempts a request", false, r -> part(r, r.totals().attempts())),
        /** Work that served nobody, as a part of that which did. */
        WASTE(
                "work wasted",
                false,
                r ->
                        (r.totals().workMs() - r.totals().usefulWorkMs())
                                / Math.max(1, r.totals().usefulWorkMs())),
        /** The median wait, in seconds. */
        P50("median wait, s", false, r -> r.latency().p50() / 1000),
        /** The 99th percentile of waits, in seconds. */
        P99("99th percentile, s", false, r -> r.latency().p99() / 1000);

        private final String title;
        private final boolean moreIsBetter;
        private final ToDoubleFunction<Result> of;

        Figure(String title, boolean moreIsBetter, ToDoubleFunction<Result> of) {
            this.title = title;
            this.moreIsBetter = moreIsBetter;
            this.of = of;
        }

        private static double part(Result r, long count) {
            return (double) count / Math.max(1, r.totals().offered());
        }
    }

    /**
     * Two groups of days, seed by seed.
     *
     * @param what the experiment, its point and what is compared
     */
    public record Comparison(String what, int seeds, Map<String, Difference> figures) {}

    /** One figure of both, and the difference of the second to the first. */
    public record Difference(
            double first,
            double second,
            double mean,
            Double halfWidth,
            boolean clear,
            boolean better) {}

    private static final ObjectMapper JSON =
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    private Report() {}

    /** Writes a run's report into a folder, which is made where it is not there. */
    public static void write(Path folder, String about, List<Result> results) throws IOException {
        Files.createDirectories(folder);
        JSON.writeValue(folder.resolve("result.json").toFile(), results);
        Files.writeString(folder.resolve("report.html"), html(about, results));
    }

    /** Reads a run's result: the file, or the folder that holds it. */
    public static List<Result> read(Path from) throws IOException {
        Path file = Files.isDirectory(from) ? from.resolve("result.json") : from;
        try {
            return List.of(JSON.readValue(Files.readAllBytes(file), Result[].class));
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException(file + " is not there", e);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    file
                            + " is no result of a run: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""),
                    e);
        }
    }

    private static String group(Result result, boolean withPolicy) {
        return result.experiment()
                + (result.point().isEmpty() ? "" : " " + result.point())
                + (withPolicy ? ", " + result.policy() : "");
    }

    /**
     * Days of two runs that can be laid side by side: the same experiment, point, policy and seed.
     */
    public static List<Comparison> compare(List<Result> before, List<Result> after) {
        Map<String, Map<Long, Result>> first = bySeed(before, true);
        Map<String, Map<Long, Result>> second = bySeed(after, true);
        List<Comparison> all = new ArrayList<>();
        first.forEach(
                (group, days) -> {
                    if (second.containsKey(group)) {
                        all.add(compare(group, days, second.get(group)));
                    }
                });
        all.removeIf(comparison -> comparison.seeds() == 0);
        return all;
    }

    /** Each policy of a run beside its first. */
    public static List<Comparison> comparePolicies(List<Result> results) {
        List<Comparison> all = new ArrayList<>();
        Map<String, Map<String, Map<Long, Result>>> groups = new LinkedHashMap<>();
        for (Result result : results) {
            groups.computeIfAbsent(group(result, false), g -> new LinkedHashMap<>())
                    .computeIfAbsent(result.policy(), p -> new LinkedHashMap<>())
                    .put(result.seed(), result);
        }
        groups.forEach(
                (group, policies) -> {
                    String first = policies.keySet().iterator().next();
                    policies.forEach(
                            (policy, days) -> {
                                if (!policy.equals(first)) {
                                    all.add(
                                            compare(
                                                    group
                                                            + ": "
                                                            + policy
                                                            + " (other) against "
                                                            + first
                                                            + " (first)",
                                                    policies.get(first),
                                                    days));
                                }
                            });
                });
        return all;
    }

    private static Map<String, Map<Long, Result>> bySeed(List<Result> results, boolean withPolicy) {
        Map<String, Map<Long, Result>> groups = new LinkedHashMap<>();
        results.forEach(
                result ->
                        groups.computeIfAbsent(
                                        group(result, withPolicy), g -> new LinkedHashMap<>())
                                .put(result.seed(), result));
        return groups;
    }

    private static Comparison compare(
            String what, Map<Long, Result> first, Map<Long, Result> second) {
        Set<Long> seeds = new LinkedHashSet<>(first.keySet());
        seeds.retainAll(second.keySet());
        Map<String, Difference> figures = new LinkedHashMap<>();
        for (Figure figure : Figure.values()) {
            List<Double> a = new ArrayList<>();
            List<Double> b = new ArrayList<>();
            List<Double> differences = new ArrayList<>();
            for (long seed : seeds) {
                a.add(figure.of.applyAsDouble(first.get(seed)));
                b.add(figure.of.applyAsDouble(second.get(seed)));
                differences.add(b.get(b.size() - 1) - a.get(a.size() - 1));
            }
            if (!seeds.isEmpty()) {
                Paired paired = Paired.of(differences);
                figures.put(
                        figure.title,
                        new Difference(
                                Paired.of(a).mean(),
                                Paired.of(b).mean(),
                                paired.mean(),
                                Double.isNaN(paired.halfWidth()) ? null : paired.halfWidth(),
                                paired.isClear(),
                                paired.mean() > 0 == figure.moreIsBetter));
            }
        }
        return new Comparison(what, seeds.size(), figures);
    }

    /** A comparison in plain lines. */
    public static List<String> lines(Comparison comparison) {
        List<String> lines = new ArrayList<>();
        lines.add(
                comparison.what()
                        + ", "
                        + comparison.seeds()
                        + (comparison.seeds() == 1 ? " seed" : " seeds"));
        comparison
                .figures()
                .forEach(
                        (title, d) ->
                                lines.add(
                                        String.format(
                                                Locale.ROOT,
                                                "  %-26s %8.3f  %8.3f   %s%s",
                                                title,
                                                d.first(),
                                                d.second(),
                                                difference(d),
                                                verdict(d))));
        return lines;
    }

    private static String difference(Difference d) {
        return new Paired(0, d.mean(), d.halfWidth() == null ? Double.NaN : d.halfWidth())
                .text(true);
    }

    private static String verdict(Difference d) {
        return !d.clear() || d.mean() == 0 ? "" : d.better() ? "  better" : "  worse";
    }

    /**
     * Writes a comparison into a folder, as {@code comparison.json} and {@code comparison.html}.
     */
    public static void write(
            Path folder, List<Comparison> comparisons, List<Result> before, List<Result> after)
            throws IOException {
        Files.createDirectories(folder);
        JSON.writeValue(folder.resolve("comparison.json").toFile(), comparisons);
        Page page = new Page("Two runs side by side");
        comparisons(page, comparisons, "first", "second");
        Map<String, Map<Long, Result>> second = bySeed(after, true);
        Charts charts = new Charts();
        Set<String> drawn = new LinkedHashSet<>();
        for (Result a : before) {
            String group = group(a, true);
            Result b = second.getOrDefault(group, Map.of()).get(a.seed());
            if (b != null && drawn.add(group)) {
                page.heading(group + ", seed " + a.seed());
                plots(page, charts, Map.of("1st run", a, "2nd run", b));
            }
        }
        Files.writeString(folder.resolve("comparison.html"), page.html());
    }

    // ---- the page ----

    private static String html(String about, List<Result> results) {
        Result any = results.get(0);
        Page page = new Page("Experiment " + any.experiment());
        page.paragraph(about);
        page.paragraph(
                any.mode().equals("virtual")
                        ? "Played on the virtual clock."
                        : "Played in real time against real sidecar processes.");
        List<String> rows = new ArrayList<>();
        page.table(
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
                        "rules"),
                results.stream()
                        .map(
                                r ->
                                        List.of(
                                                r.experiment()
                                                        + (r.point().isEmpty()
                                                                ? ""
                                                                : " " + r.point()),
                                                r.policy(),
                                                String.valueOf(r.seed()),
                                                three(r.g()),
                                                three(r.whole()),
                                                three(r.worstTenSeconds()),
                                                three(r.worstClass()),
                                                percent(r.totals().refused(), r),
                                                percent(r.totals().failed(), r),
                                                percent(r.totals().late(), r),
                                                String.valueOf(Math.round(r.latency().p50())),
                                                String.valueOf(Math.round(r.latency().p99())),
                                                String.format(
                                                        Locale.ROOT,
                                                        "%.2f",
                                                        (double) r.totals().attempts()
                                                                / Math.max(
                                                                        1, r.totals().offered())),
                                                r.kept() ? "kept" : "BROKEN: " + r.rules()))
                        .toList());
        results.forEach(
                r ->
                        r.broken()
                                .forEach(
                                        b ->
                                                rows.add(
                                                        String.format(
                                                                Locale.ROOT,
                                                                "%s, seed %d, %s: %s at %.3f s,"
                                                                    + " request %s, nodo %s: %s",
                                                                group(r, true),
                                                                r.seed(),
                                                                r.mode(),
                                                                b.rule()
                                                                        .name()
                                                                        .toLowerCase(Locale.ROOT),
                                                                b.atMs() / 1000,
                                                                b.request(),
                                                                b.nodo(),
                                                                b.why()))));
        results.forEach(
                r ->
                        r.notes()
                                .forEach(
                                        note ->
                                                rows.add(
                                                        group(r, true)
                                                                + ", seed "
                                                                + r.seed()
                                                                + ": "
                                                                + note)));
        if (!rows.isEmpty()) {
            page.heading("Broken rules and notes");
            page.list(rows);
        }
        List<Comparison> policies = comparePolicies(results);
        if (!policies.isEmpty()) {
            comparisons(page, policies, "first", "other");
        }
        Charts charts = new Charts();
        Map<String, Map<String, Result>> groups = new LinkedHashMap<>();
        for (Result r : results) {
            groups.computeIfAbsent(
                            group(r, false) + ", seed " + r.seed(), g -> new LinkedHashMap<>())
                    .put(r.policy(), r);
        }
        // A plot for every seed of a long run would bury the first.
        Set<String> drawn = new LinkedHashSet<>();
        groups.forEach(
                (title, days) -> {
                    if (drawn.add(group(days.values().iterator().next(), false))) {
                        page.heading(title);
                        plots(page, charts, days);
                    }
                });
        return page.html();
    }

    private static void comparisons(
            Page page, List<Comparison> comparisons, String first, String second) {
        page.heading("Differences, seed by seed, with 95 % confidence intervals");
        for (Comparison c : comparisons) {
            page.paragraph(c.what() + " (" + c.seeds() + (c.seeds() == 1 ? " seed)" : " seeds)"));
            List<List<String>> rows = new ArrayList<>();
            c.figures()
                    .forEach(
                            (title, d) ->
                                    rows.add(
                                            List.of(
                                                    title,
                                                    three(d.first()),
                                                    three(d.second()),
                                                    difference(d),
                                                    verdict(d).trim())));
            page.table(List.of("figure", first, second, "difference", ""), rows);
        }
    }

    private static void plots(Page page, Charts charts, Map<String, Result> days) {
        Map<String, Result> sorted = new TreeMap<>(days);
        Result first = sorted.values().iterator().next();
        if (!first.troubles().isEmpty()) {
            page.paragraph(
                    "Shaded: "
                            + first.troubles().stream()
                                    .map(
                                            t ->
                                                    String.format(
                                                            Locale.ROOT,
                                                            "%s from %.0f to %.0f s",
                                                            t.kind(),
                                                            t.from(),
                                                            t.to()))
                                    .collect(Collectors.joining(", "))
                            + ".");
        }
        page.plot(
                charts.overTime(
                        "Worth served in time",
                        "part of that asked for",
                        lines(sorted, Result.Second::worth, ""),
                        first.troubles()));
        List<Charts.Line> waits = new ArrayList<>(lines(sorted, Result.Second::p50, " p50"));
        waits.addAll(lines(sorted, Result.Second::p99, " p99"));
        page.plot(charts.overTime("What clients waited", "ms", waits, first.troubles()));
        List<Charts.Line> outcomes =
                new ArrayList<>(lines(sorted, Result.Second::refused, " refused"));
        outcomes.addAll(lines(sorted, Result.Second::failed, " failed"));
        outcomes.addAll(lines(sorted, Result.Second::late, " late"));
        page.plot(
                charts.overTime(
                        "Requests not served in time", "a second", outcomes, first.troubles()));
        page.plot(
                charts.overTime(
                        "Clients' retries",
                        "a second",
                        lines(sorted, Result.Second::retries, ""),
                        first.troubles()));
        page.plot(
                charts.overTime(
                        "Attempts at nodos, all tiers",
                        "a second",
                        lines(sorted, Result.Second::attempts, ""),
                        first.troubles()));
        page.plot(
                charts.overTime(
                        "Limit of the first tier's sidecars",
                        "calls at once, mean",
                        lines(sorted, Result.Second::limit, ""),
                        first.troubles()));
        for (String tier : first.nodos().keySet()) {
            page.plot(
                    charts.overNodos(
                            "Calls a nodo, tier " + tier + ", from the busiest on",
                            "of the mean",
                            sorted.entrySet().stream()
                                    .map(
                                            day ->
                                                    Charts.spread(
                                                            day.getKey(),
                                                            day.getValue()
                                                                    .nodos()
                                                                    .getOrDefault(tier, Map.of())))
                                    .toList()));
        }
    }

    private static List<Charts.Line> lines(
            Map<String, Result> days, ToDoubleFunction<Result.Second> figure, String suffix) {
        return days.entrySet().stream()
                .map(day -> Charts.perSecond(day.getKey() + suffix, day.getValue(), figure))
                .toList();
    }

    private static String three(double figure) {
        return String.format(Locale.ROOT, "%.3f", figure);
    }

    private static String percent(long count, Result result) {
        return String.format(
                Locale.ROOT, "%.1f %%", 100.0 * count / Math.max(1, result.totals().offered()));
    }
}
