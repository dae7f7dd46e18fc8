package poppynotch.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import picocli.CommandLine.TypeConversionException;
import poppynotch.lab.added.CallsOutcome;
import poppynotch.lab.added.CallsPlan;
import poppynotch.lab.added.CallsTrial;
import poppynotch.lab.added.MeasuredSidecar;
import poppynotch.lab.added.ServeProcesses;
import poppynotch.lab.report.CallsReport;

/** Measures what real sidecars add to calls. */
@Command(
        name = "calls",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Sends the same calls straight to a quick server and by a real sidecar process, in"
                    + " turn, on real sockets, and tells what the sidecar adds to them and why. The"
                    + " programs must be built. What else runs on the machine meanwhile shows in"
                    + " the figures.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all calls were served",
            "1:some were not, or it could not be measured",
            "2:the command line is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab scale calls --out calls",
            "  lab scale calls --quick --out quick",
            "  lab scale calls --rate 53 --known 430 --hops 0 --no-knee --pairs 12 --out deep",
            "  lab scale calls --quick --java-options=\"-Xmn8m -Xshare:off\" --out variant"
        })
final class ScaleCallsCommand implements Callable<Integer> {

    private static final List<Double> RATES = List.of(20.0, 53.0, 200.0, 1000.0);
    private static final List<Double> QUICK_RATES = List.of(53.0, 1000.0);
    private static final List<Integer> KNOWN = List.of(10, 100, 430, 860);
    private static final List<Integer> QUICK_KNOWN = List.of(10, 430);
    private static final int QUICK_PAIRS = 2;
    private static final double QUICK_BLOCK_S = 2;

    /** Whether the sidecar is in a fleet. */
    enum Fleet {
        OFF,
        ON
    }

    /** Reads a time into seconds. */
    static final class Seconds implements ITypeConverter<Double> {

        private static final Pattern FORM = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s|m)");

        @Override
        public Double convert(String text) {
            Matcher time = FORM.matcher(text);
            if (!time.matches()) {
                throw new TypeConversionException(
                        "should be a time such as 250ms, 5s or 2m but is " + text);
            }
            double number = Double.parseDouble(time.group(1));
            return switch (time.group(2)) {
                case "ms" -> number / 1000;
                case "m" -> number * 60;
                default -> number;
            };
        }
    }

    /** Starts sidecars in the place of processes, or null. */
    private final MeasuredSidecar.Launcher stead;

    @Spec private CommandSpec spec;

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            required = true,
            description = "Where index.html and results.json go.")
    private Path out;

    @Option(
            names = "--rate",
            paramLabel = "N",
            split = ",",
            description =
                    "Calls a second, at the number known that is the base; 20, 53, 200 and 1000 if"
                            + " not said.")
    private List<Double> rates;

    @Option(
            names = "--known",
            paramLabel = "N",
            split = ",",
            description =
                    "Servers that discovery tells of, at the base rate; 10, 100, 430 and 860 if not"
                            + " said. The base is 53 calls a second and 430 servers where they are"
                            + " there, else the last.")
    private List<Integer> known;

    @Option(
            names = "--fleet",
            paramLabel = "off|on",
            split = ",",
            description =
                    "Whether the sidecar is in a fleet; of two the second one is measured at the"
                            + " base alone. off,on if not said.")
    private List<Fleet> fleets = List.of(Fleet.OFF, Fleet.ON);

    @Option(
            names = "--members",
            paramLabel = "N",
            description = "Idle sidecars beside it in the fleet; 5 if not said.")
    private int members = 5;

    @Option(
            names = "--hops",
            paramLabel = "N",
            description =
                    "Sidecars in the chain, each with a server behind it; 19 if not said, 0 for no"
                            + " chain.")
    private int hops = 19;

    @Option(
            names = "--block",
            paramLabel = "TIME",
            converter = Seconds.class,
            description =
                    "How long calls go one way before they go the other; 5s if not said. A 99th"
                            + " percentile needs 100 calls in each block, p99.9 needs 1,000.")
    private Double block;

    @Option(
            names = "--pairs",
            paramLabel = "N",
            description =
                    "How often both ways are measured; 3 if not said. More make intervals"
                            + " narrower.")
    private Integer pairs;

    @Option(
            names = "--starts",
            paramLabel = "N",
            description =
                    "How often a sidecar is started for the figures of starts and first calls; 3 if"
                            + " not said.")
    private Integer starts;

    @Option(names = "--no-knee", description = "Does not look for the highest rate that holds.")
    private boolean noKnee;

    @Option(
            names = "--bound",
            paramLabel = "TIME",
            converter = Seconds.class,
            description =
                    "A rate holds while all calls are served and the 99th percentile added is"
                            + " within this; 10ms if not said.")
    private double bound = 0.01;

    @Option(
            names = "--target",
            paramLabel = "TIME",
            converter = Seconds.class,
            description =
                    "A call is slow where it takes more than this above the 99th percentile without"
                            + " a sidecar; 0.96ms if not said.")
    private double target = 0.00096;

    @Option(
            names = "--replicas",
            paramLabel = "N",
            description =
                    "How many sidecars call the same servers, as the settings tell the sidecar; 10"
                            + " if not said.")
    private int replicas = 10;

    @Option(
            names = "--java-options",
            paramLabel = "OPTIONS",
            description =
                    "Put before the -jar of the line that starts a sidecar, to compare variants.")
    private String javaOptions = "";

    @Option(
            names = "--sidecar",
            paramLabel = "COMMAND",
            description = "Starts a sidecar; else the deploy file's run.")
    private String sidecar;

    @Option(
            names = "--logs",
            paramLabel = "FOLDER",
            description = "Keeps the sidecars' logs, and those of their pauses.")
    private Path logs;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "Draws calls and the order of ways; 1 if not" + " said.")
    private long seed = 1;

    @Option(
            names = "--commit",
            paramLabel = "ID",
            description = "The commit that is measured; git is asked if not said.")
    private String commit;

    @Option(
            names = "--quick",
            description =
                    "Some 90 s: two rates, two numbers known, short blocks, one start, where not"
                            + " said otherwise.")
    private boolean quick;

    /** Measures real processes. */
    ScaleCallsCommand() {
        this(null);
    }

    /** Measures what a launcher starts. */
    ScaleCallsCommand(MeasuredSidecar.Launcher stead) {
        this.stead = stead;
    }

    @Override
    public Integer call() throws IOException {
        CallsPlan plan =
                new CallsPlan(
                        rates != null ? rates : quick ? QUICK_RATES : RATES,
                        known != null ? known : quick ? QUICK_KNOWN : KNOWN,
                        fleets.stream().map(fleet -> fleet == Fleet.ON).toList(),
                        members,
                        hops,
                        block != null ? block : quick ? QUICK_BLOCK_S : 5,
                        pairs != null ? pairs : quick ? QUICK_PAIRS : 3,
                        starts != null ? starts : quick ? 1 : 3,
                        !noKnee,
                        bound * 1000,
                        target * 1000,
                        replicas,
                        seed);
        PrintWriter terminal = spec.commandLine().getOut();
        CallsOutcome outcome =
                play(
                        plan,
                        line -> {
                            terminal.println("  " + line);
                            terminal.flush();
                        });
        String command =
                "scale calls "
                        + String.join(" ", spec.commandLine().getParseResult().originalArgs());
        CallsReport.write(out, outcome, command);
        CallsReport.results(outcome, command, commit).write(out);
        tell(terminal, outcome);
        return outcome.unservedCalls() == 0 ? 0 : 1;
    }

    private CallsOutcome play(CallsPlan plan, Consumer<String> progress) throws IOException {
        if (stead != null) {
            return CallsTrial.play(plan, stead, progress);
        }
        Path root = DeployFile.findRoot();
        try (ServeProcesses processes =
                new ServeProcesses(
                        sidecar != null ? sidecar : DeployFile.readRunCommand(root),
                        javaOptions,
                        root,
                        logs)) {
            return CallsTrial.play(plan, processes, progress);
        }
    }

    private void tell(PrintWriter terminal, CallsOutcome outcome) {
        terminal.println("| figure | value | unit |");
        terminal.println("| --- | --- | --- |");
        outcome.figures()
                .forEach(
                        figure ->
                                terminal.printf(
                                        Locale.ROOT,
                                        "| %s | %s | %s |%n",
                                        figure.key(),
                                        figure.value().text(),
                                        figure.unit()));
        outcome.notes().forEach(terminal::println);
        if (outcome.unservedCalls() > 0) {
            terminal.printf(Locale.ROOT, "%d calls were not served%n", outcome.unservedCalls());
        }
        terminal.println("see " + out.resolve("index.html"));
        terminal.flush();
    }
}
