package poppynotch.sidecar;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import poppynotch.benchlink.SimulatorAdapter;
import poppynotch.benchlink.WireException;
import sun.misc.Signal;

/** The command line: {@code serve} runs one sidecar, {@code benchlink} the simulator's adapter. */
public final class Main {

    private Main() {}

    /** Runs the program to its end; a failure is one line of output and an exit status above 0. */
    public static void main(String[] args) throws IOException {
        int status;
        if (args.length == 1 && args[0].equals("serve")) {
            status = serve(System.getenv("GW_CONFIG"), System.err);
        } else {
            try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                    FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
                status = run(args, in, out, System.err);
            }
        }
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Runs the adapter on the caller's streams; returns the exit status. */
    public static int run(String[] args, InputStream in, OutputStream out, PrintStream errors)
            throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            errors.println("usage: java -jar poppynotch-sidecar.jar serve|benchlink");
            return 2;
        }
        try {
            new SimulatorAdapter(in, out, errors).run();
            return 0;
        } catch (WireException e) {
            errors.println("poppynotch: " + e.getMessage());
            return 1;
        }
    }

    /** Returns what the platform passes to each process; GW_FD names the clients' listener. */
    private static Sidecar.Inherited inherited() throws IOException {
        String folder = System.getenv("TMPDIR");
        String descriptor = System.getenv("GW_FD");
        ServerSocketChannel listener = null;
        if (descriptor != null && !descriptor.isBlank()) {
            if (!descriptor.equals("0")
                    || !(System.inheritedChannel() instanceof ServerSocketChannel inherited)) {
                throw new IllegalArgumentException(
                        "GW_FD must name descriptor 0, a listening socket, but is " + descriptor);
            }
            listener = inherited;
        }
        return new Sidecar.Inherited(
                folder == null || folder.isBlank() ? null : Path.of(folder), listener);
    }

    /** Starts a sidecar that runs until SIGTERM; returns the exit status of a failed start. */
    static int serve(String configFile, PrintStream errors) {
        try {
            if (configFile == null || configFile.isBlank()) {
                throw new IllegalArgumentException(
                        "GW_CONFIG must name the configuration file but is " + configFile);
            }
            return serve(Path.of(configFile), errors);
        } catch (IOException | RuntimeException e) {
            errors.println(
                    "poppynotch: "
                            + (e.getMessage() == null
                                    ? e.toString()
                                    : e.getMessage().lines().findFirst().orElse("")));
            return 1;
        }
    }

    /**
     * Handles signals from the beginning: one that arrives while the sidecar starts takes effect
     * after the start. The platform sends SIGHUP when the file has changed; unhandled, it would end
     * the program.
     */
    private static int serve(Path file, PrintStream errors) throws IOException {
        CompletableFuture<Sidecar> started = new CompletableFuture<>();
        Signal.handle(
                new Signal("HUP"), signal -> started.thenAccept(sidecar -> sidecar.reload(file)));
        // Halting from the hook after the drain makes the exit status after SIGTERM 0. A failed
        // start exits with its own status.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () ->
                                        started.thenAccept(
                                                        sidecar -> {
                                                            sidecar.drain();
                                                            Runtime.getRuntime().halt(0);
                                                        })
                                                .exceptionally(failed -> null)
                                                .join(),
                                "drain"));
        try {
            started.complete(Sidecar.start(SidecarConfig.read(file), inherited(), errors));
            return 0;
        } catch (IOException | RuntimeException | Error e) {
            started.completeExceptionally(e);
            throw e;
        }
    }
}
