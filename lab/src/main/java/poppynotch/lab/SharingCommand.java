package poppynotch.lab;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import poppynotch.lab.fleet.Fault;
import poppynotch.lab.fleet.ObservationSharingTrial;
import poppynotch.lab.fleet.ObservationSharingTrial.Outcome;

/**
 * The command {@code lab sharing}: compares fleets whose processes share their observations of
 * servers with fleets whose processes do not.
 */
@Command(
        name = "sharing",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Plays fleets whose processes hold failing servers back alone, and by the common"
                    + " verdict, on the virtual clock with the same seeds; differences have 95 %"
                    + " intervals.",
        footerHeading = "%nExamples:%n",
        footer = {"  lab sharing", "  lab sharing --processes 300 --seeds 20"})
final class SharingCommand implements Callable<Integer> {

    /**
     * What differs from day to day.
     *
     * @param failingServers how many servers fail
     * @param liars how many processes report false observations
     * @param loss the fraction of datagrams that are lost
     */
    private record Day(
            String name, int failingServers, int liars, double loss, List<Fault> faults) {}

    /** One seed, with processes that decide alone and with shared observations. */
    private record Pair(Outcome alone, Outcome shared) {}

    @Spec private CommandSpec spec;

    @Option(names = "--processes", paramLabel = "N", description = "100 if not said.")
    private int processes = 100;

    @Option(names = "--servers", paramLabel = "N", description = "60 if not said.")
    private int servers = 60;

    @Option(
            names = "--calls",
            paramLabel = "N",
            description = "By each process a second; 10 if not said.")
    private double callsPerSecond = 10;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            description = "How many pairs of plays; 10 if not said.")
    private int seeds = 10;

    @Override
    public Integer call() {
        if (processes < 3 || servers < 2 || callsPerSecond <= 0 || seeds < 2) {
            throw new IllegalArgumentException(
                    "--processes must be 3 or more, --servers and --seeds 2 "
                            + "or more,"
                            + " --calls above 0");
        }
        PrintWriter terminal = spec.commandLine().getOut();
        terminal.println(
                "| day | calls wasted, alone | shared | difference | nine in ten hold back "
                        + "after, s: alone | shared"
                        + " | well servers held, windows: alone | shared | oldest used, s |");
        boolean agesCorrect = true;
        for (Day day : days()) {
            agesCorrect &= playAndPrint(terminal, day);
        }
        terminal.println(
                agesCorrect
                        ? "no sighting was told younger than it was, none was used past its bound"
                        : "BROKEN: a sighting was told younger than it was, or used past its"
                                + " bound");
        terminal.flush();
        return agesCorrect ? 0 : 1;
    }

    private List<Day> days() {
        List<Integer> fifth = IntStream.range(0, processes / 5).boxed().toList();
        List<Integer> all = IntStream.range(0, processes).boxed().toList();
        return List.of(
                new Day("calm", 0, 0, 0, List.of()),
                new Day("failing nodo", 1, 0, 0, List.of()),
                new Day("failing nodo, 5 % loss", 1, 0, 0.05, List.of()),
                new Day("three failing, one process lies", 3, 1, 0, List.of()),
                new Day("calm, one process lies", 0, 1, 0, List.of()),
                new Day(
                        "failing, a fifth cut off",
                        1,
                        0,
                        0,
                        List.of(new Fault(25_000, Fault.Kind.PARTITION, fifth, 20_000, 0))),
                new Day(
                        "failing, all gossip lost",
                        1,
                        0,
                        0,
                        List.of(new Fault(25_000, Fault.Kind.LOSS, all, 60_000, 1))),
                new Day(
                        "failing, a fifth stands still",
                        1,
                        0,
                        0,
                        List.of(new Fault(28_000, Fault.Kind.PAUSE, fifth, 8000, 0))));
    }

    /** Plays a day with all seeds, prints its row and returns whether all ages were correct. */
    private boolean playAndPrint(PrintWriter terminal, Day day) {
        List<Pair> pairs =
                IntStream.range(0, seeds)
                        .parallel()
                        .mapToObj(
                                index ->
                                        new Pair(
                                                play(day, false, index + 1),
                                                play(day, true, index + 1)))
                        .toList();
        PairedSamples wasted = new PairedSamples();
        double oldestUsedSeconds = 0;
        for (Pair pair : pairs) {
            wasted.add((double) pair.alone().wasted(), (double) pair.shared().wasted());
            oldestUsedSeconds =
                    Math.max(oldestUsedSeconds, pair.shared().ages().getMaxValue() / 1000.0);
        }
        List<Outcome> alone = pairs.stream().map(Pair::alone).toList();
        List<Outcome> shared = pairs.stream().map(Pair::shared).toList();
        terminal.printf(
                Locale.ROOT,
                "| %s | %.0f | %.0f | %+.0f ± %.0f | %s | %s | %d | %d | %.1f |%n",
                day.name(),
                wasted.firstMean(),
                wasted.secondMean(),
                wasted.meanDifference(),
                wasted.halfWidth(),
                reactionText(day, alone),
                reactionText(day, shared),
                alone.stream().mapToLong(Outcome::heldInNeed).sum(),
                shared.stream().mapToLong(Outcome::heldInNeed).sum(),
                oldestUsedSeconds);
        terminal.flush();
        return alone.stream().allMatch(SharingCommand::hasCorrectAges)
                && shared.stream().allMatch(SharingCommand::hasCorrectAges);
    }

    private Outcome play(Day day, boolean shared, long seed) {
        return ObservationSharingTrial.play(
                new ObservationSharingTrial.Setting(
                        processes,
                        servers,
                        callsPerSecond,
                        day.failingServers(),
                        day.liars(),
                        shared,
                        day.loss(),
                        seed,
                        day.faults()));
    }

    private static boolean hasCorrectAges(Outcome outcome) {
        return outcome.younger() == 0 && outcome.past() == 0;
    }

    /** The longest time until nine in ten processes avoided the failing servers, in seconds. */
    private static String reactionText(Day day, List<Outcome> outcomes) {
        if (day.failingServers() == 0) {
            return "-";
        }
        if (outcomes.stream().anyMatch(outcome -> outcome.heldByMostMs() < 0)) {
            return "never";
        }
        double maxSeconds =
                outcomes.stream()
                        .mapToDouble(outcome -> outcome.heldByMostMs() / 1000)
                        .max()
                        .orElse(0);
        return String.format(Locale.ROOT, "%.0f", maxSeconds);
    }
}
