package poppynotch.lab.added;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Says what a sidecar spent its time on while calls came: processors, collector, safepoints,
 * waiting.
 */
final class Causes {

    private static final double NANOS_PER_MS = 1e6;

    private Causes() {}

    /**
     * Figures by name; times a call are in milliseconds, those of pauses in milliseconds a second.
     */
    static Map<String, Estimate> of(
            List<Block.Pair> pairs, List<PauseLog.Pause> pauses, double targetMs) {
        Map<String, Estimate> figures = new LinkedHashMap<>();
        figures.put("cpu", perCall(pairs, block -> block.allThreads().ran()));
        for (ThreadTimes.Kind kind : ThreadTimes.Kind.values()) {
            figures.put(
                    "cause.cpu." + kind.word(),
                    perCall(pairs, block -> block.threads().get(kind).ran()));
        }
        figures.put(
                "cause.cpu.idle",
                estimateOfPairs(
                        pairs,
                        pair -> pair.direct().allThreads().ran() / 1e9 / pair.direct().seconds()));
        figures.put(
                "cause.runqueue",
                perCall(pairs, block -> block.threads().get(ThreadTimes.Kind.LOOP).waited()));
        figures.put("added.mean", estimateOfPairs(pairs, Causes::meanAddedMs));
        figures.put(
                "cause.rest",
                estimateOfPairs(
                        pairs,
                        pair -> {
                            ThreadTimes.Times loop = pair.by().threads().get(ThreadTimes.Kind.LOOP);
                            return meanAddedMs(pair)
                                    - (loop.ran() + loop.waited())
                                            / NANOS_PER_MS
                                            / pair.by().calls().schedule().count();
                        }));
        figures.put(
                "cause.runqueue.turn",
                estimateOfPairs(
                        pairs,
                        pair -> {
                            ThreadTimes.Times loop = pair.by().threads().get(ThreadTimes.Kind.LOOP);
                            return loop.turns() == 0
                                    ? 0
                                    : loop.waited() / NANOS_PER_MS / loop.turns();
                        }));
        figures.put(
                "cause.gc", estimateOfPairs(pairs, pair -> msPerSecond(pair.by(), pauses, true)));
        figures.put(
                "cause.safepoint",
                estimateOfPairs(pairs, pair -> msPerSecond(pair.by(), pauses, false)));
        figures.put(
                "cause.pause.longest",
                estimateOfPairs(
                        pairs,
                        pair ->
                                pausesDuring(pair.by(), pauses, false).stream()
                                        .mapToDouble(PauseLog.Pause::ms)
                                        .max()
                                        .orElse(0)));
        addSlowCalls(pairs, pauses, targetMs, figures);
        return figures;
    }

    private static Estimate estimateOfPairs(
            List<Block.Pair> pairs, Function<Block.Pair, Double> figure) {
        return Estimate.of(pairs.stream().map(figure).toList());
    }

    private static Estimate perCall(List<Block.Pair> pairs, Function<Block, Long> nanos) {
        return estimateOfPairs(
                pairs,
                pair ->
                        nanos.apply(pair.by())
                                / NANOS_PER_MS
                                / pair.by().calls().schedule().count());
    }

    private static double meanAddedMs(Block.Pair pair) {
        return (pair.by().calls().times().getMean() - pair.direct().calls().times().getMean())
                / NANOS_PER_MS;
    }

    private static List<PauseLog.Pause> pausesDuring(
            Block block, List<PauseLog.Pause> pauses, boolean collections) {
        return pauses.stream()
                .filter(
                        pause ->
                                pause.collection() == collections
                                        && pause.meets(block.fromNanos(), block.toNanos()))
                .toList();
    }

    private static double msPerSecond(
            Block block, List<PauseLog.Pause> pauses, boolean collections) {
        return pausesDuring(block, pauses, collections).stream()
                        .mapToDouble(PauseLog.Pause::ms)
                        .sum()
                / block.seconds();
    }

    /**
     * Which part of the calls is slow: longer than the same pair's 99th percentile without the
     * sidecar by more than the target; and which part of these stood in a pause of the sidecar.
     */
    private static void addSlowCalls(
            List<Block.Pair> pairs,
            List<PauseLog.Pause> pauses,
            double targetMs,
            Map<String, Estimate> figures) {
        List<Double> parts = new ArrayList<>();
        long slow = 0;
        long paused = 0;
        for (Block.Pair pair : pairs) {
            Recorder by = pair.by().calls();
            double boundNanos = (pair.direct().calls().quantileMs(0.99) + targetMs) * NANOS_PER_MS;
            List<PauseLog.Pause> safepoints = pausesDuring(pair.by(), pauses, false);
            int here = 0;
            for (int i = 0; i < by.schedule().count(); i++) {
                long from = by.schedule().at(i);
                long to = by.endOf(i);
                if (to - from > boundNanos) {
                    here++;
                    paused += safepoints.stream().anyMatch(pause -> pause.meets(from, to)) ? 1 : 0;
                }
            }
            slow += here;
            parts.add(here / (double) by.schedule().count());
        }
        figures.put("cause.slow", Estimate.of(parts));
        if (slow > 0) {
            figures.put("cause.slow.in_pause", Estimate.of(List.of(paused / (double) slow)));
        }
    }

    /** What the pauses of these blocks were for, by name, as {@code Cleanup 12 times 0.9 ms}. */
    static List<String> pauseSummaries(List<Block.Pair> pairs, List<PauseLog.Pause> pauses) {
        Map<String, double[]> sums = new TreeMap<>();
        for (Block.Pair pair : pairs) {
            for (PauseLog.Pause pause : pausesDuring(pair.by(), pauses, false)) {
                double[] sum = sums.computeIfAbsent(pause.name(), name -> new double[2]);
                sum[0]++;
                sum[1] += pause.ms();
            }
        }
        return sums.entrySet().stream()
                .map(
                        each ->
                                String.format(
                                        java.util.Locale.ROOT,
                                        "%s %.0f times %.2f ms",
                                        each.getKey(),
                                        each.getValue()[0],
                                        each.getValue()[1]))
                .toList();
    }

    /** The unit of a figure of {@link #of}. */
    static String unit(String name) {
        return switch (name) {
            case "cause.cpu.idle" -> "core";
            case "cause.slow", "cause.slow.in_pause" -> "part";
            default -> "ms";
        };
    }

    /** What a figure of {@link #of} is, beyond its unit; null where that says it. */
    static String description(String name) {
        if (name.equals("cpu") || name.startsWith("cause.cpu.") && !name.endsWith(".idle")) {
            return "processor time a call, of blocks by the sidecar";
        }
        return switch (name) {
            case "cause.cpu.idle" -> "while calls went without the sidecar";
            case "added.mean" -> "difference of means, which causes may be set against";
            case "cause.rest" ->
                    "the mean added, less what the event loop ran and was kept from running:"
                            + " wake-ups and the network; what the loop does without calls makes it"
                            + " smaller";
            case "cause.runqueue" -> "the event loop was ready and another thread ran, a call";
            case "cause.runqueue.turn" -> "the same each time that the event loop came to run";
            case "cause.gc", "cause.safepoint" ->
                    "milliseconds a second; the collector's are in safepoints";
            case "cause.pause.longest" -> "the longest safepoint of a block";
            case "cause.slow" ->
                    "calls longer than the 99th percentile without a sidecar by more than the "
                            + "target";
            case "cause.slow.in_pause" -> "of the slow calls, those that met a safepoint";
            default -> null;
        };
    }
}
