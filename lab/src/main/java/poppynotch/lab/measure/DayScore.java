package poppynotch.lab.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.Experiment.RequestClass;
import poppynotch.lab.experiment.FaultInjection;
import poppynotch.lab.world.Answer;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.ClientRequest;
import poppynotch.lab.world.ModelServer;
import poppynotch.lab.world.WorldListener;

/**
 * Counts what happens on a day and computes its score G with the operators' weights and prices.
 *
 * <p>Registered as a listener of one {@link poppynotch.lab.world.SimulatedDay} and called on its
 * thread; {@link #result} is called once, when the day is over.
 */
public final class DayScore implements WorldListener {

    /** Weight of the value served over the whole day; those of worst window and class follow. */
    private static final double WHOLE_DAY_WEIGHT = 0.3;

    private static final double WORST_WINDOW_WEIGHT = 0.5;
    private static final double WORST_CLASS_WEIGHT = 0.2;
    private static final int WINDOW_S = 10;

    /** Requests of the first seconds do not count for the score. */
    private static final int SKIPPED_S = 1;

    /** Latencies are recorded to three significant digits, up to an hour. */
    private static final long MAX_RECORDED_LATENCY_MS = 3_600_000;

    /** Counts of one second. */
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

        Result.Second toSecond(int second) {
            return new Result.Second(
                    second,
                    offered,
                    inTime,
                    late,
                    refused,
                    failed,
                    offeredValue > 0 ? round(servedValue / offeredValue) : 1,
                    latenciesMs.getValueAtPercentile(50),
                    latenciesMs.getValueAtPercentile(99),
                    attempts,
                    retries,
                    limitSamples == 0 ? -1 : round(limitSum / limitSamples));
        }
    }

    /** How clients' requests of the day ended. */
    private static final class ClientTotals {
        long offered;
        long inTime;
        long late;
        long refused;
        long failed;

        void add(SecondTally tally) {
            offered += tally.offered;
            inTime += tally.inTime;
            late += tally.late;
            refused += tally.refused;
            failed += tally.failed;
        }
    }

    /** Read only: stands for a second in which nothing happened. */
    private static final SecondTally NO_REQUESTS = new SecondTally();

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

    /** A score without counts, for a day of an experiment. */
    public DayScore(Experiment experiment) {
        this.experiment = experiment;
        offeredValueByClass = new double[experiment.world().classes().size()];
        servedValueByClass = new double[offeredValueByClass.length];
        experiment.world().tiers().forEach(tier -> callsByServer.add(new TreeMap<>()));
    }

    /** Starts the day: seconds count from this time. */
    public void start(double now) {
        startedAtMs = now;
    }

    /** Adds a line for the readers of the report. */
    public void addNote(String line) {
        notes.add(line);
    }

    /** Client requests completed so far, for a progress line. */
    public long completedCount() {
        return completed;
    }

    private SecondTally tallyAt(double now) {
        return seconds.computeIfAbsent(
                (int) Math.max(0, (now - startedAtMs) / 1000), second -> new SecondTally());
    }

    @Override
    public void onClientRequest(double now, ClientRequest clientRequest) {
        SecondTally tally = tallyAt(now);
        tally.offered++;
        tally.offeredValue += clientRequest.value;
        if (now - startedAtMs >= SKIPPED_S * 1000) {
            offeredValueByClass[clientRequest.classIndex] += clientRequest.value;
            offeredValue += clientRequest.value;
        }
    }

    @Override
    public void onClientRequestCompleted(double now, ClientRequest clientRequest, Answer.Kind how) {
        SecondTally tally = tallyAt(clientRequest.arrivedAtMs);
        RequestClass kind = experiment.world().classes().get(clientRequest.classIndex);
        double latencyMs = now - clientRequest.arrivedAtMs;
        completed++;
        clientAttempts += clientRequest.attempts;
        tally.retries += clientRequest.attempts - 1;
        if (how == Answer.Kind.SERVED) {
            latenciesMs.recordValue(Math.min(MAX_RECORDED_LATENCY_MS, Math.round(latencyMs)));
            tally.latenciesMs.recordValue(Math.min(MAX_RECORDED_LATENCY_MS, Math.round(latencyMs)));
            if (latencyMs <= kind.latencyTargetMs()) {
                tally.inTime++;
                tally.servedValue += clientRequest.value;
                if (clientRequest.arrivedAtMs - startedAtMs >= SKIPPED_S * 1000) {
                    servedValueByClass[clientRequest.classIndex] += clientRequest.value;
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
            if (latencyMs > kind.latencyTargetMs()) {
                lateFailureValue += clientRequest.value;
            }
        }
    }

    @Override
    public void onCallAccepted(double now, Call call) {
        calls++;
    }

    @Override
    public void onCallAnswered(double now, Call call, Answer answer) {
        if (answer.kind() == Answer.Kind.SERVED && call.tier == 0) {
            usefulWorkMs += call.servedWorkMs;
        }
    }

    @Override
    public void onAttemptSent(double now, Call call, ModelServer modelServer) {
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
    public void onAttemptEnded(
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

    /** Records the concurrency limit of one of the first tier's sidecars at this time. */
    public void recordLimit(double now, double limit) {
        SecondTally tally = tallyAt(now);
        tally.limitSum += limit;
        tally.limitSamples++;
    }

    /**
     * The result of the day.
     *
     * @param mode where the day was run, {@code virtual} or {@code socket}
     * @param point the keys that a sweep changed, with their values
     * @param checker the rules checker that listened to the same day
     */
    public Result result(
            String mode,
            String policy,
            long seed,
            Map<String, String> point,
            RulesChecker checker) {
        int length = (int) Math.ceil(experiment.durationMs() / 1000);
        List<Result.Second> lines = new ArrayList<>();
        ClientTotals totals = new ClientTotals();
        for (int s = 0; s < length; s++) {
            SecondTally tally = seconds.getOrDefault(s, new SecondTally());
            totals.add(tally);
            lines.add(tally.toSecond(s));
        }
        double wholeDay = servedFraction(SKIPPED_S, length);
        double worstWindow = worstWindow(wholeDay, length);
        Map<String, Double> classes = new LinkedHashMap<>();
        double worstClass = 1;
        for (int i = 0; i < offeredValueByClass.length; i++) {
            double fraction =
                    offeredValueByClass[i] > 0 ? servedValueByClass[i] / offeredValueByClass[i] : 1;
            worstClass = Math.min(worstClass, fraction);
            classes.put(experiment.world().classes().get(i).name(), round(fraction));
        }
        Map<String, Double> prices = prices(totals);
        double g =
                WHOLE_DAY_WEIGHT * wholeDay
                        + WORST_WINDOW_WEIGHT * worstWindow
                        + WORST_CLASS_WEIGHT * worstClass
                        - prices.values().stream().mapToDouble(Double::doubleValue).sum();
        return new Result(
                experiment.name(),
                mode,
                policy,
                seed,
                point,
                round(g),
                round(wholeDay),
                round(worstWindow),
                round(worstClass),
                classes,
                prices,
                violationCounts(checker),
                checker.violations(),
                totals(totals),
                latency(),
                lines,
                callsByTier(),
                faultSpans(),
                notes);
    }

    private double worstWindow(double wholeDay, int length) {
        double worst = wholeDay;
        for (int s = SKIPPED_S; s + WINDOW_S <= length; s++) {
            worst = Math.min(worst, servedFraction(s, s + WINDOW_S));
        }
        return worst;
    }

    /**
     * Value served over value offered, from one second to before another; 1 if none was offered.
     */
    private double servedFraction(int fromSecond, int toSecond) {
        double offered = 0;
        double served = 0;
        for (int s = fromSecond; s < toSecond; s++) {
            SecondTally tally = seconds.getOrDefault(s, NO_REQUESTS);
            offered += tally.offeredValue;
            served += tally.servedValue;
        }
        return offered > 0 ? served / offered : 1;
    }

    /** What is deducted from the score, by the name of the price. */
    private Map<String, Double> prices(ClientTotals totals) {
        Experiment.Rules rules = experiment.world().rules();
        // The work of requests that were not served is unknown: they count as much as served ones.
        long served = totals.inTime + totals.late;
        double offeredWorkMs = served > 0 ? usefulWorkMs * totals.offered / served : totalWorkMs;
        double wastedWorkMs = Math.max(0, totalWorkMs - usefulWorkMs);
        Map<String, Double> prices = new LinkedHashMap<>();
        prices.put("waste", round(rules.wastePrice() * wastedWorkMs / Math.max(1, offeredWorkMs)));
        prices.put(
                "late-fail",
                round(rules.lateFailPrice() * lateFailureValue / Math.max(1, offeredValue)));
        prices.put(
                "cross-zone",
                round(rules.crossZonePrice() * crossZone / Math.max(1, totals.offered)));
        return prices;
    }

    private static Map<String, Integer> violationCounts(RulesChecker checker) {
        Map<String, Integer> counts = new LinkedHashMap<>();
        checker.counts()
                .forEach((rule, count) -> counts.put(rule.name().toLowerCase(Locale.ROOT), count));
        return counts;
    }

    private Result.Totals totals(ClientTotals totals) {
        return new Result.Totals(
                totals.offered,
                totals.inTime,
                totals.late,
                totals.refused,
                totals.failed,
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
                round(usefulWorkMs));
    }

    private Result.Latency latency() {
        return new Result.Latency(
                latenciesMs.getValueAtPercentile(50),
                latenciesMs.getValueAtPercentile(90),
                latenciesMs.getValueAtPercentile(99),
                latenciesMs.getValueAtPercentile(99.9),
                latenciesMs.getMaxValue());
    }

    private Map<String, Map<String, Integer>> callsByTier() {
        Map<String, Map<String, Integer>> byTier = new LinkedHashMap<>();
        for (int i = 0; i < callsByServer.size(); i++) {
            byTier.put(experiment.world().tiers().get(i).name(), callsByServer.get(i));
        }
        return byTier;
    }

    private List<Result.Span> faultSpans() {
        return experiment.faults().stream().map(DayScore::span).toList();
    }

    private static Result.Span span(FaultInjection fault) {
        String kind = fault.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        return new Result.Span(kind, fault.atMs() / 1000, fault.untilMs() / 1000);
    }

    private static double round(double figure) {
        return Math.round(figure * 1e4) / 1e4;
    }
}
