package poppynotch.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import picocli.CommandLine.TypeConversionException;
import poppynotch.lab.report.ScaleFleetReport;
import poppynotch.lab.report.ScaleResults;
import poppynotch.lab.scale.ScaleRun;
import poppynotch.lab.scale.ScaleSetup;

/** Plays a fleet of hollow members beside real processes, at several sizes. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Starts hollow members, some hundreds in a process, beside real sidecars and"
                        + " keepers in one fleet on loopback, at each size anew, and measures what"
                        + " control costs each of them and how long changes and faults take. The"
                        + " programs must be built.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all phases of all sizes were played",
            "1:one could not be played to its end",
            "2:the command line is wrong, or asks too much of this machine"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab scale fleet --out scale",
            "  lab scale fleet --size 54 --size 108 --phases start,idle,config --out quick",
            "  lab scale fleet --size 430 --region-cut 60s --seed 2 --out region"
        })
final class ScaleFleetCommand implements Callable<Integer> {

    /** Of the planned size and its parts, and beyond it. */
    private static final List<Integer> SIZES = List.of(54, 108, 215, 430, 860, 1720);

    private static final int PLAIN = 2;

    /** Reads {@code 30s}, {@code 250ms} or {@code 2m}. */
    static final class Time implements ITypeConverter<Duration> {
        @Override
        public Duration convert(String text) {
            try {
                return text.endsWith("ms")
                        ? Duration.ofMillis(Long.parseLong(text.substring(0, text.length() - 2)))
                        : Duration.parse("PT" + text.toUpperCase(Locale.ROOT));
            } catch (DateTimeParseException | NumberFormatException e) {
                throw new TypeConversionException(
                        "should be a time such as 250ms, 30s or 2m but is " + text);
            }
        }
    }

    @Spec private CommandSpec spec;

    @Option(
            names = "--size",
            paramLabel = "N",
            split = ",",
            description =
                    "Hollow members; may be given again. 54, 108, 215, 430, 860 and 1720 if not"
                            + " said.")
    private List<Integer> sizes = SIZES;

    @Option(
            names = "--real",
            paramLabel = "N",
            description = "Real sidecars in the fleet; 8 if not said.")
    private int real = 8;

    @Option(
            names = "--keepers",
            paramLabel = "N",
            description = "Real keepers: 0, 3 or 5; 3 if not said.")
    private int keepers = 3;

    @Option(
            names = "--per-process",
            paramLabel = "N",
            description = "Hollow members in a process; 215 if not said.")
    private int perProcess = 215;

    @Option(
            names = "--phases",
            paramLabel = "PHASE",
            split = ",",
            description =
                    "Of start, idle, config, day, rack, zone, region, which are played in this"
                            + " order; all if not said.")
    private List<ScaleSetup.Phase> phases = List.of(ScaleSetup.Phase.values());

    @Option(
            names = "--settle",
            paramLabel = "TIME",
            converter = Time.class,
            description = "Between one view and the first figures; 15s if not said.")
    private Duration settle = Duration.ofSeconds(15);

    @Option(
            names = "--idle",
            paramLabel = "TIME",
            converter = Time.class,
            description = "How long nothing happens; 30s if not said.")
    private Duration idle = Duration.ofSeconds(30);

    @Option(
            names = "--day",
            paramLabel = "TIME",
            converter = Time.class,
            description =
                    "What an ordinary day's failures and restarts are pressed into; 60s if not"
                            + " said.")
    private Duration day = Duration.ofSeconds(60);

    @Option(
            names = "--region-cut",
            paramLabel = "TIME",
            converter = Time.class,
            description =
                    "How long the regions are apart, which stands for an hour; 60s if not said.")
    private Duration regionCut = Duration.ofSeconds(60);

    @Option(
            names = "--patience",
            paramLabel = "TIME",
            converter = Time.class,
            description = "How long one view may take; 180s if not said.")
    private Duration patience = Duration.ofSeconds(180);

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "Draws who fails; 1 if not said. Times are real all the same.")
    private long seed = 1;

    @Option(
            names = "--commit",
            paramLabel = "NAME",
            description = "The commit that is measured; asked of git if not said.")
    private String commit;

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            required = true,
            description = "Where results.json, index.html and logs go; written after each size.")
    private Path out;

    @Option(
            names = "--json",
            description = "Prints the results as JSON, and progress on standard error.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        Path root = DeployFile.findRoot();
        List<Integer> all = sizes.stream().distinct().toList();
        ScaleSetup setup =
                new ScaleSetup(
                        root,
                        DeployFile.readRunCommand(root),
                        out.toAbsolutePath().resolve("logs"),
                        real,
                        PLAIN,
                        keepers,
                        perProcess,
                        phases,
                        settle,
                        idle,
                        day,
                        regionCut,
                        patience,
                        seed);
        ScaleRun.check(setup, all);
        ScaleResults results = new ScaleResults(command(), commit);
        PrintWriter terminal = json ? spec.commandLine().getErr() : spec.commandLine().getOut();
        long began = System.nanoTime();
        Consumer<String> tell =
                line -> {
                    terminal.printf(
                            Locale.ROOT,
                            "%5d s  %s%n",
                            TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - began),
                            line);
                    terminal.flush();
                };
        List<String> faults = new ArrayList<>();
        for (int size : all) {
            try {
                ScaleRun.play(setup, size, results, tell);
            } catch (IOException e) {
                faults.add("size " + size + " was not played to its end: " + e.getMessage());
                tell.accept("BROKEN " + faults.get(faults.size() - 1));
            }
            results.write(out);
            ScaleFleetReport.write(out, results, faults);
        }
        PrintWriter output = spec.commandLine().getOut();
        if (json) {
            output.println(new ObjectMapper().readTree(out.resolve("results.json").toFile()));
        } else {
            ScaleFleetReport.lines(results).forEach(output::println);
        }
        output.flush();
        return faults.isEmpty() ? 0 : 1;
    }

    private String command() {
        return "scale fleet "
                + String.join(" ", spec.commandLine().getParseResult().originalArgs());
    }
}
