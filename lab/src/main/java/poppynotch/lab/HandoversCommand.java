package poppynotch.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import poppynotch.lab.drill.LeaseHandovers;

/** The command {@code lab handovers}: measures how a lease passes between real processes. */
@Command(
        name = "handovers",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Starts keepers and processes that want a duty, takes it from its holder in several"
                    + " ways, and tells how long it took until another had it. The programs must be"
                    + " built.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:every promise was kept",
            "1:one was broken, or it could not be played",
            "2:the command line is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {"  lab handovers", "  lab handovers --others 20 --rounds 10"})
final class HandoversCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Option(names = "--keepers", paramLabel = "N", description = "3 or 5; 5 if not said.")
    private int raftServers = 5;

    @Option(
            names = "--others",
            paramLabel = "N",
            description = "Processes that want it; 6 if not said.")
    private int candidates = 6;

    @Option(
            names = "--rounds",
            paramLabel = "N",
            description = "Hand-overs of each way; 3 if not said.")
    private int rounds = 3;

    @Option(names = "--seed", paramLabel = "N", description = "1 if not said.")
    private long seed = 1;

    @Override
    public Integer call() throws IOException {
        if ((raftServers != 3 && raftServers != 5) || candidates < 2 || rounds < 1) {
            throw new IllegalArgumentException(
                    "--keepers must be 3 or 5, --others 2 or more, --rounds 1 or more");
        }
        PrintWriter terminal = spec.commandLine().getOut();
        LeaseHandovers.Outcome outcome =
                LeaseHandovers.play(
                        DeployFile.findRoot(),
                        raftServers,
                        candidates,
                        rounds,
                        seed,
                        line -> {
                            terminal.println("  " + line);
                            terminal.flush();
                        });
        printTimes(terminal, outcome);
        outcome.violations().forEach(line -> terminal.println("BROKEN " + line));
        terminal.println(outcome.violations().isEmpty() ? "kept" : "broken");
        terminal.flush();
        return outcome.violations().isEmpty() ? 0 : 1;
    }

    private static void printTimes(PrintWriter terminal, LeaseHandovers.Outcome outcome) {
        terminal.println("| way | hand-overs | median, s | 99th part | worst |");
        outcome.times()
                .forEach(
                        (way, timesMs) ->
                                terminal.printf(
                                        Locale.ROOT,
                                        "| %s | %d | %.2f | %.2f | %.2f |%n",
                                        way.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                                        timesMs.getTotalCount(),
                                        timesMs.getValueAtPercentile(50) / 1000.0,
                                        timesMs.getValueAtPercentile(99) / 1000.0,
                                        timesMs.getMaxValue() / 1000.0));
    }
}
