package poppynotch.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import poppynotch.lab.report.ScaleFleetReport;
import poppynotch.lab.report.ScaleResults;

/** Lays the figures of two runs of lab scale side by side. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Compares two runs of lab scale, figure by figure. One run each is no proof of a"
                    + " small difference: where intervals are known and lie apart, a line says so.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:they were compared",
            "2:a file holds no results, or they have no figure in common"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab scale compare before after",
            "  lab scale compare before after --out difference"
        })
final class ScaleCompareCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(
            index = "0",
            paramLabel = "FIRST",
            description = "Folder of a run, or its results.json.")
    private Path first;

    @Parameters(index = "1", paramLabel = "SECOND", description = "The one to compare with it.")
    private Path second;

    @Option(names = "--out", paramLabel = "FOLDER", description = "Where comparison.html goes.")
    private Path out;

    @Override
    public Integer call() throws IOException {
        ScaleResults before = ScaleResults.read(first);
        ScaleResults after = ScaleResults.read(second);
        List<String> lines = ScaleFleetReport.lines(before, after);
        if (lines.isEmpty()) {
            throw new IllegalArgumentException(
                    first
                            + " and "
                            + second
                            + " have no figure in common, of the"
                            + " same key and size");
        }
        PrintWriter terminal = spec.commandLine().getOut();
        lines.forEach(terminal::println);
        terminal.flush();
        if (out != null) {
            ScaleFleetReport.write(out, before, after);
        }
        return 0;
    }
}
