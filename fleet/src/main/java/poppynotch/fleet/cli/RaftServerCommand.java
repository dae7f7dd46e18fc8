package poppynotch.fleet.cli;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import poppynotch.fleet.raft.RaftServer;
import poppynotch.fleet.raft.RaftServerSettings;

/** The subcommand {@code keep}: runs a Raft server until the process is terminated. */
@Command(
        name = "keep",
        mixinStandardHelpOptions = true,
        description =
                "Runs a keeper (Raft server) of the fleet's duties until SIGTERM. Without an option"
                        + " it continues with the log in its folder, and fails if there is none.",
        footerHeading = "%nExamples:%n",
        footer = {"  fleet keep k1.json --found", "  fleet keep k1.json"})
final class RaftServerCommand extends ServerProcessCommand {

    /** The options of the start mode, of which at most one may be given. */
    static final class StartOptions {
        @Option(
                names = "--found",
                description = "Founds the group: the first start of all founders, without a log.")
        private boolean found;

        @Option(
                names = "--join",
                description =
                        "After the log was lost: starts as a new keeper,"
                                + " which 'fleet duties add-keeper' must add to the group.")
        private boolean join;

        RaftServerSettings.StartMode mode() {
            if (found) {
                return RaftServerSettings.StartMode.FOUND;
            }
            return join ? RaftServerSettings.StartMode.JOIN : RaftServerSettings.StartMode.CONTINUE;
        }
    }

    @ArgGroup(exclusive = true, multiplicity = "0..1")
    private StartOptions startOptions = new StartOptions();

    @Parameters(paramLabel = "FILE", description = "The keeper's JSON configuration file.")
    private Path settingsFile;

    @Override
    public Integer call() throws IOException, InterruptedException {
        RaftServerSettings settings = RaftServerSettings.read(settingsFile);
        RaftServer server = RaftServer.start(settings, startOptions.mode(), logPrinter());
        return awaitShutdown(server::stop);
    }
}
