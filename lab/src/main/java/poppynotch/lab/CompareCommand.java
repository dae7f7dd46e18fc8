package poppynotch.lab;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import poppynotch.lab.measure.Result;
import poppynotch.lab.report.ComparisonReport;
import poppynotch.lab.report.ResultFile;
import poppynotch.lab.report.RunComparison;

/** The command {@code lab compare}: compares the results of two runs, day by day. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Compares two runs, day by day, with 95 % confidence intervals over their seeds.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:they were compared",
            "2:a file is no result of a run, or they have no day in common"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab run zone-lost --out before",
            "  lab run zone-lost --out after",
            "  lab compare before after --out difference"
        })
final class CompareCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(
            index = "0",
            paramLabel = "FIRST",
            description = "Folder of a run, or its result.json.")
    private Path first;

    @Parameters(index = "1", paramLabel = "SECOND", description = "The one to compare with it.")
    private Path second;

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            description = "Where comparison.html and comparison.json go.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        List<Result> before = ResultFile.read(first);
        List<Result> after = ResultFile.read(second);
        List<RunComparison> comparisons = RunComparison.compare(before, after);
        if (comparisons.isEmpty()) {
            throw new IllegalArgumentException(
                    first
                            + " and "
                            + second
                            + " have no day in common: the same"
                            + " experiment, point, policy and seed");
        }
        PrintWriter terminal = spec.commandLine().getOut();
        comparisons.forEach(
                comparison -> ComparisonReport.lines(comparison).forEach(terminal::println));
        terminal.flush();
        if (out != null) {
            ComparisonReport.write(out, comparisons, before, after);
        }
        return 0;
    }
}
