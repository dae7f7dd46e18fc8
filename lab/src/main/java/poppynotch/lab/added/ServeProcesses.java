package poppynotch.lab.added;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.stream.Stream;

/**
 * Launches real sidecar processes and waits until they are ready. {@link #close} kills them all; so
 * does a shutdown hook, when this process is ended by a signal.
 *
 * <p>For one thread, beside that hook.
 */
public final class ServeProcesses implements MeasuredSidecar.Launcher, AutoCloseable {

    private static final long START_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Pause between checks for readiness, by which a start may seem longer than it is. */
    private static final int POLL_MS = 5;

    private static final int HTTP_TIMEOUT_MS = 1000;
    private static final String JAR = " -jar ";

    private final String command;
    private final String javaOptions;
    private final Path root;
    private final Path scratch;
    private final Path logs;
    private final List<Process> processes = new ArrayList<>();
    private final Thread shutdownHook = new Thread(this::endAll, "ender");
    private boolean ended;
    private int started;

    /**
     * Without any process yet.
     *
     * @param command a line for the shell that becomes a sidecar
     * @param javaOptions are put before {@code -jar}, so that they override those of the line
     * @param root the folder where it runs
     * @param logs the folder for the processes' logs, or null to remove them at the end
     * @throws IllegalArgumentException if the line has no {@code -jar}
     */
    public ServeProcesses(String command, String javaOptions, Path root, Path logs)
            throws IOException {
        if (!command.contains(JAR)) {
            throw new IllegalArgumentException(
                    "the line that starts a sidecar has no -jar: " + command);
        }
        this.command = command;
        this.javaOptions = javaOptions;
        this.root = root;
        scratch = Files.createTempDirectory("lab-calls");
        this.logs = logs == null ? scratch : Files.createDirectories(logs);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    @Override
    public MeasuredSidecar start(ObjectNode config, boolean observed) throws IOException {
        String name = config.get("name").asText() + "-" + started++;
        Path file = Files.writeString(scratch.resolve(name + ".json"), config.toString());
        Path pauses = logs.toAbsolutePath().resolve(name + ".pauses");
        Files.deleteIfExists(pauses);
        Path log = logs.resolve(name + ".log");
        String options = (observed ? PauseLog.option(pauses) + " " : "") + javaOptions;
        ProcessBuilder builder = processBuilder(config, name, options, file, log);
        long startNanos = System.nanoTime();
        Process process = startRegistered(builder);
        InetSocketAddress address = address(config.get("listen").asText());
        awaitReady(process, address, startNanos, log);
        double readySeconds = (System.nanoTime() - startNanos) / 1e9;
        return new RunningSidecar(process, address, readySeconds, pauses);
    }

    private ProcessBuilder processBuilder(
            ObjectNode config, String name, String options, Path file, Path log)
            throws IOException {
        String line = command.replaceFirst(JAR, Matcher.quoteReplacement(" " + options + JAR));
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", line)
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile());
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_LISTEN", config.get("listen").asText());
        builder.environment().put("GW_DISCOVERY", config.get("discovery").asText());
        builder.environment()
                .put("TMPDIR", Files.createDirectories(scratch.resolve(name + ".tmp")).toString());
        return builder;
    }

    private static void awaitReady(
            Process process, InetSocketAddress address, long startNanos, Path log)
            throws IOException {
        while (!isReady(address)) {
            if (!process.isAlive()) {
                throw new IOException("a sidecar ended before it was ready: " + lastLine(log));
            }
            if (System.nanoTime() - startNanos > START_TIMEOUT_NANOS) {
                process.destroyForcibly();
                throw new IOException("a sidecar was not ready after 60 s: " + lastLine(log));
            }
            awaitNextPoll();
        }
    }

    /** Starts a process and registers it in one step, so that the shutdown hook misses none. */
    private synchronized Process startRegistered(ProcessBuilder builder) throws IOException {
        if (ended) {
            throw new IOException("all is to end");
        }
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    private static void awaitNextPoll() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static InetSocketAddress address(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                InetAddress.getByName(text.substring(0, colon)),
                Integer.parseInt(text.substring(colon + 1)));
    }

    private static boolean isReady(InetSocketAddress address) {
        try {
            // A plain connection first: the HTTP client's own retries would blur the time.
            try (Socket socket = new Socket()) {
                socket.connect(address, HTTP_TIMEOUT_MS);
            }
            HttpURLConnection request =
                    (HttpURLConnection)
                            URI.create(
                                            "http://"
                                                    + address.getAddress().getHostAddress()
                                                    + ":"
                                                    + address.getPort()
                                                    + "/health/ready")
                                    .toURL()
                                    .openConnection();
            request.setConnectTimeout(HTTP_TIMEOUT_MS);
            request.setReadTimeout(HTTP_TIMEOUT_MS);
            request.setRequestProperty("Connection", "close");
            try {
                return request.getResponseCode() == HttpURLConnection.HTTP_OK;
            } finally {
                request.disconnect();
            }
        } catch (IOException e) {
            return false;
        }
    }

    private static String lastLine(Path log) throws IOException {
        List<String> lines = Files.readAllLines(log, StandardCharsets.UTF_8);
        return lines.isEmpty() ? "it said nothing" : lines.get(lines.size() - 1);
    }

    private synchronized void endAll() {
        ended = true;
        processes.forEach(Process::destroyForcibly);
        try (Stream<Path> files = Files.walk(scratch)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            // It is in the system's folder for such files, and no figure depends on its end.
        }
    }

    private synchronized void forget(Process process) {
        processes.remove(process);
    }

    /** Kills all processes and removes their files, other than logs in a folder of the caller. */
    @Override
    public void close() {
        endAll();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }

    /** One of the processes. Closing it kills it and waits for its end. */
    private final class RunningSidecar implements MeasuredSidecar {
        private final Process process;
        private final InetSocketAddress address;
        private final double readySeconds;
        private final Path pauses;

        RunningSidecar(
                Process process, InetSocketAddress address, double readySeconds, Path pauses) {
            this.process = process;
            this.address = address;
            this.readySeconds = readySeconds;
            this.pauses = pauses;
        }

        @Override
        public InetSocketAddress address() {
            return address;
        }

        @Override
        public double readySeconds() {
            return readySeconds;
        }

        @Override
        public double residentMb() {
            try (Stream<String> lines =
                    Files.lines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
                return lines.filter(line -> line.startsWith("VmRSS:"))
                                .map(line -> line.replaceAll("\\D", ""))
                                .mapToDouble(Double::parseDouble)
                                .findFirst()
                                .orElse(0)
                        / 1024;
            } catch (IOException | UncheckedIOException e) {
                return 0;
            }
        }

        @Override
        public ThreadTimes threads() {
            return ThreadTimes.of(process.pid());
        }

        @Override
        public List<PauseLog.Pause> pauses() throws IOException {
            return PauseLog.read(pauses);
        }

        @Override
        public boolean isAlive() {
            return process.isAlive();
        }

        @Override
        public void close() {
            process.destroyForcibly();
            process.onExit().join();
            forget(process);
        }
    }
}
