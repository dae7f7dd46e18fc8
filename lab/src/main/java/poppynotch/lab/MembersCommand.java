package poppynotch.lab;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import poppynotch.lab.fleet.Measurement;

/** The command {@code lab members}: measures membership at several sizes of fleet. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Measures membership on the virtual clock: how soon deaths are known, mistakes,"
                        + " cost, joins and heals. Times are median / 99th part / worst.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab members",
            "  lab members --size 100 --loss 0.05 --kills 50",
            "  lab members --size 100 --member-hours 10000 --loss 0.05"
        })
final class MembersCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Option(
            names = "--size",
            paramLabel = "N",
            description = "Members; may be repeated; else 10, 100, 300, 1000.")
    private List<Integer> sizes = new ArrayList<>();

    @Option(
            names = "--loss",
            paramLabel = "PART",
            description =
                    "Part of the datagrams that are lost; may be repeated; else 0, 0.05, 0.2.")
    private List<Double> losses = new ArrayList<>();

    @Option(names = "--kills", paramLabel = "N", description = "Deaths to measure; 20 if not said.")
    private int kills = 20;

    @Option(
            names = "--member-hours",
            paramLabel = "N",
            description = "Counts mistakes alone, over so many hours of members in order.")
    private double memberHours;

    @Option(names = "--seed", paramLabel = "N", description = "1 if not said.")
    private long seed = 1;

    @Override
    public Integer call() {
        PrintWriter terminal = spec.commandLine().getOut();
        sizes.addAll(sizes.isEmpty() ? List.of(10, 100, 300, 1000) : List.of());
        losses.addAll(losses.isEmpty() ? List.of(0.0, 0.05, 0.2) : List.of());
        if (sizes.stream().anyMatch(size -> size < 3)
                || kills < 0
                || losses.stream().anyMatch(loss -> loss < 0 || loss >= 1)) {
            throw new IllegalArgumentException(
                    "--size must be 3 or more, --loss from 0 to below 1, and "
                            + "--kills"
                            + " not below 0");
        }
        if (memberHours > 0) {
            printFalseDeaths(terminal);
        } else {
            printDeaths(terminal);
            printConvergence(terminal);
        }
        return 0;
    }

    /** Counts members in order that are declared dead. */
    private void printFalseDeaths(PrintWriter terminal) {
        int fleets = Runtime.getRuntime().availableProcessors();
        for (int size : sizes) {
            for (double loss : losses) {
                long falseDeaths =
                        Measurement.falseDeaths(
                                size, loss, memberHours / size / fleets, fleets, seed);
                terminal.printf(
                        Locale.ROOT,
                        "%d members, %.0f %% loss, %.0f member-hours: %d false deaths%n",
                        size,
                        loss * 100,
                        memberHours,
                        falseDeaths);
                terminal.flush();
            }
        }
    }

    /** Measures how soon deaths are detected, and what that costs. */
    private void printDeaths(PrintWriter terminal) {
        terminal.println("| " + String.join(" | ", Measurement.HEAD) + " |");
        for (int size : sizes) {
            for (double loss : losses) {
                List<String> cells = Measurement.deaths(size, loss, kills, seed).cells();
                terminal.println("| " + String.join(" | ", cells) + " |");
                terminal.flush();
            }
        }
    }

    /** Measures how soon all members have one view after a partition, and after a common start. */
    private void printConvergence(PrintWriter terminal) {
        for (int size : sizes) {
            terminal.printf(
                    Locale.ROOT,
                    "%d members: one view %.1f s after a cut through the middle ends; %.1f s after"
                        + " the first start where all join within 5 s by two seeds of which one is "
                        + "dead%n",
                    size,
                    Measurement.heal(size, seed) / 1000,
                    Measurement.join(size, seed) / 1000);
            terminal.flush();
        }
    }
}
