package poppynotch.fleet.cli;

import java.io.PrintWriter;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

/** Base class of subcommands that run a server until the process is terminated by a signal. */
abstract class ServerProcessCommand extends FleetSubcommand {

    /** Prints log lines to the command's output; thread-safe. */
    final Consumer<String> logPrinter() {
        PrintWriter out = out();
        return line -> {
            synchronized (out) {
                out.println(line);
                out.flush();
            }
        };
    }

    /**
     * Waits for SIGTERM or SIGINT, and stops the server before the process exits.
     *
     * @return the exit status 0
     */
    static Integer awaitShutdown(Runnable stop) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        Thread shutdownHook =
                new Thread(
                        () -> {
                            stop.run();
                            stopped.countDown();
                        },
                        "ender");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        stopped.await();
        return 0;
    }
}
