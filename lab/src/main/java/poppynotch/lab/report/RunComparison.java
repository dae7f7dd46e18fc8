package poppynotch.lab.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import poppynotch.lab.measure.Result;

/**
 * The comparison of two groups of days, paired by seed. Immutable; its components are the keys of
 * {@code comparison.json}.
 *
 * @param what the experiment, its point and what is compared
 * @param seeds how many seeds both groups have
 * @param figures the differences by the title of the figure
 */
public record RunComparison(String what, int seeds, Map<String, Difference> figures) {

    /**
     * One figure of both groups, and the difference of the second to the first.
     *
     * @param first the mean of the first group
     * @param second the mean of the second group
     * @param mean the mean difference over the seeds
     * @param halfWidth half of the 95 % interval of the difference, or null for a single seed
     * @param clear whether the interval excludes 0
     * @param better whether the second group is the better one by the mean
     */
    public record Difference(
            double first,
            double second,
            double mean,
            Double halfWidth,
            boolean clear,
            boolean better) {}

    /**
     * Compares the days that two runs have in common: the same experiment, point, policy and seed.
     * The list is empty if there are none.
     */
    public static List<RunComparison> compare(List<Result> before, List<Result> after) {
        Map<String, Map<Long, Result>> first = ResultGroups.bySeed(before);
        Map<String, Map<Long, Result>> second = ResultGroups.bySeed(after);
        List<RunComparison> comparisons = new ArrayList<>();
        first.forEach(
                (group, days) -> {
                    if (second.containsKey(group)) {
                        comparisons.add(compare(group, days, second.get(group)));
                    }
                });
        comparisons.removeIf(comparison -> comparison.seeds() == 0);
        return comparisons;
    }

    /** Compares each further policy of a run with the first one that was played. */
    public static List<RunComparison> comparePolicies(List<Result> results) {
        Map<String, Map<String, Map<Long, Result>>> groups = new LinkedHashMap<>();
        for (Result result : results) {
            groups.computeIfAbsent(
                            ResultGroups.experimentTitle(result), title -> new LinkedHashMap<>())
                    .computeIfAbsent(result.policy(), policy -> new LinkedHashMap<>())
                    .put(result.seed(), result);
        }
        List<RunComparison> comparisons = new ArrayList<>();
        groups.forEach(
                (group, daysByPolicy) -> comparisons.addAll(comparePolicies(group, daysByPolicy)));
        return comparisons;
    }

    private static List<RunComparison> comparePolicies(
            String group, Map<String, Map<Long, Result>> daysByPolicy) {
        String first = daysByPolicy.keySet().iterator().next();
        List<RunComparison> comparisons = new ArrayList<>();
        daysByPolicy.forEach(
                (policy, days) -> {
                    if (!policy.equals(first)) {
                        String what =
                                group + ": " + policy + " (other) against " + first + " (first)";
                        comparisons.add(compare(what, daysByPolicy.get(first), days));
                    }
                });
        return comparisons;
    }

    private static RunComparison compare(
            String what, Map<Long, Result> first, Map<Long, Result> second) {
        Set<Long> seeds = new LinkedHashSet<>(first.keySet());
        seeds.retainAll(second.keySet());
        Map<String, Difference> figures = new LinkedHashMap<>();
        if (!seeds.isEmpty()) {
            for (ComparedFigure figure : ComparedFigure.values()) {
                figures.put(figure.title(), difference(figure, seeds, first, second));
            }
        }
        return new RunComparison(what, seeds.size(), figures);
    }

    private static Difference difference(
            ComparedFigure figure,
            Set<Long> seeds,
            Map<Long, Result> first,
            Map<Long, Result> second) {
        List<Double> firstValues = new ArrayList<>();
        List<Double> secondValues = new ArrayList<>();
        List<Double> differences = new ArrayList<>();
        for (long seed : seeds) {
            double firstValue = figure.of(first.get(seed));
            double secondValue = figure.of(second.get(seed));
            firstValues.add(firstValue);
            secondValues.add(secondValue);
            differences.add(secondValue - firstValue);
        }
        PairedMean paired = PairedMean.of(differences);
        return new Difference(
                PairedMean.of(firstValues).mean(),
                PairedMean.of(secondValues).mean(),
                paired.mean(),
                Double.isNaN(paired.halfWidth()) ? null : paired.halfWidth(),
                paired.isClear(),
                paired.mean() > 0 == figure.moreIsBetter());
    }
}
