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
import poppynotch.lab.fleet.Fault;
import poppynotch.lab.fleet.SharingTrial;
import poppynotch.lab.fleet.SharingTrial.Outcome;

/** Compares fleets that share what they see of servers with fleets that do not. */
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

    private static final double CONFIDENCE = 0.975;

    @Spec private CommandSpec spec;

    @Option(names = "--processes", paramLabel = "N", description = "100 if not said.")
    private int processes = 100;

    @Option(names = "--servers", paramLabel = "N", description = "60 if not said.")
    private int servers = 60;

    @Option(
            names = "--calls",
            paramLabel = "N",
            description = "By each process a second; 10 if not said.")
    private double calls = 10;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            description = "How many pairs of plays; 10 if not said.")
    private int seeds = 10;

    @Override
    public Integer call() {
        if (processes < 3 || servers < 2 || calls <= 0 || seeds < 2) {
            throw new IllegalArgumentException(
                    "--processes must be 3 or more, --servers and --seeds 2 "
                            + "or more,"
                            + " --calls above 0");
        }
        PrintWriter terminal = spec.commandLine().getOut();
        List<Integer> part = IntStream.range(0, processes / 5).boxed().toList();
        List<Integer> all = IntStream.range(0, processes).boxed().toList();
        terminal.println(
                "| day | calls wasted, alone | shared | difference | nine in ten hold back "
                        + "after, s: alone | shared"
                        + " | well servers held, windows: alone | shared | oldest used, s |");
        boolean kept = row(terminal, "calm", 0, 0, 0, List.of());
        kept &= row(terminal, "failing nodo", 1, 0, 0, List.of());
        kept &= row(terminal, "failing nodo, 5 % loss", 1, 0, 0.05, List.of());
        kept &= row(terminal, "three failing, one process lies", 3, 1, 0, List.of());
        kept &= row(terminal, "calm, one process lies", 0, 1, 0, List.of());
        kept &=
                row(
                        terminal,
                        "failing, a fifth cut off",
                        1,
                        0,
                        0,
                        List.of(new Fault(25_000, Fault.Kind.PARTITION, part, 20_000, 0)));
        kept &=
                row(
                        terminal,
                        "failing, all gossip lost",
                        1,
                        0,
                        0,
                        List.of(new Fault(25_000, Fault.Kind.LOSS, all, 60_000, 1)));
        kept &=
                row(
                        terminal,
                        "failing, a fifth stands still",
                        1,
                        0,
                        0,
                        List.of(new Fault(28_000, Fault.Kind.PAUSE, part, 8000, 0)));
        terminal.println(
                kept
                        ? "no sighting was told younger than it was, none was used past its bound"
                        : "BROKEN: a sighting was told younger than it was, or used past its"
                                + " bound");
        terminal.flush();
        return kept ? 0 : 1;
    }

    private boolean row(
            PrintWriter terminal,
            String day,
            int failing,
            int liars,
            double loss,
            List<Fault> faults) {
        List<Outcome[]> pairs =
                IntStream.range(0, seeds)
                        .parallel()
                        .mapToObj(
                                seed -> {
                                    List<Outcome> pair = new ArrayList<>();
                                    for (boolean shared : new boolean[] {false, true}) {
                                        pair.add(
                                                SharingTrial.play(
                                                        new SharingTrial.Setting(
                                                                processes, servers, calls, failing,
                                                                liars, shared, loss, seed + 1,
                                                                faults)));
                                    }
                                    return pair.toArray(new Outcome[0]);
                                })
                        .toList();
        SummaryStatistics alone = new SummaryStatistics();
        SummaryStatistics shared = new SummaryStatistics();
        SummaryStatistics difference = new SummaryStatistics();
        long[] well = new long[2];
        double[] slowest = new double[2];
        double oldest = 0;
        boolean kept = true;
        for (Outcome[] pair : pairs) {
            alone.addValue(pair[0].wasted());
            shared.addValue(pair[1].wasted());
            difference.addValue(pair[1].wasted() - pair[0].wasted());
            for (int i = 0; i < 2; i++) {
                well[i] += pair[i].heldInNeed();
                slowest[i] =
                        pair[i].heldByMostMs() < 0 || slowest[i] < 0
                                ? -1
                                : Math.max(slowest[i], pair[i].heldByMostMs() / 1000);
                kept &= pair[i].younger() == 0 && pair[i].past() == 0;
            }
            oldest = Math.max(oldest, pair[1].ages().getMaxValue() / 1000.0);
        }
        double half =
                new TDistribution(seeds - 1).inverseCumulativeProbability(CONFIDENCE)
                        * difference.getStandardDeviation()
                        / Math.sqrt(seeds);
        terminal.printf(
                Locale.ROOT,
                "| %s | %.0f | %.0f | %+.0f ± %.0f | %s | %s | %d | %d | %.1f |%n",
                day,
                alone.getMean(),
                shared.getMean(),
                difference.getMean(),
                half,
                told(failing, slowest[0]),
                told(failing, slowest[1]),
                well[0],
                well[1],
                oldest);
        terminal.flush();
        return kept;
    }

    private static String told(int failing, double seconds) {
        return failing == 0
                ? "-"
                : seconds < 0 ? "never" : String.format(Locale.ROOT, "%.0f", seconds);
    }
}
