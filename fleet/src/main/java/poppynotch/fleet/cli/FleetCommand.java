package poppynotch.fleet.cli;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line for operators of a fleet, and the main class of its jar. */
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
                "Shows the state of a fleet as seen by one process, through the process's admin"
                    + " server; runs keepers (Raft servers) and conductors (rollout controllers).",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success",
            "1:the process did not respond, or responded with an error",
            "2:invalid command line"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  fleet status --door 127.0.0.1:9100",
            "  fleet members --door 127.0.0.1:9100",
            "  fleet watch --door 127.0.0.1:9100"
        })
public final class FleetCommand {

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    /** The version of the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = FleetCommand.class.getPackage().getImplementationVersion();
            return new String[] {"fleet " + (version == null ? "(not from a jar)" : version)};
        }
    }

    private FleetCommand() {}

    /** Runs one command and exits with its status. */
    public static void main(String[] args) {
        // MicroRaft logs each vote; the Raft server itself logs the events relevant to operators.
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.exit(commandLine().execute(args));
    }

    /** Creates the command line, which prints expected failures as one line, not a stack trace. */
    static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new FleetCommand());
        commandLine.setExecutionExceptionHandler(
                (failure, command, parsed) -> {
                    boolean usage = failure instanceof IllegalArgumentException;
                    if (!usage && !(failure instanceof IOException)) {
                        throw failure;
                    }
                    command.getErr().println("fleet: " + failure.getMessage());
                    return usage ? EXIT_USAGE : EXIT_FAILED;
                });
        return commandLine;
    }
}
