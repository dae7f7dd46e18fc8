package mapleroute.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import mapleroute.lab.experiment.Experiment;
import mapleroute.lab.experiment.Experiment.Mode;
import mapleroute.lab.experiment.ExperimentReader;
import mapleroute.lab.measure.Result;
import mapleroute.lab.socket.SocketWorld;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Plays an experiment. */
@Command(name = "run", mixinStandardHelpOptions = true, sortOptions = false,
    description = "Plays an experiment and tells how it went.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:every day was played and no rule was broken",
    "1:a rule was broken, or a day could not be played",
        "2:the command line or the file is wrong"},
    footerHeading = "%nExamples:%n",
    footer = {"  lab run calm", "  lab run calm --mode socket --logs logs",
    "  lab run my.yaml --seed 1 --seed 2 --out report"})
final class RunCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "NAME|FILE", description =
        "One of those that 'lab list' names, or a YAML or TOML file.")
    private String name;

    @Option(names = "--mode", paramLabel = "MODE", description = "virtual or socket, in place of the file's.")
    private String mode;

    @Option(names = "--seed", paramLabel = "N", description =
        "Seed of a day, in place of the file's; may be repeated.")
    private List<Long> seeds = new ArrayList<>();

    @Option(names = "--set", paramLabel = "KEY=VALUE", description =
        "Changes a key of the file; may be repeated.")
    private Map<String, String> changes = new LinkedHashMap<>();

    @Option(names = "--out", paramLabel = "FOLDER", description = "Where the report goes, as result.json.")
    private Path out;

    @Option(names = "--sidecar", paramLabel = "COMMAND",
        description = "Starts a sidecar, in socket mode; else the deploy file's run.")
    private String sidecar;

    @Option(names = "--logs", paramLabel = "FOLDER", description =
        "Keeps the sidecars' logs, in socket mode.")
    private Path logs;

    @Override
    public Integer call() throws Exception {
        PrintWriter terminal = spec.commandLine().getOut();
        if (mode != null) {
            changes.put("mode", mode);
        }
        if (!seeds.isEmpty()) {
            changes.put("seeds", seeds.toString());
        }
        Experiment experiment = ExperimentReader.read(name, ExperimentReader.tree(name, changes));
        if (experiment.mode() != Mode.SOCKET) {
            throw new IllegalArgumentException("only --mode socket is there so far");
        }
        Path root = sidecar == null ? Deployed.root() : Path.of("").toAbsolutePath();
        SocketWorld.Launch launch = new SocketWorld.Launch(sidecar == null ? Deployed.command(root)
            : sidecar, root,
            logs == null ? null : logs.toAbsolutePath());
        List<Result> results = new ArrayList<>();
        for (long seed : experiment.seeds()) {
            Result result = SocketWorld.play(experiment, seed, Map.of(), launch, progress(seed));
            results.add(result);
            tell(terminal, result);
        }
        if (out != null) {
            Files.createDirectories(out);
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
                .writeValue(out.resolve("result.json").toFile(), results);
        }
        return results.stream().allMatch(Result::kept) ? 0 : 1;
    }

    /** A line that is written over, on a terminal; nothing where the output goes elsewhere. */
    private java.util.function.DoubleConsumer progress(long seed) {
        if (System.console() == null) {
            return part -> { };
        }
        return part -> {
            System.err.printf(Locale.ROOT, "\rseed %d: %3.0f %%%s", seed, 100 * part, part >= 1 ? "\r" : "");
            System.err.flush();
        };
    }

    private static void tell(PrintWriter terminal, Result result) {
        Result.Totals t = result.totals();
        terminal.printf(Locale.ROOT,
            "%s seed %d, %s, %s: G %.3f  (whole %.3f, worst 10 s %.3f, worst class %.3f)%n",
            result.experiment(), result.seed(), result.mode(), result.policy(), result.g(), result.whole(),
            result.worstTenSeconds(), result.worstClass());
        double n = Math.max(1, t.offered()) / 100.0;
        terminal.printf(Locale.ROOT, "  of %d: %.1f %% in time, %.1f late, %.1f refused, %.1f failed;"
            + " answers p50 %.0f, p99 %.0f ms; %.2f tries, %.2f attempts each%n", t.offered(), t.inTime() / n,
            t.late() / n, t.refused() / n, t.failed() / n, result.latency().p50(), result.latency().p99(),
            t.tries() / (n * 100), t.attempts() / (n * 100));
        result.notes().forEach(note -> terminal.println("  note: " + note));
        if (result.kept()) {
            terminal.println("  rules kept");
        }
        result.rules().forEach((rule, count) -> terminal.println("  RULE BROKEN: " + rule + ", " + count
            + " times"));
        result.broken().forEach(broken -> terminal.printf(Locale.ROOT,
            "    %s at %.3f s: request %s, nodo %s: %s%n",
            broken.rule().name().toLowerCase(Locale.ROOT), broken.atMs() / 1000, broken.request(),
            broken.nodo(),
            broken.why()));
        terminal.flush();
    }
}
