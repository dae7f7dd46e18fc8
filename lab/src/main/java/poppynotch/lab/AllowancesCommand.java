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
import poppynotch.lab.fleet.QuotaTrial;
import poppynotch.lab.fleet.QuotaTrial.Outcome;
import poppynotch.lab.fleet.QuotaTrial.Setting;

/**
 * The command {@code lab allowances}: compares a tenant's quota that is split evenly between
 * processes with quota shares that move to where the demand is.
 */
@Command(
        name = "allowances",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Plays a tenant's calls at several processes, with even parts of its allowance and"
                    + " with shares that move, on the virtual clock with the same seeds, beside a"
                    + " limiter that sees all.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:no ten seconds exceeded the allowance by more than is stated",
            "1:some did",
            "2:the command line is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {"  lab allowances", "  lab allowances --processes 100"})
final class AllowancesCommand implements Callable<Integer> {

    private static final double ALLOWANCE_PER_SECOND = 200;

    /**
     * The fraction by which ten seconds may exceed the allowance: the savings of two seconds, which
     * processes may have spent or not before, and the calls of one reading of the clock.
     */
    private static final double MAX_OVERSHOOT = 0.22;

    /**
     * What differs from day to day.
     *
     * @param demand how much is asked for, as a multiple of the allowance
     * @param hotFraction the fraction of the demand that one process gets
     * @param hotProcessMoves whether another process becomes the hot one each ten seconds
     * @param liars how many processes report false figures
     */
    private record Day(
            String name,
            double demand,
            double hotFraction,
            boolean hotProcessMoves,
            int liars,
            List<Fault> faults) {}

    /** One seed, with an even split of the allowance and with shares that move. */
    private record Pair(Outcome even, Outcome shared) {}

    @Spec private CommandSpec spec;

    @Option(names = "--processes", paramLabel = "N", description = "20 if not said.")
    private int processes = 20;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            description = "How many pairs of plays; 10 if not said.")
    private int seeds = 10;

    @Override
    public Integer call() {
        if (processes < 4 || seeds < 2) {
            throw new IllegalArgumentException(
                    "--processes must be 4 or more and --seeds 2 or more");
        }
        PrintWriter terminal = spec.commandLine().getOut();
        terminal.println(
                "| day | let through of what one limiter would: even parts | shares that move |"
                        + " difference | worst ten seconds above the allowance: even | moving |"
                        + " hot process has nearly all after, s |");
        boolean withinBound = true;
        for (Day day : days()) {
            withinBound &= playAndPrint(terminal, day);
        }
        terminal.println(
                withinBound
                        ? "kept: no ten seconds exceeded the allowance by more than 22 %"
                        : "BROKEN: ten seconds exceeded the allowance by more than 22 %");
        terminal.flush();
        return withinBound ? 0 : 1;
    }

    private List<Day> days() {
        List<Integer> half = IntStream.range(0, processes / 2).boxed().toList();
        List<Integer> all = IntStream.range(0, processes).boxed().toList();
        List<Integer> fifth = IntStream.range(2, 2 + processes / 5).boxed().toList();
        return List.of(
                new Day("even demand at nine tenths", 0.9, 0, false, 0, List.of()),
                new Day("even demand at twice", 2, 0, false, 0, List.of()),
                new Day("all at one process", 0.9, 1, false, 0, List.of()),
                new Day("all at one, which changes each 10 s", 0.9, 1, true, 0, List.of()),
                new Day("half at one, twice too much", 2, 0.5, false, 0, List.of()),
                halfAtOne(
                        "half at one, a cut through the middle",
                        new Fault(30_000, Fault.Kind.PARTITION, half, 15_000, 0)),
                halfAtOne(
                        "half at one, 20 % loss",
                        new Fault(15_000, Fault.Kind.LOSS, all, 60_000, 0.2)),
                halfAtOne(
                        "half at one, all gossip lost",
                        new Fault(15_000, Fault.Kind.LOSS, all, 60_000, 1)),
                halfAtOne(
                        "half at one, a fifth stands still for 6 s",
                        new Fault(35_000, Fault.Kind.PAUSE, fifth, 6000, 0)),
                halfAtOne(
                        "half at one, a fifth killed and back",
                        new Fault(35_000, Fault.Kind.KILL, fifth, 6000, 0)),
                new Day("half at one, one process lies", 1.5, 0.5, false, 1, List.of()));
    }

    private static Day halfAtOne(String name, Fault fault) {
        return new Day(name, 1.5, 0.5, false, 0, List.of(fault));
    }

    /** Plays a day with all seeds, prints its row and returns whether it kept the bound. */
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
        PairedSamples granted = new PairedSamples();
        double maxOvershootEven = 0;
        double maxOvershootShared = 0;
        for (Pair pair : pairs) {
            granted.add(grantedFraction(pair.even()), grantedFraction(pair.shared()));
            maxOvershootEven = Math.max(maxOvershootEven, pair.even().overshoot());
            maxOvershootShared = Math.max(maxOvershootShared, pair.shared().overshoot());
        }
        terminal.printf(
                Locale.ROOT,
                "| %s | %.3f | %.3f | %+.3f ± %.3f | %.1f %% | %.1f %% | %s |%n",
                day.name(),
                granted.firstMean(),
                granted.secondMean(),
                granted.meanDifference(),
                granted.halfWidth(),
                maxOvershootEven * 100,
                maxOvershootShared * 100,
                convergenceText(day, pairs));
        terminal.flush();
        return maxOvershootShared <= MAX_OVERSHOOT;
    }

    private Outcome play(Day day, boolean shared, long seed) {
        return QuotaTrial.play(
                new Setting(
                        processes,
                        ALLOWANCE_PER_SECOND,
                        ALLOWANCE_PER_SECOND * day.demand(),
                        day.hotFraction(),
                        day.hotProcessMoves(),
                        shared,
                        day.liars(),
                        seed,
                        day.faults()));
    }

    private static double grantedFraction(Outcome outcome) {
        return (double) outcome.granted() / outcome.ideal();
    }

    /** The longest time until the hot process had nearly the whole allowance, in seconds. */
    private static String convergenceText(Day day, List<Pair> pairs) {
        if (day.hotFraction() == 0) {
            return "-";
        }
        if (pairs.stream().anyMatch(pair -> pair.shared().nearlyWholeMs() < 0)) {
            return "never";
        }
        double maxSeconds =
                pairs.stream()
                        .mapToDouble(pair -> pair.shared().nearlyWholeMs() / 1000)
                        .max()
                        .orElse(0);
        return String.format(Locale.ROOT, "%.1f", maxSeconds);
    }
}
