package poppynotch.lab.added;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Attributes the time that a sidecar adds to its causes: processor time by kind of thread, waiting
 * for a processor, garbage collection and other safepoints. Stateless.
 */
final class Causes {

    private static final double NANOS_PER_MS = 1e6;

    /** Number and total time of the safepoints of one name. */
    private static final class PauseTotal {
        int count;
        double ms;

        void add(PauseLog.Pause pause) {
            count++;
            ms += pause.ms();
        }
    }

    private Causes() {}

    /**
     * Computes the figures of some blocks.
     *
     * @param pairs of blocks, one each way
     * @param pauses of the sidecar, which may lie outside of the blocks too
     * @param targetMs by so much a call may be longer than without the sidecar and not be slow
     * @return figures by name; times a call in milliseconds, pauses in milliseconds a second
     */
    static Map<String, Estimate> of(
            List<Block.Pair> pairs, List<PauseLog.Pause> pauses, double targetMs) {
        Map<String, Estimate> figures = new LinkedHashMap<>();
        addProcessorTimes(pairs, figures);
        addLoopTimes(pairs, figures);
        addPauses(pairs, pauses, figures);
        addSlowCalls(pairs, pauses, targetMs, figures);
        return figures;
    }

    private static void addProcessorTimes(List<Block.Pair> pairs, Map<String, Estimate> figures) {
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
    }

    /** Adds what the event loop waited for a processor, and what its times do not explain. */
    private static void addLoopTimes(List<Block.Pair> pairs, Map<String, Estimate> figures) {
        figures.put("cause.runqueue", perCall(pairs, block -> loopTimes(block).waited()));
        figures.put("added.mean", estimateOfPairs(pairs, Causes::meanAddedMs));
        figures.put("cause.rest", estimateOfPairs(pairs, Causes::unexplainedMs));
        figures.put(
                "cause.runqueue.turn",
                estimateOfPairs(pairs, pair -> waitedPerTurnMs(loopTimes(pair.by()))));
    }

    private static ThreadTimes.Times loopTimes(Block block) {
        return block.threads().get(ThreadTimes.Kind.LOOP);
    }

    private static double unexplainedMs(Block.Pair pair) {
        ThreadTimes.Times loop = loopTimes(pair.by());
        return meanAddedMs(pair)
                - (loop.ran() + loop.waited())
                        / NANOS_PER_MS
                        / pair.by().calls().schedule().count();
    }

    private static double waitedPerTurnMs(ThreadTimes.Times loop) {
        return loop.turns() == 0 ? 0 : loop.waited() / NANOS_PER_MS / loop.turns();
    }

    private static void addPauses(
            List<Block.Pair> pairs, List<PauseLog.Pause> pauses, Map<String, Estimate> figures) {
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
            Block block, List<PauseLog.Pause> pauses, boolean isCollection) {
        return pauses.stream()
                .filter(
                        pause ->
                                pause.collection() == isCollection
                                        && pause.meets(block.fromNanos(), block.toNanos()))
                .toList();
    }

    private static double msPerSecond(
            Block block, List<PauseLog.Pause> pauses, boolean isCollection) {
        return pausesDuring(block, pauses, isCollection).stream()
                        .mapToDouble(PauseLog.Pause::ms)
                        .sum()
                / block.seconds();
    }

    /**
     * Adds the fraction of calls that are slow: longer than the same pair's 99th percentile without
     * the sidecar by more than the target; and the fraction of these that met a safepoint.
     */
    private static void addSlowCalls(
            List<Block.Pair> pairs,
            List<PauseLog.Pause> pauses,
            double targetMs,
            Map<String, Estimate> figures) {
        List<Double> fractions = new ArrayList<>();
        long slow = 0;
        long paused = 0;
        for (Block.Pair pair : pairs) {
            Recorder by = pair.by().calls();
            double boundNanos = (pair.direct().calls().quantileMs(0.99) + targetMs) * NANOS_PER_MS;
            List<PauseLog.Pause> safepoints = pausesDuring(pair.by(), pauses, false);
            int slowInBlock = 0;
            for (int i = 0; i < by.schedule().count(); i++) {
                long from = by.schedule().at(i);
                long to = by.endOf(i);
                if (to - from > boundNanos) {
                    slowInBlock++;
                    paused += safepoints.stream().anyMatch(pause -> pause.meets(from, to)) ? 1 : 0;
                }
            }
            slow += slowInBlock;
            fractions.add(slowInBlock / (double) by.schedule().count());
        }
        figures.put("cause.slow", Estimate.of(fractions));
        if (slow > 0) {
            figures.put("cause.slow.in_pause", Estimate.of(List.of(paused / (double) slow)));
        }
    }

    /** Number and total time of the safepoints of each name, as {@code Cleanup 12 times 0.9 ms}. */
    static List<String> pauseSummaries(List<Block.Pair> pairs, List<PauseLog.Pause> pauses) {
        Map<String, PauseTotal> totals = new TreeMap<>();
        for (Block.Pair pair : pairs) {
            for (PauseLog.Pause pause : pausesDuring(pair.by(), pauses, false)) {
                totals.computeIfAbsent(pause.name(), name -> new PauseTotal()).add(pause);
            }
        }
        return totals.entrySet().stream()
                .map(
                        each ->
                                String.format(
                                        Locale.ROOT,
                                        "%s %d times %.2f ms",
                                        each.getKey(),
                                        each.getValue().count,
                                        each.getValue().ms))
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

    /** Describes a figure of {@link #of} for reports; null where its name and unit suffice. */
    static String description(String name) {
        if (name.equals("cpu") || (name.startsWith("cause.cpu.") && !name.endsWith(".idle"))) {
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
