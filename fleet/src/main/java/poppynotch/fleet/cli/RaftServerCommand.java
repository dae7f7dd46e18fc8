package poppynotch.fleet.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import poppynotch.fleet.raft.RaftServer;
import poppynotch.fleet.raft.RaftServerSettings;

/** Runs a keeper until it is ended. */
@Command(
        name = "keep",
        mixinStandardHelpOptions = true,
        description =
                "Runs a keeper of the fleet's duties until SIGTERM. Without an option it goes on with the"
                        + " log that its folder holds, and refuses to start without one.",
        footerHeading = "%nExamples:%n",
        footer = {"  fleet keep k1.json --found", "  fleet keep k1.json"})
final class RaftServerCommand implements Callable<Integer> {

    /** At most one of these. */
    static final class How {
        @Option(
                names = "--found",
                description = "The very first start of all founders, when none of them has a log.")
        private boolean found;

        @Option(
                names = "--join",
                description =
                        "After the log was lost: as a new keeper, which 'fleet keeper add' has still to let in.")
        private boolean join;
    }

    @Spec private CommandSpec spec;

    @ArgGroup(exclusive = true, multiplicity = "0..1")
    private How how = new How();

    @Parameters(paramLabel = "FILE", description = "The keeper's configuration.")
    private Path file;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        RaftServerSettings config = RaftServerSettings.read(file);
        RaftServer keeper =
                RaftServer.start(
                        config,
                        how.found
                                ? RaftServerSettings.StartMode.FOUND
                                : how.join
                                        ? RaftServerSettings.StartMode.JOIN
                                        : RaftServerSettings.StartMode.CONTINUE,
                        line -> {
                            synchronized (out) {
                                out.println(line);
                                out.flush();
                            }
                        });
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    keeper.stop();
                                    ended.countDown();
                                },
                                "ender"));
        ended.await();
        return 0;
    }
}
