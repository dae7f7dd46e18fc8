package poppynotch.lab;

import java.io.IOException;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import poppynotch.lab.experiment.ExperimentErrors;

/**
 * The command line of the lab: the parent of its subcommands, and the entry point of its process.
 */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        versionProvider = Lab.Version.class,
        subcommands = {
            RunCommand.class,
            SweepCommand.class,
            CompareCommand.class,
            ListCommand.class,
            ExploreCommand.class,
            MembersCommand.class,
            DrillCommand.class,
            SharingCommand.class,
            AllowancesCommand.class,
            ReleasesCommand.class,
            HandoversCommand.class,
            ScaleCommand.class
        },
        description =
                "Plays experiments against sidecars in a world of the lab's own, and reports how"
                        + " they went.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all went well",
            "1:a rule was broken, or a day could not be played",
            "2:the command line or an experiment's file is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab list",
            "  lab run calm",
            "  lab run calm --mode socket --out report",
            "  lab run my.yaml --seed 7 --set world.clients.load=0.8"
        })
public final class Lab {

    /** The exit status where the command line or an experiment's file is wrong. */
    static final int USAGE_ERROR_STATUS = 2;

    /** Reads the version from the manifest of the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Lab.class.getPackage().getImplementationVersion();
            return new String[] {"lab " + (version == null ? "(not from a jar)" : version)};
        }
    }

    private Lab() {}

    /** Runs one command and exits the process with its status. */
    public static void main(String[] args) {
        // Plots are drawn without a display.
        System.setProperty("java.awt.headless", "true");
        // The Raft library logs each of its steps; the lab prints the outcome only.
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "off");
        System.exit(commandLine().execute(args));
    }

    /**
     * Builds the command line. Errors of files and arguments are printed in plain lines without a
     * stack trace.
     */
    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Lab());
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionExceptionHandler(
                (failure, command, parsed) -> handleFailure(failure, command.getErr()));
        return line;
    }

    private static int handleFailure(Exception failure, PrintWriter err) throws Exception {
        if (failure instanceof ExperimentErrors errors) {
            errors.lines().forEach(err::println);
            return USAGE_ERROR_STATUS;
        }
        if (failure instanceof IOException || failure instanceof IllegalArgumentException) {
            err.println("lab: " + failure.getMessage());
            return failure instanceof IOException ? 1 : USAGE_ERROR_STATUS;
        }
        throw failure;
    }
}
