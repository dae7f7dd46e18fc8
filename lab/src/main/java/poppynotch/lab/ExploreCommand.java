package poppynotch.lab;

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import poppynotch.lab.fleet.FleetPlan;
import poppynotch.lab.fleet.FleetPromises;
import poppynotch.lab.fleet.Interposer;
import poppynotch.lab.fleet.LeaseTrial;
import poppynotch.lab.fleet.LeaseTrial.Seeded;
import poppynotch.lab.fleet.Shrinker;

/** Draws fault schedules and plays each on the virtual clock. */
@Command(
        name = "explore",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Plays drawn fault schedules of a fleet on the virtual clock and holds its promises"
                        + " against what is true. A failing schedule is shortened and printed as a"
                        + " file.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:every promise was kept",
            "1:one was broken",
            "2:the command line is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab explore --schedules 2000",
            "  lab explore --of duties --schedules 10000",
            "  lab explore --replay failing.yaml"
        })
final class ExploreCommand implements Callable<Integer> {

    private static final YAMLMapper YAML = new YAMLMapper();

    /** Whose promises are explored. */
    enum Of {
        /** Those of membership. */
        MEMBERS,
        /** Those of duties: five keepers and six that want one. */
        DUTIES
    }

    @Spec private CommandSpec spec;

    @Option(
            names = "--of",
            paramLabel = "PART",
            description = "members or duties; members if not said.")
    private Of of = Of.MEMBERS;

    @Option(
            names = "--schedules",
            paramLabel = "N",
            description = "How many are drawn; 200 if not said.")
    private int schedules = 200;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "The first one's seed; 1 if not said.")
    private long seed = 1;

    @Option(
            names = "--seeded",
            paramLabel = "FAULT",
            description =
                    "Plays duties with a fault in the program, to see it found: no_fence,"
                            + " no_margin, forgetful.")
    private Seeded seeded = Seeded.NONE;

    @Option(names = "--replay", paramLabel = "FILE", description = "Plays this schedule alone.")
    private Path replay;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "Where a failing schedule is written.")
    private Path out;

    private List<String> broken(FleetPlan plan) {
        return of == Of.MEMBERS
                ? FleetPromises.broken(plan, Interposer.NONE)
                : LeaseTrial.play(plan, seeded).broken();
    }

    @Override
    public Integer call() throws IOException {
        PrintWriter terminal = spec.commandLine().getOut();
        if (schedules < 1) {
            throw new IllegalArgumentException("--schedules must be 1 or more but is " + schedules);
        }
        if (replay != null) {
            List<String> lines = broken(YAML.readValue(replay.toFile(), FleetPlan.class));
            lines.forEach(terminal::println);
            terminal.println(lines.isEmpty() ? "every promise was kept" : "broken");
            terminal.flush();
            return lines.isEmpty() ? 0 : 1;
        }
        DescriptiveStatistics gaps = new DescriptiveStatistics();
        long[] counts = new long[3];
        FleetPlan failing =
                LongStream.range(seed, seed + schedules)
                        .parallel()
                        .mapToObj(
                                each ->
                                        of == Of.MEMBERS
                                                ? FleetPlan.drawn(each)
                                                : LeaseTrial.drawn(each))
                        .filter(
                                plan ->
                                        of == Of.MEMBERS
                                                ? !broken(plan).isEmpty()
                                                : breaks(plan, gaps, counts))
                        .findFirst()
                        .orElse(null);
        if (gaps.getN() > 0) {
            terminal.printf(
                    Locale.ROOT,
                    "%d grants, %d effects let through, %d refused; nobody had it between two"
                            + " holders for %.1f s (median), %.1f s (99th part), %.1f s (worst), %d"
                            + " times%n",
                    counts[0],
                    counts[1],
                    counts[2],
                    gaps.getPercentile(50) / 1000,
                    gaps.getPercentile(99) / 1000,
                    gaps.getMax() / 1000,
                    gaps.getN());
        }
        if (failing == null) {
            terminal.printf("%d schedules from seed %d: every promise was kept%n", schedules, seed);
            terminal.flush();
            return 0;
        }
        FleetPlan shortest = Shrinker.shortened(failing, plan -> !broken(plan).isEmpty());
        terminal.printf("seed %d breaks:%n", failing.seed());
        broken(shortest).forEach(line -> terminal.println("  " + line));
        terminal.println("shortened to:");
        terminal.print(YAML.writeValueAsString(shortest));
        if (out != null) {
            YAML.writeValue(out.toFile(), shortest);
        }
        terminal.flush();
        return 1;
    }

    private boolean breaks(FleetPlan plan, DescriptiveStatistics gaps, long[] counts) {
        LeaseTrial.Outcome outcome = LeaseTrial.play(plan, seeded);
        synchronized (gaps) {
            outcome.gaps().forEach(gaps::addValue);
            counts[0] += outcome.grants();
            counts[1] += outcome.effects();
            counts[2] += outcome.refused();
        }
        return !outcome.broken().isEmpty();
    }
}
