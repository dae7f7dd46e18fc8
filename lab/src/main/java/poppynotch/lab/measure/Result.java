package poppynotch.lab.measure;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import java.util.Map;

/**
 * One day as it went.
 *
 * @param point the keys that a sweep changed, with their values
 * @param g the mark of the day: whole, worst ten seconds and worst class by their weights, less the
 *     prices
 * @param whole the worth answered in time over the worth asked for
 * @param prices what each price took off
 * @param broken each broken rule with request, model server and time, the first of each kind
 * @param seconds what happened in each second in which requests came
 * @param troubles what went wrong on purpose
 * @param nodos calls that each model server got, by its tier's name and its own
 */
@JsonPropertyOrder({"experiment", "mode", "policy", "seed", "point", "g"})
public record Result(
        String experiment,
        String mode,
        String policy,
        long seed,
        Map<String, String> point,
        double g,
        double whole,
        double worstTenSeconds,
        double worstClass,
        Map<String, Double> classes,
        Map<String, Double> prices,
        Map<String, Integer> rules,
        List<RulesChecker.Violation> broken,
        Totals totals,
        Latency latency,
        List<Second> seconds,
        Map<String, Map<String, Integer>> nodos,
        List<Span> troubles,
        List<String> notes) {

    /** Counts over the whole day. */
    public record Totals(
            long offered,
            long inTime,
            long late,
            long refused,
            long failed,
            long tries,
            long calls,
            long attempts,
            long errors,
            long turnedAway,
            long resets,
            long garbled,
            long left,
            long unconnected,
            long crossZone,
            double workMs,
            double usefulWorkMs) {}

    /** A fault of the day, from when to when, in seconds. */
    public record Span(String kind, double from, double to) {}

    /** What clients waited for answers, from their first try, in milliseconds. */
    public record Latency(double p50, double p90, double p99, double p999, double max) {}

    /**
     * One second, by when clients first asked.
     *
     * @param limit the mean limit of the first tier's sidecars, or -1 where nobody could see it
     */
    public record Second(
            int at,
            long offered,
            long inTime,
            long late,
            long refused,
            long failed,
            double worth,
            double p50,
            double p99,
            long attempts,
            long retries,
            double limit) {}

    /** Whether no rule was broken. */
    public boolean kept() {
        return rules.isEmpty();
    }
}
