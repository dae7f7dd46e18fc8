package poppynotch.app;

import com.beust.jcommander.Parameter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import poppynotch.settings.ProcessSettings;
import poppynotch.settings.SettingsResult;
import sun.misc.Signal;

/**
 * A subcommand that runs a server until the process receives SIGTERM or SIGINT. SIGHUP reloads the
 * settings file, as does a change of the file.
 */
abstract class ServerCommand implements Main.Command {

    @Parameter(
            names = "--settings",
            description =
                    "the settings file; by default the one that the variable "
                            + ProcessSettings.FILE_VARIABLE
                            + " names")
    private String settingsFile;

    /** A server that has started. */
    interface RunningServer {
        /** Applies changed settings. */
        void reload(ProcessSettings settings);

        /** Shuts down gracefully; returns once that is complete. */
        void shutDown() throws InterruptedException;
    }

    /** Starts the server on an event loop group that runs until the process ends. */
    abstract RunningServer start(ProcessSettings settings, EventLoopGroup group) throws IOException;

    @Override
    public int run() throws IOException, InterruptedException {
        String file =
                settingsFile != null ? settingsFile : System.getenv(ProcessSettings.FILE_VARIABLE);
        if (file == null) {
            System.err.println(
                    "poppynotch: no settings: give --settings or set "
                            + ProcessSettings.FILE_VARIABLE);
            return Main.EXIT_USAGE;
        }
        SettingsResult result = ProcessSettings.read(Path.of(file));
        if (result instanceof SettingsResult.Invalid invalid) {
            System.err.println("poppynotch: " + invalid.reason());
            return Main.EXIT_USAGE;
        }
        serveUntilStopped(Path.of(file), ((SettingsResult.Valid) result).settings());
        return 0;
    }

    private void serveUntilStopped(Path file, ProcessSettings settings)
            throws IOException, InterruptedException {
        CountDownLatch stopRequested = new CountDownLatch(1);
        Signal.handle(new Signal("TERM"), signal -> stopRequested.countDown());
        Signal.handle(new Signal("INT"), signal -> stopRequested.countDown());
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("loop", true), NioIoHandler.newFactory());
        RunningServer server = start(settings, group);
        SettingsFileWatcher watcher = new SettingsFileWatcher(file, server::reload);
        Signal.handle(new Signal("HUP"), signal -> watcher.reload());
        watcher.start();
        stopRequested.await();
        server.shutDown();
    }
}
