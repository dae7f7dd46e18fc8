package poppynotch.lab;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Measures what a fleet of the planned size, and of others, costs and takes. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        subcommands = {
            ScaleFleetCommand.class,
            ScaleCallsCommand.class,
            ScaleCutCommand.class,
            ScaleFitCommand.class,
            ScaleCompareCommand.class
        },
        description =
                "Measures at several sizes what control costs and how long it takes, and writes"
                        + " figures and a page of plots.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab scale fleet --size 54 --size 108 --out before",
            "  lab scale calls --quick --out calls",
            "  lab scale cut --size 108,215,430 --out cut",
            "  lab scale compare before after"
        })
final class ScaleCommand implements Runnable {

    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(),
                "Which of " + String.join(", ", spec.subcommands().keySet()) + "?");
    }
}
