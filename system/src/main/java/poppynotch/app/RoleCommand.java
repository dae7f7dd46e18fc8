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

/** A subcommand that serves until the platform stops it. */
abstract class RoleCommand implements Main.Command {

    @Parameter(
            names = "--settings",
            description =
                    "the settings file; else the one that the variable "
                            + ProcessSettings.FILE_VARIABLE
                            + " names")
    private String file;

    /** What is running. */
    interface Running {
        /** The settings file has changed. */
        void reload(ProcessSettings changed);

        /** Ends it in an orderly way. */
        void shutDown() throws InterruptedException;
    }

    abstract Running start(ProcessSettings settings, EventLoopGroup group) throws IOException;

    @Override
    public int run() throws IOException, InterruptedException {
        String named = file != null ? file : System.getenv(ProcessSettings.FILE_VARIABLE);
        if (named == null) {
            System.err.println(
                    "poppynotch: no settings: give --settings or set "
                            + ProcessSettings.FILE_VARIABLE);
            return Main.EXIT_USAGE;
        }
        Path path = Path.of(named);
        SettingsResult read = ProcessSettings.read(path);
        if (read instanceof SettingsResult.Bad bad) {
            System.err.println("poppynotch: " + bad.reason());
            return Main.EXIT_USAGE;
        }
        CountDownLatch stopped = new CountDownLatch(1);
        Signal.handle(new Signal("TERM"), signal -> stopped.countDown());
        Signal.handle(new Signal("INT"), signal -> stopped.countDown());
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("loop", true), NioIoHandler.newFactory());
        Running running = start(((SettingsResult.Good) read).settings(), group);
        SettingsWatch watch = new SettingsWatch(path, running::reload);
        Signal.handle(new Signal("HUP"), signal -> watch.read());
        watch.start();
        stopped.await();
        running.shutDown();
        return 0;
    }
}
