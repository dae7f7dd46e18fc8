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
import poppynotch.lab.fleet.Interposer;
import poppynotch.lab.fleet.LeaseTrial;
import poppynotch.lab.fleet.LeaseTrial.SeededDefect;
import poppynotch.lab.fleet.MembershipInvariants;
import poppynotch.lab.fleet.Shrinker;

/**
 * The command {@code lab explore}: draws fault schedules, plays each on the virtual clock and
 * shortens the first one that breaks an invariant.
 */
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

    /** Whose invariants are explored; the names are values of {@code --of}. */
    enum Subject {
        /** The invariants of membership. */
        MEMBERS,
        /** The invariants of leases: five Raft servers and six processes that want one. */
        DUTIES
    }

    @Spec private CommandSpec spec;

    @Option(
            names = "--of",
            paramLabel = "PART",
            description = "members or duties; members if not said.")
    private Subject subject = Subject.MEMBERS;

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
    private SeededDefect seeded = SeededDefect.NONE;

    @Option(names = "--replay", paramLabel = "FILE", description = "Plays this schedule alone.")
    private Path replay;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "Where a failing schedule is written.")
    private Path out;

    @Override
    public Integer call() throws IOException {
        PrintWriter terminal = spec.commandLine().getOut();
        if (schedules < 1) {
            throw new IllegalArgumentException("--schedules must be 1 or more but is " + schedules);
        }
        return replay == null ? explore(terminal) : replay(terminal);
    }

    private int replay(PrintWriter terminal) throws IOException {
        List<String> violations = violations(YAML.readValue(replay.toFile(), FleetPlan.class));
        violations.forEach(terminal::println);
        terminal.println(violations.isEmpty() ? "every promise was kept" : "broken");
        terminal.flush();
        return violations.isEmpty() ? 0 : 1;
    }

    private int explore(PrintWriter terminal) throws IOException {
        LeaseTotals totals = new LeaseTotals();
        FleetPlan failing =
                LongStream.range(seed, seed + schedules)
                        .parallel()
                        .mapToObj(this::draw)
                        .filter(plan -> isViolated(plan, totals))
                        .findFirst()
                        .orElse(null);
        totals.print(terminal);
        if (failing == null) {
            terminal.printf("%d schedules from seed %d: every promise was kept%n", schedules, seed);
            terminal.flush();
            return 0;
        }
        shortenAndPrint(terminal, failing);
        return 1;
    }

    private FleetPlan draw(long scheduleSeed) {
        return subject == Subject.MEMBERS
                ? FleetPlan.random(scheduleSeed)
                : LeaseTrial.randomPlan(scheduleSeed);
    }

    private List<String> violations(FleetPlan plan) {
        return subject == Subject.MEMBERS
                ? MembershipInvariants.violations(plan, Interposer.NONE)
                : LeaseTrial.run(plan, seeded).violations();
    }

    private boolean isViolated(FleetPlan plan, LeaseTotals totals) {
        if (subject == Subject.MEMBERS) {
            return !violations(plan).isEmpty();
        }
        LeaseTrial.Outcome outcome = LeaseTrial.run(plan, seeded);
        totals.add(outcome);
        return !outcome.violations().isEmpty();
    }

    private void shortenAndPrint(PrintWriter terminal, FleetPlan failing) throws IOException {
        FleetPlan shortest = Shrinker.shrink(failing, plan -> !violations(plan).isEmpty());
        terminal.printf("seed %d breaks:%n", failing.seed());
        violations(shortest).forEach(line -> terminal.println("  " + line));
        terminal.println("shortened to:");
        terminal.print(YAML.writeValueAsString(shortest));
        if (out != null) {
            YAML.writeValue(out.toFile(), shortest);
        }
        terminal.flush();
    }

    /** Totals of the lease trials; added to by the threads that play the schedules. */
    private static final class LeaseTotals {

        private final DescriptiveStatistics gapsMs = new DescriptiveStatistics();
        private long grants;
        private long acceptedEffects;
        private long rejectedEffects;

        synchronized void add(LeaseTrial.Outcome outcome) {
            outcome.gaps().forEach(gapsMs::addValue);
            grants += outcome.grants();
            acceptedEffects += outcome.acceptedEffects();
            rejectedEffects += outcome.rejectedEffects();
        }

        /** Prints the totals, or nothing if the lease never passed from one holder to another. */
        synchronized void print(PrintWriter terminal) {
            if (gapsMs.getN() == 0) {
                return;
            }
            terminal.printf(
                    Locale.ROOT,
                    "%d grants, %d effects let through, %d refused; nobody had it between two"
                            + " holders for %.1f s (median), %.1f s (99th part), %.1f s (worst), %d"
                            + " times%n",
                    grants,
                    acceptedEffects,
                    rejectedEffects,
                    gapsMs.getPercentile(50) / 1000,
                    gapsMs.getPercentile(99) / 1000,
                    gapsMs.getMax() / 1000,
                    gapsMs.getN());
        }
    }
}
