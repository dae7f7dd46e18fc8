package poppynotch.lab.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import poppynotch.lab.measure.Result;

/**
 * The results of a drill: the invariants of the membership that were violated, and what was
 * measured. Immutable.
 *
 * @param plan that was played
 * @param day results of the load
 * @param violations invariants that were violated, a line each
 * @param figures that were measured, a line each
 * @param views by process, points of seconds and the number of members it saw present
 * @param correctViews points of seconds and the fraction of the processes whose view was correct
 * @param events that happened, in order
 */
public record DrillOutcome(
        DrillPlan plan,
        Result day,
        List<String> violations,
        List<String> figures,
        Map<String, List<double[]>> views,
        List<double[]> correctViews,
        List<String> events) {

    /**
     * A suspect has 7 s to refute, and updates need some more to spread: for so long after a fault
     * or a restart a wrong view is no violation.
     */
    private static final double DETECTION_S = 12;

    /** Step of the series of correct views. */
    private static final double STEP_S = 0.5;

    /** An older sample says nothing on what a process sees now: it does not answer. */
    private static final double MAX_SAMPLE_AGE_S = 1.5;

    /** Of violations that are listed: one fault may lead to very many. */
    private static final int MAX_FALSE_DEATHS = 20;

    private static final List<String> PRESENT_STATES = List.of("alive", "suspect");

    /**
     * One run of a process.
     *
     * @param name as a member of the fleet
     * @param process name of this run, which no other has
     * @param from seconds from the start of the day
     * @param to seconds from the start of the day; infinite if it did not end
     */
    record ProcessRun(String name, String process, double from, double to) {
        boolean isRunningAt(double second) {
            return from <= second && second < to;
        }
    }

    /**
     * A fault as it was injected.
     *
     * @param kind of the fault
     * @param names of the members that it was for
     * @param from seconds from the start of the day
     * @param to seconds from the start of the day
     */
    record InjectedFault(DrillPlan.Kind kind, List<String> names, double from, double to) {}

    /**
     * Evaluates a drill.
     *
     * @param runs of all processes, restarted ones too
     * @param samples of membership views, by the names of runs
     */
    static DrillOutcome of(
            DrillPlan plan,
            Result day,
            List<ProcessRun> runs,
            List<InjectedFault> faults,
            Map<String, List<MembershipTimeline.Sample>> samples,
            List<String> events) {
        List<String> broken = new ArrayList<>();
        List<String> figures = new ArrayList<>();
        figures.add(detectionTimes(runs, samples));
        checkFalseDeaths(runs, faults, samples, broken);
        List<double[]> right = correctViews(runs, samples);
        checkConvergence(plan, runs, right, broken, figures);
        addRuleViolations(day, broken);
        return new DrillOutcome(plan, day, broken, figures, presentCounts(samples), right, events);
    }

    private static String detectionTimes(
            List<ProcessRun> runs, Map<String, List<MembershipTimeline.Sample>> samples) {
        Histogram detectionMs = new Histogram(3);
        int ends = recordDetections(runs, samples, detectionMs);
        return String.format(
                Locale.ROOT,
                "%d processes ended unasked or by SIGTERM; held dead or gone by one other"
                        + " after %.1f s (median), %.1f s (worst), as looked at four times a"
                        + " second",
                ends,
                detectionMs.getValueAtPercentile(50) / 1000.0,
                detectionMs.getMaxValue() / 1000.0);
    }

    /** After the last change all must come to see the same, correct view in the time allowed. */
    private static void checkConvergence(
            DrillPlan plan,
            List<ProcessRun> runs,
            List<double[]> right,
            List<String> broken,
            List<String> figures) {
        double lastChange = lastChange(plan, runs, right);
        double healed = Double.NaN;
        for (int i = right.size() - 1; i >= 0 && right.get(i)[1] >= 1; i--) {
            healed = right.get(i)[0];
        }
        if (Double.isNaN(healed) || healed > lastChange + plan.healSeconds()) {
            broken.add(
                    String.format(
                            Locale.ROOT,
                            "one view: %.0f s after the last change at %.1f s not all"
                                    + " saw the same and the truth",
                            plan.healSeconds(),
                            lastChange));
        } else {
            figures.add(
                    String.format(
                            Locale.ROOT,
                            "all saw the same and the truth %.1f s after the last change,"
                                    + " at %.1f s",
                            Math.max(0, healed - lastChange),
                            lastChange));
        }
    }

    private static void addRuleViolations(Result day, List<String> broken) {
        day.rules()
                .forEach(
                        (rule, count) ->
                                broken.add("rule " + rule + " broken " + count + " times"));
        day.broken()
                .forEach(
                        each ->
                                broken.add(
                                        String.format(
                                                Locale.ROOT,
                                                "at %.3f s: request %s, nodo %s: %s",
                                                each.atMs() / 1000,
                                                each.request(),
                                                each.nodo(),
                                                each.why())));
    }

    private static Map<String, List<double[]>> presentCounts(
            Map<String, List<MembershipTimeline.Sample>> samples) {
        Map<String, List<double[]>> views = new TreeMap<>();
        samples.forEach(
                (process, own) ->
                        views.put(
                                process,
                                own.stream()
                                        .filter(one -> one.at() >= 0)
                                        .map(one -> new double[] {one.at(), one.present()})
                                        .toList()));
        return views;
    }

    private static double lastSampleAt(Map<String, List<MembershipTimeline.Sample>> samples) {
        return samples.values().stream()
                .flatMap(List::stream)
                .mapToDouble(MembershipTimeline.Sample::at)
                .max()
                .orElse(0);
    }

    /**
     * Records for each run that ended how long it took until one other process saw that, in
     * milliseconds.
     *
     * @return the number of runs that ended, other than close to the end of the drill
     */
    private static int recordDetections(
            List<ProcessRun> runs,
            Map<String, List<MembershipTimeline.Sample>> samples,
            Histogram detectionMs) {
        int ends = 0;
        double lastSampleAt = lastSampleAt(samples);
        for (ProcessRun run : runs) {
            if (run.to() >= lastSampleAt - DETECTION_S || run.to() < 0) {
                continue;
            }
            ends++;
            samples.values().stream()
                    .flatMap(List::stream)
                    .filter(
                            one ->
                                    one.at() > run.to()
                                            && List.of("dead", "left")
                                                    .contains(
                                                            one.states()
                                                                    .getOrDefault(run.name(), "")))
                    .mapToDouble(MembershipTimeline.Sample::at)
                    .min()
                    .ifPresent(at -> detectionMs.recordValue(Math.round((at - run.to()) * 1000)));
        }
        return ends;
    }

    /** A process that runs undisturbed must not be seen as dead by another such process. */
    private static void checkFalseDeaths(
            List<ProcessRun> runs,
            List<InjectedFault> faults,
            Map<String, List<MembershipTimeline.Sample>> samples,
            List<String> broken) {
        for (ProcessRun observer : runs) {
            for (MembershipTimeline.Sample sample :
                    samples.getOrDefault(observer.process(), List.of())) {
                for (ProcessRun other : runs) {
                    boolean isFalse =
                            "dead".equals(sample.states().get(other.name()))
                                    && isSettled(runs, other, sample.at())
                                    && isUndisturbed(faults, sample.at(), observer.name())
                                    && isUndisturbed(faults, sample.at(), other.name());
                    if (isFalse && broken.size() < MAX_FALSE_DEATHS) {
                        broken.add(
                                String.format(
                                        Locale.ROOT,
                                        "no false death: %s held %s dead at %.1f s",
                                        observer.name(),
                                        other.name(),
                                        sample.at()));
                    }
                }
            }
        }
    }

    /** Whether a run is on for so long, with none before it, that all must know it. */
    private static boolean isSettled(List<ProcessRun> runs, ProcessRun run, double at) {
        return run.from() < at - DETECTION_S
                && run.to() > at
                && runs.stream()
                        .noneMatch(
                                one ->
                                        one.name().equals(run.name())
                                                && one.to() > at - DETECTION_S
                                                && one.to() < at);
    }

    private static boolean isUndisturbed(List<InjectedFault> faults, double at, String name) {
        return faults.stream()
                .noneMatch(
                        fault ->
                                at >= fault.from()
                                        && at <= fault.to() + DETECTION_S
                                        && (fault.kind() != DrillPlan.Kind.PAUSE
                                                || fault.names().contains(name)));
    }

    private static List<double[]> correctViews(
            List<ProcessRun> runs, Map<String, List<MembershipTimeline.Sample>> samples) {
        List<double[]> right = new ArrayList<>();
        double lastSampleAt = lastSampleAt(samples);
        for (double second = 0; second <= lastSampleAt - MAX_SAMPLE_AGE_S; second += STEP_S) {
            double now = second;
            List<ProcessRun> running = runs.stream().filter(run -> run.isRunningAt(now)).toList();
            long correct =
                    running.stream()
                            .map(run -> latest(samples.getOrDefault(run.process(), List.of()), now))
                            .filter(sample -> sample != null && isCorrect(sample, running))
                            .count();
            right.add(
                    new double[] {
                        second, running.isEmpty() ? 1 : (double) correct / running.size()
                    });
        }
        return right;
    }

    /** The last sample up to a time, or null if that is too old. */
    private static MembershipTimeline.Sample latest(
            List<MembershipTimeline.Sample> samples, double now) {
        MembershipTimeline.Sample last = null;
        for (MembershipTimeline.Sample one : samples) {
            if (one.at() <= now && one.at() > now - MAX_SAMPLE_AGE_S) {
                last = one;
            }
        }
        return last;
    }

    private static boolean isCorrect(MembershipTimeline.Sample sample, List<ProcessRun> running) {
        return sample.present() == running.size()
                && running.stream()
                        .map(run -> sample.states().getOrDefault(run.name(), ""))
                        .allMatch(PRESENT_STATES::contains);
    }

    private static double lastChange(DrillPlan plan, List<ProcessRun> runs, List<double[]> right) {
        double lastPointAt = right.isEmpty() ? 0 : right.get(right.size() - 1)[0];
        double last = plan.lastFaultEndSeconds();
        for (ProcessRun run : runs) {
            last = Math.max(last, run.from() <= lastPointAt ? run.from() : 0);
            last = Math.max(last, run.to() <= lastPointAt ? run.to() : 0);
        }
        return last;
    }

    /** Whether no invariant and no rule was violated. */
    public boolean isPassed() {
        return violations.isEmpty();
    }
}
