package poppynotch.lab.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import poppynotch.lab.measure.Result;

/**
 * How a drill went.
 *
 * @param plan what was played
 * @param day the load, as the lab judges it
 * @param broken promises that were not kept, in plain lines
 * @param figures what was measured, in plain lines
 * @param views how many members each process saw present, over time, by process
 * @param right the part of the processes that saw the truth, over time
 * @param events what happened, in order
 */
public record DrillOutcome(
        DrillPlan plan,
        Result day,
        List<String> broken,
        List<String> figures,
        Map<String, List<double[]>> views,
        List<double[]> right,
        List<String> events) {

    /**
     * A suspect has 7 s, and news takes some more: for so long after a fault a mistake is no
     * mistake.
     */
    private static final double AFTER_S = 12;

    private static final double STEP_S = 0.5;

    /** A look is this old at most where a process answers at all. */
    private static final double FRESH_S = 1.5;

    /** A process from its start to its end, in seconds. */
    record Life(String name, String process, double from, double to) {
        boolean at(double second) {
            return from <= second && second < to;
        }
    }

    /** A fault as it struck. */
    record Struck(DrillPlan.Kind kind, List<String> names, double from, double to) {}

    static DrillOutcome of(
            DrillPlan plan,
            Result day,
            List<Life> lives,
            List<Struck> struck,
            Map<String, List<Timeline.Sample>> samples,
            List<String> events) {
        List<String> broken = new ArrayList<>();
        List<String> figures = new ArrayList<>();
        Histogram known = new Histogram(3);
        int deaths = deaths(lives, samples, known);
        figures.add(
                String.format(
                        Locale.ROOT,
                        "%d processes ended unasked or by SIGTERM; held dead or gone by one other"
                            + " after %.1f s (median), %.1f s (worst), as looked at four times a"
                            + " second",
                        deaths,
                        known.getValueAtPercentile(50) / 1000.0,
                        known.getMaxValue() / 1000.0));
        mistakes(lives, struck, samples, broken);
        List<double[]> right = right(lives, samples);
        double lastFault = lastChange(plan, lives, right);
        double healed = Double.NaN;
        for (int i = right.size() - 1; i >= 0 && right.get(i)[1] >= 1; i--) {
            healed = right.get(i)[0];
        }
        if (Double.isNaN(healed) || healed > lastFault + plan.healSeconds()) {
            broken.add(
                    String.format(
                            Locale.ROOT,
                            "one view: %.0f s after the last change at %.1f s not all"
                                    + " saw the same and the truth",
                            plan.healSeconds(),
                            lastFault));
        } else {
            figures.add(
                    String.format(
                            Locale.ROOT,
                            "all saw the same and the truth %.1f s after the last change,"
                                    + " at %.1f s",
                            Math.max(0, healed - lastFault),
                            lastFault));
        }
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
        Map<String, List<double[]>> views = new TreeMap<>();
        samples.forEach(
                (process, own) ->
                        views.put(
                                process,
                                own.stream()
                                        .filter(one -> one.at() >= 0)
                                        .map(one -> new double[] {one.at(), one.present()})
                                        .toList()));
        return new DrillOutcome(plan, day, broken, figures, views, right, events);
    }

    private static int deaths(
            List<Life> lives, Map<String, List<Timeline.Sample>> samples, Histogram known) {
        int deaths = 0;
        double over =
                samples.values().stream()
                        .flatMap(List::stream)
                        .mapToDouble(Timeline.Sample::at)
                        .max()
                        .orElse(0);
        for (Life life : lives) {
            if (life.to() >= over - AFTER_S || life.to() < 0) {
                continue;
            }
            deaths++;
            samples.values().stream()
                    .flatMap(List::stream)
                    .filter(
                            one ->
                                    one.at() > life.to()
                                            && List.of("dead", "left")
                                                    .contains(
                                                            one.states()
                                                                    .getOrDefault(life.name(), "")))
                    .mapToDouble(Timeline.Sample::at)
                    .min()
                    .ifPresent(at -> known.recordValue(Math.round((at - life.to()) * 1000)));
        }
        return deaths;
    }

    /** One that was well must not be held dead by one that was. */
    private static void mistakes(
            List<Life> lives,
            List<Struck> struck,
            Map<String, List<Timeline.Sample>> samples,
            List<String> broken) {
        for (Life at : lives) {
            for (Timeline.Sample sample : samples.getOrDefault(at.process(), List.of())) {
                for (Life other : lives) {
                    boolean held = "dead".equals(sample.states().get(other.name()));
                    boolean wrong =
                            held
                                    && other.from() < sample.at() - AFTER_S
                                    && other.to() > sample.at()
                                    && lives.stream()
                                            .noneMatch(
                                                    one ->
                                                            one.name().equals(other.name())
                                                                    && one.to()
                                                                            > sample.at() - AFTER_S
                                                                    && one.to() < sample.at())
                                    && isWell(struck, sample.at(), at.name())
                                    && isWell(struck, sample.at(), other.name());
                    if (wrong && broken.size() < 20) {
                        broken.add(
                                String.format(
                                        Locale.ROOT,
                                        "no false death: %s held %s dead at %.1f s",
                                        at.name(),
                                        other.name(),
                                        sample.at()));
                    }
                }
            }
        }
    }

    private static boolean isWell(List<Struck> struck, double at, String name) {
        return struck.stream()
                .noneMatch(
                        fault ->
                                at >= fault.from()
                                        && at <= fault.to() + AFTER_S
                                        && (fault.kind() != DrillPlan.Kind.PAUSE
                                                || fault.names().contains(name)));
    }

    private static List<double[]> right(
            List<Life> lives, Map<String, List<Timeline.Sample>> samples) {
        List<double[]> right = new ArrayList<>();
        double over =
                samples.values().stream()
                        .flatMap(List::stream)
                        .mapToDouble(Timeline.Sample::at)
                        .max()
                        .orElse(0);
        for (double second = 0; second <= over - FRESH_S; second += STEP_S) {
            double now = second;
            List<Life> living = lives.stream().filter(life -> life.at(now)).toList();
            long seeing =
                    living.stream()
                            .filter(
                                    life -> {
                                        Timeline.Sample last = null;
                                        for (Timeline.Sample one :
                                                samples.getOrDefault(life.process(), List.of())) {
                                            if (one.at() <= now && one.at() > now - FRESH_S) {
                                                last = one;
                                            }
                                        }
                                        Timeline.Sample seen = last;
                                        return seen != null
                                                && seen.present() == living.size()
                                                && living.stream()
                                                        .allMatch(
                                                                other ->
                                                                        List.of("alive", "suspect")
                                                                                .contains(
                                                                                        seen.states()
                                                                                                .getOrDefault(
                                                                                                        other
                                                                                                                .name(),
                                                                                                        "")));
                                    })
                            .count();
            right.add(
                    new double[] {second, living.isEmpty() ? 1 : (double) seeing / living.size()});
        }
        return right;
    }

    private static double lastChange(DrillPlan plan, List<Life> lives, List<double[]> right) {
        double over = right.isEmpty() ? 0 : right.get(right.size() - 1)[0];
        double last = plan.lastFault();
        for (Life life : lives) {
            last = Math.max(last, life.from() <= over ? life.from() : 0);
            last = Math.max(last, life.to() <= over ? life.to() : 0);
        }
        return last;
    }

    /** Whether every promise and every rule was kept. */
    public boolean kept() {
        return broken.isEmpty();
    }
}
