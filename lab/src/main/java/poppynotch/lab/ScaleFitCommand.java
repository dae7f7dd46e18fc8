package poppynotch.lab;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import poppynotch.lab.capacity.ExtrapolatedFigures;
import poppynotch.lab.capacity.SizeFit;
import poppynotch.lab.report.ScaleResults;

/** Works out figures at sizes that were not measured. */
@Command(
        name = "fit",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Fits each figure that runs of lab scale measured at three sizes or more against"
                        + " the size, and works it out for the planned size and beyond, with 95 %%"
                        + " intervals.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:they were worked out",
            "1:the result could not be written",
            "2:the command line is wrong, a file holds no results of lab scale, or none can be"
                    + " fitted"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab scale fit docs/capacity/fleet.json --out docs/capacity/worked.json",
            "  lab scale fit fleet.json calls.json cut.json --out worked.json --plan 430 --beyond"
                    + " 860,4300"
        })
final class ScaleFitCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(
            arity = "1..*",
            paramLabel = "RESULTS",
            description = "Files of results, or folders with a results.json.")
    private List<Path> files = new ArrayList<>();

    @Option(
            names = "--out",
            paramLabel = "FILE",
            required = true,
            description = "Where the figures go that were worked out.")
    private Path out;

    @Option(names = "--plan", paramLabel = "N", description = "The planned size; 430 if not said.")
    private int plan = 430;

    @Option(
            names = "--beyond",
            paramLabel = "N",
            split = ",",
            description = "Further sizes; twice and ten times the planned one if not said.")
    private List<Integer> beyond = new ArrayList<>();

    @Option(
            names = "--commit",
            paramLabel = "COMMIT",
            description = "The commit of this command; git is asked if not said.")
    private String commit;

    @Override
    public Integer call() throws Exception {
        TreeSet<Integer> sizes =
                new TreeSet<>(beyond.isEmpty() ? List.of(2 * plan, 10 * plan) : beyond);
        sizes.add(plan);
        if (sizes.first() < 1) {
            throw new IllegalArgumentException("--plan and --beyond must be 1 or more");
        }
        if (Files.isDirectory(out)) {
            throw new IllegalArgumentException("--out must be a file, and " + out + " is a folder");
        }
        Map<Path, ScaleResults> measured = new LinkedHashMap<>();
        for (Path file : files) {
            if (measured.put(file, ScaleResults.read(file)) != null) {
                throw new IllegalArgumentException(file + " is told twice");
            }
        }
        String told =
                "scale fit "
                        + files.stream().map(Path::toString).collect(Collectors.joining(" "))
                        + " --plan "
                        + plan
                        + " --beyond "
                        + sizes.tailSet(plan, false).stream()
                                .map(String::valueOf)
                                .collect(Collectors.joining(","));
        ScaleResults worked = new ScaleResults(told, commit);
        PrintWriter terminal = spec.commandLine().getOut();
        for (ExtrapolatedFigures.FittedFigure fitted : ExtrapolatedFigures.fit(measured)) {
            sizes.forEach(size -> worked.add(ExtrapolatedFigures.extrapolate(fitted, size)));
            tell(terminal, fitted);
        }
        if (out.toAbsolutePath().getParent() != null) {
            Files.createDirectories(out.toAbsolutePath().getParent());
        }
        worked.writeFile(out);
        terminal.flush();
        return 0;
    }

    private void tell(PrintWriter terminal, ExtrapolatedFigures.FittedFigure fitted) {
        SizeFit.Estimate slope = fitted.fit().slope();
        SizeFit.Estimate at = fitted.fit().at(plan);
        terminal.printf(
                Locale.ROOT,
                "%-40s %s, %s, b = %.4g [%.4g, %.4g]; at %d: %.4g [%.4g, %.4g] %s%n",
                fitted.key(),
                fitted.fit().model().formula(),
                fitted.fit().trend().name().toLowerCase(Locale.ROOT),
                slope.value(),
                slope.low(),
                slope.high(),
                plan,
                at.value(),
                at.low(),
                at.high(),
                fitted.unit());
    }
}
