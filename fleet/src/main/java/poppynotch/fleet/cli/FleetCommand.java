package poppynotch.fleet.cli;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line for operators of a fleet. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        versionProvider = FleetCommand.Version.class,
        subcommands = {
            StatusCommand.class,
            MembersCommand.class,
            WatchCommand.class,
            LeasesCommand.class,
            RaftServerCommand.class,
            RolloutCommand.class
        },
        description =
                "Shows what a process of a fleet sees, by way of its operators' door, and runs keepers.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all went well",
            "1:the process gave no answer, or an error",
            "2:the command line is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  fleet status --door 127.0.0.1:9100",
            "  fleet members --door 127.0.0.1:9100",
            "  fleet watch --door 127.0.0.1:9100"
        })
public final class FleetCommand {

    /** The version, from the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = FleetCommand.class.getPackage().getImplementationVersion();
            return new String[] {"fleet " + (version == null ? "(not from a jar)" : version)};
        }
    }

    private FleetCommand() {}

    /** Runs one command and ends with its status. */
    public static void main(String[] args) {
        // The keepers' library tells of each vote; what operators need of it the keeper tells
        // itself.
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.exit(commandLine().execute(args));
    }

    /** The command line, with what goes wrong told in one plain line. */
    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new FleetCommand());
        line.setExecutionExceptionHandler(
                (failure, command, parsed) -> {
                    if (failure instanceof IOException
                            || failure instanceof IllegalArgumentException) {
                        command.getErr().println("fleet: " + failure.getMessage());
                        return failure instanceof IOException ? 1 : 2;
                    }
                    throw failure;
                });
        return line;
    }
}
