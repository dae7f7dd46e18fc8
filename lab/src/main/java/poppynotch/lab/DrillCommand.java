package poppynotch.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import poppynotch.lab.drill.Drill;
import poppynotch.lab.drill.DrillOutcome;
import poppynotch.lab.drill.DrillPlan;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.ExperimentReader;
import poppynotch.lab.measure.Result;
import poppynotch.lab.report.DrillReport;

/** The command {@code lab drill}: plays a fault drill on real processes, or lists the drills. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Starts real sidecar processes in a fleet, under load, breaks links and processes,"
                        + " and says which promises were kept. Without a name it lists the drills.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:every promise and rule was kept",
            "1:one was broken, or the drill could not be played",
            "2:the command line or the file is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab drill",
            "  lab drill zone-cut-off --out page",
            "  lab drill my.yaml --seed 2 --logs logs"
        })
final class DrillCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(
            paramLabel = "NAME|FILE",
            arity = "0..1",
            description = "A drill that comes with the lab, or a file.")
    private String name;

    @Option(names = "--seed", paramLabel = "N", description = "1 if not said.")
    private long seed = 1;

    @Option(names = "--out", paramLabel = "FOLDER", description = "Where drill.html goes.")
    private Path out;

    @Option(names = "--logs", paramLabel = "FOLDER", description = "Keeps the processes' logs.")
    private Path logs;

    @Option(
            names = "--sidecar",
            paramLabel = "COMMAND",
            description = "Starts a sidecar; else the deploy file's run.")
    private String sidecar;

    @Override
    public Integer call() throws Exception {
        PrintWriter terminal = spec.commandLine().getOut();
        if (name == null) {
            listDrills(terminal);
            return 0;
        }
        DrillPlan plan = DrillPlan.read(name);
        Experiment experiment =
                ExperimentReader.read(
                        plan.experiment(), ExperimentReader.tree(plan.experiment(), plan.set()));
        DrillOutcome outcome =
                Drill.play(
                        plan,
                        experiment,
                        seed,
                        DeployFile.launch(sidecar, logs),
                        fractionDone -> {});
        print(terminal, plan, outcome);
        if (out != null) {
            DrillReport.write(out, outcome);
        }
        return outcome.isPassed() ? 0 : 1;
    }

    private static void listDrills(PrintWriter terminal) throws IOException {
        for (String drill : DrillPlan.shipped()) {
            terminal.printf("%-20s %s%n", drill, DrillPlan.read(drill).about());
        }
        terminal.flush();
    }

    private void print(PrintWriter terminal, DrillPlan plan, DrillOutcome outcome) {
        Result.Totals totals = outcome.day().totals();
        terminal.printf(
                Locale.ROOT,
                "drill %s, seed %d: %d processes seen, %d requests, %.1f %% in time, G %.3f%n",
                plan.name(),
                seed,
                outcome.views().size(),
                totals.offered(),
                100.0 * totals.inTime() / Math.max(1, totals.offered()),
                outcome.day().g());
        outcome.figures().forEach(line -> terminal.println("  " + line));
        outcome.violations().forEach(line -> terminal.println("  BROKEN " + line));
        terminal.println(outcome.isPassed() ? "kept" : "broken");
        terminal.flush();
    }
}
