package poppynotch.lab.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.Experiment.RequestClass;
import poppynotch.lab.world.Answer;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.ClientRequest;
import poppynotch.lab.world.ModelServer;
import poppynotch.lab.world.WorldListener;

/** Counts a day, and marks it as the operators do: G with their weights and prices. */
public final class DayScore implements WorldListener {

    /** The weights of the whole day, the worst ten seconds and the worst class. */
    private static final double WHOLE = 0.3;

    private static final double WORST_WINDOW = 0.5;
    private static final double WORST_CLASS = 0.2;
    private static final int WINDOW_S = 10;

    /** The day counts from its first second on. */
    private static final int SKIPPED_S = 1;

    /** Waits are kept to the millisecond within 1 in 1000, up to an hour. */
    private static final long LONGEST_MS = 3_600_000;

    /** One second. */
    private static final class Tally {
        long offered;
        long inTime;
        long late;
        long refused;
        long failed;
        double askedWorth;
        double servedWorth;
        long attempts;
        long retries;
        double limitSum;
        int limits;
        final Histogram waits = new Histogram(LONGEST_MS, 3);
    }

    private final Experiment experiment;
    private final Map<Integer, Tally> seconds = new TreeMap<>();
    private final double[] classAsked;
    private final double[] classServed;
    private final Histogram waits = new Histogram(LONGEST_MS, 3);
    private final List<Map<String, Integer>> callsByNodo = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();
    private double begunAt;
    private double work;
    private double usefulWork;
    private double lateFailWorth;
    private double askedWorth;
    private long tries;
    private long calls;
    private long attempts;
    private long errors;
    private long turnedAway;
    private long resets;
    private long garbled;
    private long left;
    private long unconnected;
    private long crossZone;
    private long settled;

    /** An empty ledger for a day of an experiment. */
    public DayScore(Experiment experiment) {
        this.experiment = experiment;
        classAsked = new double[experiment.world().classes().size()];
        classServed = new double[classAsked.length];
        experiment.world().tiers().forEach(tier -> callsByNodo.add(new TreeMap<>()));
    }

    /** The day begins: times count from here. */
    public void begin(double now) {
        begunAt = now;
    }

    /** Something that whoever reads the report should know. */
    public void note(String line) {
        notes.add(line);
    }

    /** Clients that are done, for a progress line. */
    public long settledSoFar() {
        return settled;
    }

    private Tally at(double now) {
        return seconds.computeIfAbsent(
                (int) Math.max(0, (now - begunAt) / 1000), second -> new Tally());
    }

    @Override
    public void offered(double now, ClientRequest first) {
        Tally tally = at(now);
        tally.offered++;
        tally.askedWorth += first.worth;
        if (now - begunAt >= SKIPPED_S * 1000) {
            classAsked[first.kind] += first.worth;
            askedWorth += first.worth;
        }
    }

    @Override
    public void settled(double now, ClientRequest first, Answer.Kind how) {
        Tally tally = at(first.at);
        RequestClass kind = experiment.world().classes().get(first.kind);
        double took = now - first.at;
        settled++;
        tries += first.tries;
        tally.retries += first.tries - 1;
        if (how == Answer.Kind.SERVED) {
            waits.recordValue(Math.min(LONGEST_MS, Math.round(took)));
            tally.waits.recordValue(Math.min(LONGEST_MS, Math.round(took)));
            if (took <= kind.aimMs()) {
                tally.inTime++;
                tally.servedWorth += first.worth;
                if (first.at - begunAt >= SKIPPED_S * 1000) {
                    classServed[first.kind] += first.worth;
                }
            } else {
                tally.late++;
            }
        } else {
            if (how == Answer.Kind.REFUSED) {
                tally.refused++;
            } else {
                tally.failed++;
            }
            if (took > kind.aimMs()) {
                lateFailWorth += first.worth;
            }
        }
    }

    @Override
    public void taken(double now, Call call) {
        calls++;
    }

    @Override
    public void answered(double now, Call call, Answer answer) {
        if (answer.kind() == Answer.Kind.SERVED && call.tier == 0) {
            usefulWork += call.servedWork;
        }
    }

    @Override
    public void sent(double now, Call call, ModelServer nodo) {
        crossZone += call.sidecarZone != nodo.zone ? 1 : 0;
    }

    @Override
    public void unconnected(double now, Call call, ModelServer nodo) {
        unconnected++;
    }

    @Override
    public void arrived(double now, Call call, ModelServer nodo, int attempt) {
        attempts++;
        at(now).attempts++;
        callsByNodo.get(nodo.tier).merge(nodo.id, 1, Integer::sum);
    }

    @Override
    public void ended(
            double now, Call call, ModelServer nodo, int attempt, End end, boolean began) {
        switch (end) {
            case ERROR -> errors++;
            case TURNED_AWAY -> turnedAway++;
            case RESET -> resets++;
            case GARBLED -> garbled++;
            case LEFT -> left++;
            case SERVED -> {
                // Counted where the client gets it.
            }
            default -> throw new IllegalStateException("no such end: " + end);
        }
    }

    @Override
    public void worked(double now, ModelServer nodo, double workMs) {
        work += workMs;
    }

    /** The limit of one of the first tier's sidecars at this moment. */
    public void limit(double now, double limit) {
        Tally tally = at(now);
        tally.limitSum += limit;
        tally.limits++;
    }

    /** The day as it went. */
    public Result result(
            String mode,
            String policy,
            long seed,
            Map<String, String> point,
            RulesChecker checker) {
        int length = (int) Math.ceil(experiment.durationMs() / 1000);
        List<Result.Second> lines = new ArrayList<>();
        double[] asked = new double[length];
        double[] served = new double[length];
        long[] sums = new long[5];
        for (int s = 0; s < length; s++) {
            Tally t = seconds.getOrDefault(s, new Tally());
            asked[s] = t.askedWorth;
            served[s] = t.servedWorth;
            sums[0] += t.offered;
            sums[1] += t.inTime;
            sums[2] += t.late;
            sums[3] += t.refused;
            sums[4] += t.failed;
            lines.add(
                    new Result.Second(
                            s,
                            t.offered,
                            t.inTime,
                            t.late,
                            t.refused,
                            t.failed,
                            t.askedWorth > 0 ? round(t.servedWorth / t.askedWorth) : 1,
                            t.waits.getValueAtPercentile(50),
                            t.waits.getValueAtPercentile(99),
                            t.attempts,
                            t.retries,
                            t.limits == 0 ? -1 : round(t.limitSum / t.limits)));
        }
        double whole = part(served, asked, SKIPPED_S, length);
        double worst = whole;
        for (int s = SKIPPED_S; s + WINDOW_S <= length; s++) {
            worst = Math.min(worst, part(served, asked, s, s + WINDOW_S));
        }
        Map<String, Double> classes = new LinkedHashMap<>();
        double worstClass = 1;
        for (int i = 0; i < classAsked.length; i++) {
            double share = classAsked[i] > 0 ? classServed[i] / classAsked[i] : 1;
            worstClass = Math.min(worstClass, share);
            classes.put(experiment.world().classes().get(i).name(), round(share));
        }
        Experiment.Rules rules = experiment.world().rules();
        Map<String, Double> prices = new LinkedHashMap<>();
        // Work asked for: that which served, and what those that were not served would have cost is
        // not
        // known.
        double offeredWork =
                sums[1] + sums[2] > 0 ? usefulWork * sums[0] / (sums[1] + sums[2]) : work;
        prices.put(
                "waste",
                round(
                        rules.wastePrice()
                                * Math.max(0, work - usefulWork)
                                / Math.max(1, offeredWork)));
        prices.put(
                "late-fail",
                round(rules.lateFailPrice() * lateFailWorth / Math.max(1, askedWorth)));
        prices.put("cross-zone", round(rules.crossZonePrice() * crossZone / Math.max(1, sums[0])));
        double g =
                WHOLE * whole
                        + WORST_WINDOW * worst
                        + WORST_CLASS * worstClass
                        - prices.values().stream().mapToDouble(Double::doubleValue).sum();
        Map<String, Integer> counts = new LinkedHashMap<>();
        checker.counts()
                .forEach(
                        (rule, count) ->
                                counts.put(rule.name().toLowerCase(java.util.Locale.ROOT), count));
        Map<String, Map<String, Integer>> nodos = new LinkedHashMap<>();
        for (int i = 0; i < callsByNodo.size(); i++) {
            nodos.put(experiment.world().tiers().get(i).name(), callsByNodo.get(i));
        }
        return new Result(
                experiment.name(),
                mode,
                policy,
                seed,
                point,
                round(g),
                round(whole),
                round(worst),
                round(worstClass),
                classes,
                prices,
                counts,
                checker.broken(),
                new Result.Totals(
                        sums[0],
                        sums[1],
                        sums[2],
                        sums[3],
                        sums[4],
                        tries,
                        calls,
                        attempts,
                        errors,
                        turnedAway,
                        resets,
                        garbled,
                        left,
                        unconnected,
                        crossZone,
                        round(work),
                        round(usefulWork)),
                new Result.Latency(
                        waits.getValueAtPercentile(50),
                        waits.getValueAtPercentile(90),
                        waits.getValueAtPercentile(99),
                        waits.getValueAtPercentile(99.9),
                        waits.getMaxValue()),
                lines,
                nodos,
                experiment.troubles().stream()
                        .map(
                                trouble ->
                                        new Result.Span(
                                                trouble.kind()
                                                        .name()
                                                        .toLowerCase(java.util.Locale.ROOT)
                                                        .replace('_', '-'),
                                                trouble.atMs() / 1000,
                                                trouble.untilMs() / 1000))
                        .toList(),
                notes);
    }

    private static double part(double[] served, double[] asked, int from, int to) {
        double a = 0;
        double s = 0;
        for (int i = from; i < to; i++) {
            a += asked[i];
            s += served[i];
        }
        return a > 0 ? s / a : 1;
    }

    private static double round(double figure) {
        return Math.round(figure * 1e4) / 1e4;
    }
}
