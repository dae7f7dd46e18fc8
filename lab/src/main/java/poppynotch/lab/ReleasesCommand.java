package poppynotch.lab;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import poppynotch.fleet.rollout.RolloutPlan;
import poppynotch.fleet.rollout.RolloutStage;
import poppynotch.lab.fleet.Fault;
import poppynotch.lab.fleet.RolloutTrial;
import poppynotch.lab.fleet.RolloutTrial.Behaviour;
import poppynotch.lab.fleet.RolloutTrial.Outcome;
import poppynotch.lab.fleet.RolloutTrial.Setting;
import poppynotch.lab.fleet.RolloutTrial.Way;

/** Measures staged releases of servers. */
@Command(
        name = "releases",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Plays releases of good and bad versions on the virtual clock: who is hurt, how"
                    + " soon it is judged, and how often an innocent version is judged bad; beside"
                    + " all at once and a fixed timer.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:no more innocent versions were judged bad than planned",
            "1:more were",
            "2:the command line is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {"  lab releases", "  lab releases --good 1000"})
final class ReleasesCommand implements Callable<Integer> {

    private static final Behaviour WELL = new Behaviour(0.01, 0.03, 0, 0);
    private static final double LENGTH_MS = 150_000;

    @Spec private CommandSpec spec;

    @Option(names = "--processes", paramLabel = "N", description = "100 if not said.")
    private int processes = 100;

    @Option(
            names = "--runs",
            paramLabel = "N",
            description = "Releases of each bad version; 20 if not said.")
    private int runs = 20;

    @Option(
            names = "--good",
            paramLabel = "N",
            description = "Releases of a good version; 200 if not said.")
    private int good = 200;

    private static RolloutPlan plan() {
        return new RolloutPlan(
                "r",
                "new",
                List.of(),
                List.of(0.01, 0.05, 0.25, 0.5, 0.9),
                20_000,
                100,
                0.005,
                0.02,
                0.01,
                true);
    }

    private Setting setting(
            Behaviour old,
            Behaviour fresh,
            Way way,
            double conductorEnds,
            long seed,
            List<Fault> faults) {
        return new Setting(
                processes,
                5,
                old,
                fresh,
                way,
                plan(),
                LENGTH_MS,
                conductorEnds,
                false,
                seed,
                faults);
    }

    @Override
    public Integer call() {
        if (processes < 4 || runs < 1 || good < 1) {
            throw new IllegalArgumentException(
                    "--processes must be 4 or more, --runs and --good 1 or more");
        }
        PrintWriter terminal = spec.commandLine().getOut();
        terminal.println(
                "| version | judged bad | after, s: median, worst | hurt of the release's calls |"
                        + " by a fixed timer | all at once |");
        row(terminal, "fails half", WELL, new Behaviour(0.5, 0.03, 0, 0), 0, List.of());
        row(terminal, "fails one in ten", WELL, new Behaviour(0.1, 0.03, 0, 0), 0, List.of());
        row(terminal, "fails one in thirty", WELL, new Behaviour(0.033, 0.03, 0, 0), 0, List.of());
        row(
                terminal,
                "fails half after 30 s",
                WELL,
                new Behaviour(0.5, 0.03, 30_000, 0),
                0,
                List.of());
        row(
                terminal,
                "fails half above 40 %",
                WELL,
                new Behaviour(0.5, 0.03, 0, 0.4),
                0,
                List.of());
        row(terminal, "slow in 10 %, not 3 %", WELL, new Behaviour(0.01, 0.1, 0, 0), 0, List.of());
        Behaviour ill = new Behaviour(0.33, 0.03, 0, 0);
        row(terminal, "both fail a third", ill, ill, 0, List.of());
        row(terminal, "the old one fails a third", ill, WELL, 0, List.of());
        row(
                terminal,
                "fails half, conductor dies after 4 s",
                WELL,
                new Behaviour(0.5, 0.03, 0, 0),
                4000,
                List.of());
        row(
                terminal,
                "fails half, half cut off",
                WELL,
                new Behaviour(0.5, 0.03, 0, 0),
                0,
                List.of(
                        new Fault(
                                10_000,
                                Fault.Kind.PARTITION,
                                IntStream.range(processes / 2, processes).boxed().toList(),
                                120_000,
                                0)));
        List<Outcome> innocent =
                IntStream.rangeClosed(1, good)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        RolloutTrial.play(
                                                setting(
                                                        WELL,
                                                        WELL,
                                                        Way.STAGED,
                                                        0,
                                                        seed,
                                                        List.of())))
                        .toList();
        long halted = innocent.stream().filter(outcome -> outcome.judgedMs() >= 0).count();
        long done =
                innocent.stream()
                        .filter(outcome -> outcome.last().phase() == RolloutStage.Phase.DONE)
                        .count();
        double worst = innocent.stream().mapToDouble(Outcome::worstPart).max().orElse(0);
        terminal.printf(
                Locale.ROOT,
                "of %d releases of a good version %d were judged bad (planned: 1 in 100 at most),"
                    + " %d were done within %.0f s; the part of calls was above the planned one by"
                    + " %.3f at most%n",
                good,
                halted,
                done,
                LENGTH_MS / 1000,
                worst);
        terminal.flush();
        return halted <= Math.max(1, good / 100) ? 0 : 1;
    }

    private void row(
            PrintWriter terminal,
            String name,
            Behaviour old,
            Behaviour fresh,
            double conductorEnds,
            List<Fault> faults) {
        DescriptiveStatistics after = new DescriptiveStatistics();
        double[] hurt = new double[Way.values().length];
        List<List<Outcome>> all =
                IntStream.rangeClosed(1, runs)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        List.of(Way.values()).stream()
                                                .map(
                                                        way ->
                                                                RolloutTrial.play(
                                                                        setting(
                                                                                old,
                                                                                fresh,
                                                                                way,
                                                                                conductorEnds,
                                                                                seed,
                                                                                faults)))
                                                .toList())
                        .toList();
        for (List<Outcome> outcomes : all) {
            for (Way way : Way.values()) {
                Outcome outcome = outcomes.get(way.ordinal());
                hurt[way.ordinal()] += (double) outcome.hurt() / outcome.calls() / runs;
            }
            if (outcomes.get(0).judgedMs() >= 0) {
                after.addValue(outcomes.get(0).judgedMs() / 1000);
            }
        }
        terminal.printf(
                Locale.ROOT,
                "| %s | %d of %d | %s | %s | %s | %s |%n",
                name,
                after.getN(),
                runs,
                after.getN() == 0
                        ? "-"
                        : String.format(
                                Locale.ROOT, "%.1f, %.1f", after.getPercentile(50), after.getMax()),
                part(hurt[0]),
                part(hurt[1]),
                part(hurt[2]));
        terminal.flush();
    }

    private static String part(double hurt) {
        return hurt < 1e-9 ? "none" : String.format(Locale.ROOT, "1 in %.0f", 1 / hurt);
    }
}
