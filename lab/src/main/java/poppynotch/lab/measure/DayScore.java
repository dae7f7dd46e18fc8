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
    private static final double WHOLE_DAY_WEIGHT = 0.3;

    private static final double WORST_WINDOW_WEIGHT = 0.5;
    private static final double WORST_CLASS_WEIGHT = 0.2;
    private static final int WINDOW_S = 10;

    /** The day counts from its first second on. */
    private static final int SKIPPED_S = 1;

    /** Waits are kept to the millisecond within 1 in 1000, up to an hour. */
    private static final long MAX_RECORDED_LATENCY_MS = 3_600_000;

    /** One second. */
    private static final class SecondTally {
        long offered;
        long inTime;
        long late;
        long refused;
        long failed;
        double offeredValue;
        double servedValue;
        long attempts;
        long retries;
        double limitSum;
        int limitSamples;
        final Histogram latenciesMs = new Histogram(MAX_RECORDED_LATENCY_MS, 3);
    }

    private final Experiment experiment;
    private final Map<Integer, SecondTally> seconds = new TreeMap<>();
    private final double[] offeredValueByClass;
    private final double[] servedValueByClass;
    private final Histogram latenciesMs = new Histogram(MAX_RECORDED_LATENCY_MS, 3);
    private final List<Map<String, Integer>> callsByServer = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();
    private double startedAtMs;
    private double totalWorkMs;
    private double usefulWorkMs;
    private double lateFailureValue;
    private double offeredValue;
    private long clientAttempts;
    private long calls;
    private long attempts;
    private long errors;
    private long rejected;
    private long resets;
    private long garbled;
    private long canceled;
    private long connectErrors;
    private long crossZone;
    private long completed;

    /** An empty score for a day of an experiment. */
    public DayScore(Experiment experiment) {
        this.experiment = experiment;
        offeredValueByClass = new double[experiment.world().classes().size()];
        servedValueByClass = new double[offeredValueByClass.length];
        experiment.world().tiers().forEach(tier -> callsByServer.add(new TreeMap<>()));
    }

    /** The day begins: times count from here. */
    public void begin(double now) {
        startedAtMs = now;
    }

    /** Something that whoever reads the report should know. */
    public void note(String line) {
        notes.add(line);
    }

    /** Clients that are done, for a progress line. */
    public long completedCount() {
        return completed;
    }

    private SecondTally tallyAt(double now) {
        return seconds.computeIfAbsent(
                (int) Math.max(0, (now - startedAtMs) / 1000), second -> new SecondTally());
    }

    @Override
    public void onClientRequest(double now, ClientRequest first) {
        SecondTally tally = tallyAt(now);
        tally.offered++;
        tally.offeredValue += first.worth;
        if (now - startedAtMs >= SKIPPED_S * 1000) {
            offeredValueByClass[first.kind] += first.worth;
            offeredValue += first.worth;
        }
    }

    @Override
    public void onClientRequestCompleted(double now, ClientRequest first, Answer.Kind how) {
        SecondTally tally = tallyAt(first.arrivedAtMs);
        RequestClass kind = experiment.world().classes().get(first.kind);
        double took = now - first.arrivedAtMs;
        completed++;
        clientAttempts += first.attempts;
        tally.retries += first.attempts - 1;
        if (how == Answer.Kind.SERVED) {
            latenciesMs.recordValue(Math.min(MAX_RECORDED_LATENCY_MS, Math.round(took)));
            tally.latenciesMs.recordValue(Math.min(MAX_RECORDED_LATENCY_MS, Math.round(took)));
            if (took <= kind.aimMs()) {
                tally.inTime++;
                tally.servedValue += first.worth;
                if (first.arrivedAtMs - startedAtMs >= SKIPPED_S * 1000) {
                    servedValueByClass[first.kind] += first.worth;
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
                lateFailureValue += first.worth;
            }
        }
    }

    @Override
    public void taken(double now, Call call) {
        calls++;
    }

    @Override
    public void onCallAnswered(double now, Call call, Answer answer) {
        if (answer.kind() == Answer.Kind.SERVED && call.tier == 0) {
            usefulWorkMs += call.servedWorkMs;
        }
    }

    @Override
    public void sent(double now, Call call, ModelServer modelServer) {
        crossZone += call.sidecarZone != modelServer.zone ? 1 : 0;
    }

    @Override
    public void onConnectFailed(double now, Call call, ModelServer modelServer) {
        connectErrors++;
    }

    @Override
    public void onAttemptArrived(double now, Call call, ModelServer modelServer, int attempt) {
        attempts++;
        tallyAt(now).attempts++;
        callsByServer.get(modelServer.tier).merge(modelServer.id, 1, Integer::sum);
    }

    @Override
    public void ended(
            double now, Call call, ModelServer modelServer, int attempt, End end, boolean began) {
        switch (end) {
            case ERROR -> errors++;
            case TURNED_AWAY -> rejected++;
            case RESET -> resets++;
            case GARBLED -> garbled++;
            case LEFT -> canceled++;
            case SERVED -> {
                // Counted where the client gets it.
            }
            default -> throw new IllegalStateException("no such end: " + end);
        }
    }

    @Override
    public void onWorkDone(double now, ModelServer modelServer, double workMs) {
        totalWorkMs += workMs;
    }

    /** The limit of one of the first tier's sidecars at this moment. */
    public void recordLimit(double now, double limit) {
        SecondTally tally = tallyAt(now);
        tally.limitSum += limit;
        tally.limitSamples++;
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
            SecondTally t = seconds.getOrDefault(s, new SecondTally());
            asked[s] = t.offeredValue;
            served[s] = t.servedValue;
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
                            t.offeredValue > 0 ? round(t.servedValue / t.offeredValue) : 1,
                            t.latenciesMs.getValueAtPercentile(50),
                            t.latenciesMs.getValueAtPercentile(99),
                            t.attempts,
                            t.retries,
                            t.limitSamples == 0 ? -1 : round(t.limitSum / t.limitSamples)));
        }
        double whole = servedFraction(served, asked, SKIPPED_S, length);
        double worst = whole;
        for (int s = SKIPPED_S; s + WINDOW_S <= length; s++) {
            worst = Math.min(worst, servedFraction(served, asked, s, s + WINDOW_S));
        }
        Map<String, Double> classes = new LinkedHashMap<>();
        double worstClass = 1;
        for (int i = 0; i < offeredValueByClass.length; i++) {
            double share =
                    offeredValueByClass[i] > 0 ? servedValueByClass[i] / offeredValueByClass[i] : 1;
            worstClass = Math.min(worstClass, share);
            classes.put(experiment.world().classes().get(i).name(), round(share));
        }
        Experiment.Rules rules = experiment.world().rules();
        Map<String, Double> prices = new LinkedHashMap<>();
        // Work asked for: that which served, and what those that were not served would have cost is
        // not
        // known.
        double offeredWork =
                sums[1] + sums[2] > 0 ? usefulWorkMs * sums[0] / (sums[1] + sums[2]) : totalWorkMs;
        prices.put(
                "waste",
                round(
                        rules.wastePrice()
                                * Math.max(0, totalWorkMs - usefulWorkMs)
                                / Math.max(1, offeredWork)));
        prices.put(
                "late-fail",
                round(rules.lateFailPrice() * lateFailureValue / Math.max(1, offeredValue)));
        prices.put("cross-zone", round(rules.crossZonePrice() * crossZone / Math.max(1, sums[0])));
        double g =
                WHOLE_DAY_WEIGHT * whole
                        + WORST_WINDOW_WEIGHT * worst
                        + WORST_CLASS_WEIGHT * worstClass
                        - prices.values().stream().mapToDouble(Double::doubleValue).sum();
        Map<String, Integer> counts = new LinkedHashMap<>();
        checker.counts()
                .forEach(
                        (rule, count) ->
                                counts.put(rule.name().toLowerCase(java.util.Locale.ROOT), count));
        Map<String, Map<String, Integer>> modelServers = new LinkedHashMap<>();
        for (int i = 0; i < callsByServer.size(); i++) {
            modelServers.put(experiment.world().tiers().get(i).name(), callsByServer.get(i));
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
                checker.violations(),
                new Result.Totals(
                        sums[0],
                        sums[1],
                        sums[2],
                        sums[3],
                        sums[4],
                        clientAttempts,
                        calls,
                        attempts,
                        errors,
                        rejected,
                        resets,
                        garbled,
                        canceled,
                        connectErrors,
                        crossZone,
                        round(totalWorkMs),
                        round(usefulWorkMs)),
                new Result.Latency(
                        latenciesMs.getValueAtPercentile(50),
                        latenciesMs.getValueAtPercentile(90),
                        latenciesMs.getValueAtPercentile(99),
                        latenciesMs.getValueAtPercentile(99.9),
                        latenciesMs.getMaxValue()),
                lines,
                modelServers,
                experiment.faults().stream()
                        .map(
                                fault ->
                                        new Result.Span(
                                                fault.kind()
                                                        .name()
                                                        .toLowerCase(java.util.Locale.ROOT)
                                                        .replace('_', '-'),
                                                fault.atMs() / 1000,
                                                fault.untilMs() / 1000))
                        .toList(),
                notes);
    }

    private static double servedFraction(double[] served, double[] asked, int from, int to) {
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
