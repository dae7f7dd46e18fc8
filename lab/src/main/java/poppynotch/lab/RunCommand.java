package poppynotch.lab;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import poppynotch.lab.measure.Result;
import poppynotch.lab.report.ComparisonReport;
import poppynotch.lab.report.RunComparison;
import poppynotch.lab.report.RunReport;

/** The command {@code lab run}: plays an experiment and writes its report. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Plays an experiment and tells how it went.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:every day was played and no rule was broken",
            "1:a rule was broken, or a day could not be played",
            "2:the command line or the file is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab run calm",
            "  lab run calm --mode socket --logs logs",
            "  lab run my.yaml --seed 1 --seed 2 --out report"
        })
final class RunCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(
            paramLabel = "NAME|FILE",
            description = "One of those that 'lab list' names, or a YAML or TOML file.")
    private String name;

    @Option(
            names = "--mode",
            paramLabel = "MODE",
            description = "virtual or socket, in place of the file's.")
    private String mode;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "Seed of a day, in place of the file's; may be repeated.")
    private List<Long> seeds = new ArrayList<>();

    @Option(
            names = "--set",
            paramLabel = "KEY=VALUE",
            description = "Changes a key of the file; may be repeated.")
    private Map<String, String> changes = new LinkedHashMap<>();

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            description = "Where report.html and result.json go.")
    private Path out;

    @Option(
            names = "--sidecar",
            paramLabel = "COMMAND",
            description = "Starts a sidecar, in socket mode; else the deploy file's run.")
    private String sidecar;

    @Option(
            names = "--logs",
            paramLabel = "FOLDER",
            description = "Keeps the sidecars' logs, in socket mode.")
    private Path logs;

    @Option(
            names = "--policy",
            paramLabel = "NAME",
            description = "In place of the file's policies; may be repeated, in virtual mode.")
    private List<String> policies = new ArrayList<>();

    @Option(
            names = "--threads",
            paramLabel = "N",
            description =
                    "Days played at once in virtual mode; with 1 the memory that a day takes is"
                            + " told too. Else as many as there are cores.")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Override
    public Integer call() throws Exception {
        return play(false);
    }

    /**
     * Plays the file's own values, or every point of its sweep.
     *
     * @return the exit status: 0 if no rule was broken, else 1
     */
    int play(boolean sweep) throws Exception {
        if (threads < 1) {
            throw new IllegalArgumentException("--threads must be 1 or more but is " + threads);
        }
        addOptionsToChanges();
        PrintWriter terminal = spec.commandLine().getOut();
        Campaign campaign =
                new Campaign(
                        name,
                        changes,
                        sweep,
                        () -> DeployFile.launch(sidecar, logs),
                        threads,
                        terminal);
        List<Result> results = campaign.play();
        RunComparison.comparePolicies(results)
                .forEach(
                        comparison ->
                                ComparisonReport.lines(comparison).forEach(terminal::println));
        terminal.flush();
        if (out != null) {
            RunReport.write(out, campaign.about(), results);
        }
        return results.stream().allMatch(Result::hasNoViolations) ? 0 : 1;
    }

    private void addOptionsToChanges() {
        if (mode != null) {
            changes.put("mode", mode);
        }
        if (!seeds.isEmpty()) {
            changes.put("seeds", seeds.toString());
        }
        if (!policies.isEmpty()) {
            changes.put("policies", policies.toString());
        }
    }
}
