package poppynotch.lab;

import java.io.PrintWriter;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
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
import poppynotch.lab.fleet.RolloutTrial.RolloutMethod;
import poppynotch.lab.fleet.RolloutTrial.Setting;

/**
 * The command {@code lab releases}: compares staged rollouts of good and bad versions with a fixed
 * timer and with all at once.
 */
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

    private static final Behaviour HEALTHY = new Behaviour(0.01, 0.03, 0, 0);
    private static final Behaviour FAILS_THIRD = new Behaviour(0.33, 0.03, 0, 0);
    private static final Behaviour FAILS_HALF = new Behaviour(0.5, 0.03, 0, 0);
    private static final double CALLS_PER_SECOND = 5;
    private static final double TRIAL_LENGTH_MS = 150_000;

    /**
     * A rollout that is played in every way.
     *
     * @param controllerEndsMs when the first rollout controller dies, after the begin; 0 for never
     */
    private record Release(
            String name,
            Behaviour oldVersion,
            Behaviour newVersion,
            double controllerEndsMs,
            List<Fault> faults) {

        static Release of(String name, Behaviour newVersion) {
            return new Release(name, HEALTHY, newVersion, 0, List.of());
        }
    }

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
    private int goodReleases = 200;

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

    @Override
    public Integer call() {
        if (processes < 4 || runs < 1 || goodReleases < 1) {
            throw new IllegalArgumentException(
                    "--processes must be 4 or more, --runs and --good 1 or more");
        }
        PrintWriter terminal = spec.commandLine().getOut();
        terminal.println(
                "| version | judged bad | after, s: median, worst | hurt of the release's calls |"
                        + " by a fixed timer | all at once |");
        releases().forEach(release -> playAndPrint(terminal, release));
        long haltedReleases = playGoodReleasesAndPrint(terminal);
        return haltedReleases <= Math.max(1, goodReleases / 100) ? 0 : 1;
    }

    private List<Release> releases() {
        List<Integer> half = IntStream.range(processes / 2, processes).boxed().toList();
        return List.of(
                Release.of("fails half", FAILS_HALF),
                Release.of("fails one in ten", new Behaviour(0.1, 0.03, 0, 0)),
                Release.of("fails one in thirty", new Behaviour(0.033, 0.03, 0, 0)),
                Release.of("fails half after 30 s", new Behaviour(0.5, 0.03, 30_000, 0)),
                Release.of("fails half above 40 %", new Behaviour(0.5, 0.03, 0, 0.4)),
                Release.of("slow in 10 %, not 3 %", new Behaviour(0.01, 0.1, 0, 0)),
                new Release("both fail a third", FAILS_THIRD, FAILS_THIRD, 0, List.of()),
                new Release("the old one fails a third", FAILS_THIRD, HEALTHY, 0, List.of()),
                new Release(
                        "fails half, conductor dies after 4 s",
                        HEALTHY,
                        FAILS_HALF,
                        4000,
                        List.of()),
                new Release(
                        "fails half, half cut off",
                        HEALTHY,
                        FAILS_HALF,
                        0,
                        List.of(new Fault(10_000, Fault.Kind.PARTITION, half, 120_000, 0))));
    }

    private Outcome play(Release release, RolloutMethod way, long seed) {
        return RolloutTrial.play(
                new Setting(
                        processes,
                        CALLS_PER_SECOND,
                        release.oldVersion(),
                        release.newVersion(),
                        way,
                        plan(),
                        TRIAL_LENGTH_MS,
                        release.controllerEndsMs(),
                        false,
                        seed,
                        release.faults()));
    }

    /** Plays staged rollouts of a good version and returns how many were halted. */
    private long playGoodReleasesAndPrint(PrintWriter terminal) {
        Release goodRelease = Release.of("good", HEALTHY);
        List<Outcome> outcomes =
                IntStream.rangeClosed(1, goodReleases)
                        .parallel()
                        .mapToObj(seed -> play(goodRelease, RolloutMethod.STAGED, seed))
                        .toList();
        long halted = outcomes.stream().filter(outcome -> outcome.judgedMs() >= 0).count();
        long complete =
                outcomes.stream()
                        .filter(outcome -> outcome.last().phase() == RolloutStage.Phase.DONE)
                        .count();
        double worstExcess = outcomes.stream().mapToDouble(Outcome::worstPart).max().orElse(0);
        terminal.printf(
                Locale.ROOT,
                "of %d releases of a good version %d were judged bad (planned: 1 in 100 at most),"
                    + " %d were done within %.0f s; the part of calls was above the planned one by"
                    + " %.3f at most%n",
                goodReleases,
                halted,
                complete,
                TRIAL_LENGTH_MS / 1000,
                worstExcess);
        terminal.flush();
        return halted;
    }

    /** Plays a release in every way with all seeds and prints its row. */
    private void playAndPrint(PrintWriter terminal, Release release) {
        List<Map<RolloutMethod, Outcome>> trials =
                IntStream.rangeClosed(1, runs)
                        .parallel()
                        .mapToObj(seed -> playEveryWay(release, seed))
                        .toList();
        DescriptiveStatistics haltedAfterSeconds = new DescriptiveStatistics();
        Map<RolloutMethod, Double> hurtFraction = new EnumMap<>(RolloutMethod.class);
        for (Map<RolloutMethod, Outcome> trial : trials) {
            trial.forEach(
                    (way, outcome) ->
                            hurtFraction.merge(
                                    way,
                                    (double) outcome.hurt() / outcome.calls() / runs,
                                    Double::sum));
            double judgedMs = trial.get(RolloutMethod.STAGED).judgedMs();
            if (judgedMs >= 0) {
                haltedAfterSeconds.addValue(judgedMs / 1000);
            }
        }
        terminal.printf(
                Locale.ROOT,
                "| %s | %d of %d | %s | %s | %s | %s |%n",
                release.name(),
                haltedAfterSeconds.getN(),
                runs,
                medianAndMax(haltedAfterSeconds),
                hurtText(hurtFraction.get(RolloutMethod.values()[0])),
                hurtText(hurtFraction.get(RolloutMethod.values()[1])),
                hurtText(hurtFraction.get(RolloutMethod.values()[2])));
        terminal.flush();
    }

    private Map<RolloutMethod, Outcome> playEveryWay(Release release, long seed) {
        Map<RolloutMethod, Outcome> outcomes = new EnumMap<>(RolloutMethod.class);
        for (RolloutMethod way : RolloutMethod.values()) {
            outcomes.put(way, play(release, way, seed));
        }
        return outcomes;
    }

    private static String medianAndMax(DescriptiveStatistics seconds) {
        if (seconds.getN() == 0) {
            return "-";
        }
        return String.format(
                Locale.ROOT, "%.1f, %.1f", seconds.getPercentile(50), seconds.getMax());
    }

    private static String hurtText(double fraction) {
        return fraction < 1e-9 ? "none" : String.format(Locale.ROOT, "1 in %.0f", 1 / fraction);
    }
}
