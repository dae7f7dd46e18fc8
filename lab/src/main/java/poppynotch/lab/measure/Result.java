package poppynotch.lab.measure;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import java.util.Map;

/**
 * The result of one simulated day. The names of the components are the keys of its JSON.
 *
 * @param point the keys that a sweep changed, with their values
 * @param g the score of the day: whole day, worst ten seconds and worst class by their weights,
 *     less the prices
 * @param whole the value served in time over the value offered
 * @param prices what each price took off
 * @param broken the first violations of each rule
 * @param seconds what happened in each second in which requests came
 * @param troubles the injected faults
 * @param nodos attempts that each model server received, by its tier's name and its id
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

    /** An injected fault, from when to when, in seconds. */
    public record Span(String kind, double from, double to) {}

    /** Clients' latencies from their first attempt, in milliseconds. */
    public record Latency(double p50, double p90, double p99, double p999, double max) {}

    /**
     * One second, by the clients' first attempts.
     *
     * @param limit the mean concurrency limit of the first tier's sidecars, or -1 if unknown
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

    /** Whether no rule was violated. */
    public boolean hasNoViolations() {
        return rules.isEmpty();
    }
}
