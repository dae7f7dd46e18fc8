package poppynotch.app;

import com.beust.jcommander.Parameter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.settings.NodeSettings;
import poppynotch.settings.SettingsResult;
import sun.misc.Signal;

/** A subcommand that serves until the platform stops it. */
abstract class RoleCommand implements Main.Command {

    private static final Logger LOG = LoggerFactory.getLogger(RoleCommand.class);

    @Parameter(names = "--settings", description = "the settings file; else the one that the variable "
        + NodeSettings.FILE_VARIABLE + " names")
    private String file;

    /** What is running. */
    interface Running {
        /** Ends it in an orderly way. */
        void shutDown() throws InterruptedException;
    }

    abstract Running start(NodeSettings settings, EventLoopGroup group) throws IOException;

    @Override
    public int run() throws IOException, InterruptedException {
        String named = file != null ? file : System.getenv(NodeSettings.FILE_VARIABLE);
        if (named == null) {
            System.err.println("poppynotch: no settings: give --settings or set " + NodeSettings.FILE_VARIABLE);
            return Main.EXIT_USAGE;
        }
        SettingsResult read = NodeSettings.read(Path.of(named));
        if (read instanceof SettingsResult.Bad bad) {
            System.err.println("poppynotch: " + bad.reason());
            return Main.EXIT_USAGE;
        }
        java.util.concurrent.CountDownLatch stopped = new java.util.concurrent.CountDownLatch(1);
        Signal.handle(new Signal("TERM"), signal -> stopped.countDown());
        Signal.handle(new Signal("INT"), signal -> stopped.countDown());
        Signal.handle(new Signal("HUP"), signal -> LOG.info("the settings are read at the next start"));
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop", true),
            NioIoHandler.newFactory());
        Running running = start(((SettingsResult.Good) read).settings(), group);
        stopped.await();
        running.shutDown();
        return 0;
    }
}
