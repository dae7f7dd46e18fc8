package poppynotch.lab;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import poppynotch.lab.experiment.ExperimentErrors;

/** The command line of the lab. */
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

    /** The exit status where the command line or a file is wrong. */
    static final int WRONG = 2;

    /** The version, from the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Lab.class.getPackage().getImplementationVersion();
            return new String[] {"lab " + (version == null ? "(not from a jar)" : version)};
        }
    }

    private Lab() {}

    /** Runs one command and ends with its status. */
    public static void main(String[] args) {
        // Plots are drawn without a screen.
        System.setProperty("java.awt.headless", "true");
        // The keepers' library tells of each step; what comes of it is what the lab tells.
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "off");
        System.exit(commandLine().execute(args));
    }

    /** The command line, with what goes wrong told in plain lines. */
    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Lab());
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionExceptionHandler(
                (failure, command, parsed) -> {
                    if (failure instanceof ExperimentErrors faults) {
                        faults.lines().forEach(command.getErr()::println);
                        return WRONG;
                    }
                    if (failure instanceof IOException
                            || failure instanceof IllegalArgumentException) {
                        command.getErr().println("lab: " + failure.getMessage());
                        return failure instanceof IOException ? 1 : WRONG;
                    }
                    throw failure;
                });
        return line;
    }
}
