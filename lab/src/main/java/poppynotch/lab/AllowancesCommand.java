package poppynotch.lab;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import poppynotch.lab.fleet.AllowanceTrial;
import poppynotch.lab.fleet.AllowanceTrial.Outcome;
import poppynotch.lab.fleet.AllowanceTrial.Setting;
import poppynotch.lab.fleet.Fault;

/** Compares even parts of an allowance with shares that move. */
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

    private static final double CONFIDENCE = 0.975;
    private static final double ALLOWANCE = 200;

    /**
     * What ten seconds may exceed the allowance by: the savings of two seconds, which processes may
     * have spent or not before, and the calls of one look at the clock.
     */
    private static final double STATED = 0.22;

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
        List<Integer> half = IntStream.range(0, processes / 2).boxed().toList();
        List<Integer> all = IntStream.range(0, processes).boxed().toList();
        List<Integer> few = IntStream.range(2, 2 + processes / 5).boxed().toList();
        terminal.println(
                "| day | let through of what one limiter would: even parts | shares that move |"
                        + " difference | worst ten seconds above the allowance: even | moving |"
                        + " hot process has nearly all after, s |");
        boolean kept = row(terminal, "even demand at nine tenths", 0.9, 0, false, 0, List.of());
        kept &= row(terminal, "even demand at twice", 2, 0, false, 0, List.of());
        kept &= row(terminal, "all at one process", 0.9, 1, false, 0, List.of());
        kept &= row(terminal, "all at one, which changes each 10 s", 0.9, 1, true, 0, List.of());
        kept &= row(terminal, "half at one, twice too much", 2, 0.5, false, 0, List.of());
        kept &=
                row(
                        terminal,
                        "half at one, a cut through the middle",
                        1.5,
                        0.5,
                        false,
                        0,
                        List.of(new Fault(30_000, Fault.Kind.PARTITION, half, 15_000, 0)));
        kept &=
                row(
                        terminal,
                        "half at one, 20 % loss",
                        1.5,
                        0.5,
                        false,
                        0,
                        List.of(new Fault(15_000, Fault.Kind.LOSS, all, 60_000, 0.2)));
        kept &=
                row(
                        terminal,
                        "half at one, all gossip lost",
                        1.5,
                        0.5,
                        false,
                        0,
                        List.of(new Fault(15_000, Fault.Kind.LOSS, all, 60_000, 1)));
        kept &=
                row(
                        terminal,
                        "half at one, a fifth stands still for 6 s",
                        1.5,
                        0.5,
                        false,
                        0,
                        List.of(new Fault(35_000, Fault.Kind.PAUSE, few, 6000, 0)));
        kept &=
                row(
                        terminal,
                        "half at one, a fifth killed and back",
                        1.5,
                        0.5,
                        false,
                        0,
                        List.of(new Fault(35_000, Fault.Kind.KILL, few, 6000, 0)));
        kept &= row(terminal, "half at one, one process lies", 1.5, 0.5, false, 1, List.of());
        terminal.println(
                kept
                        ? "kept: no ten seconds exceeded the allowance by more than 22 %"
                        : "BROKEN: ten seconds exceeded the allowance by more than 22 %");
        terminal.flush();
        return kept ? 0 : 1;
    }

    private boolean row(
            PrintWriter terminal,
            String day,
            double demand,
            double hot,
            boolean moves,
            int liars,
            List<Fault> faults) {
        List<Outcome[]> pairs =
                IntStream.range(0, seeds)
                        .parallel()
                        .mapToObj(
                                seed -> {
                                    List<Outcome> pair = new ArrayList<>();
                                    for (boolean shared : new boolean[] {false, true}) {
                                        pair.add(
                                                AllowanceTrial.play(
                                                        new Setting(
                                                                processes,
                                                                ALLOWANCE,
                                                                ALLOWANCE * demand,
                                                                hot,
                                                                moves,
                                                                shared,
                                                                liars,
                                                                seed + 1,
                                                                faults)));
                                    }
                                    return pair.toArray(new Outcome[0]);
                                })
                        .toList();
        SummaryStatistics alone = new SummaryStatistics();
        SummaryStatistics shared = new SummaryStatistics();
        SummaryStatistics difference = new SummaryStatistics();
        double[] over = new double[2];
        double nearly = 0;
        for (Outcome[] pair : pairs) {
            double[] part = new double[2];
            for (int i = 0; i < 2; i++) {
                part[i] = (double) pair[i].granted() / pair[i].ideal();
                over[i] = Math.max(over[i], pair[i].overshoot());
            }
            alone.addValue(part[0]);
            shared.addValue(part[1]);
            difference.addValue(part[1] - part[0]);
            nearly =
                    pair[1].nearlyWholeMs() < 0 || nearly < 0
                            ? -1
                            : Math.max(nearly, pair[1].nearlyWholeMs() / 1000);
        }
        double interval =
                new TDistribution(seeds - 1).inverseCumulativeProbability(CONFIDENCE)
                        * difference.getStandardDeviation()
                        / Math.sqrt(seeds);
        terminal.printf(
                Locale.ROOT,
                "| %s | %.3f | %.3f | %+.3f ± %.3f | %.1f %% | %.1f %% | %s |%n",
                day,
                alone.getMean(),
                shared.getMean(),
                difference.getMean(),
                interval,
                over[0] * 100,
                over[1] * 100,
                hot == 0 ? "-" : nearly < 0 ? "never" : String.format(Locale.ROOT, "%.1f", nearly));
        terminal.flush();
        return over[1] <= STATED;
    }
}
