package poppynotch.scale;

import jakarta.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import poppynotch.config.ConfigReader;
import poppynotch.settings.HostPort;

/** Real core processes, and real edges if wanted, on loopback addresses. */
final class CoreProcesses implements AutoCloseable {

    private static final int TIMEOUT_MS = 3000;
    private static final double KB_PER_MB = 1000;

    private final Path folder;
    private final int peerPort;
    private final List<HostPort> controls = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();

    CoreProcesses(Path folder, int count, int controlPort, int peerPort, int tolerated)
            throws IOException {
        this.folder = folder;
        this.peerPort = peerPort;
        for (int i = 1; i <= count; i++) {
            controls.add(new HostPort("127.78.1." + i, controlPort));
        }
        for (int i = 0; i < count; i++) {
            Path data = folder.resolve("core-" + i);
            Files.createDirectories(data);
            Files.writeString(settingsFile(i), settings(i, data, tolerated));
            processes.add(start(i));
        }
    }

    private Path settingsFile(int core) {
        return folder.resolve("core-" + core + ".toml");
    }

    private String settings(int core, Path data, int tolerated) {
        return String.format(
                Locale.ROOT,
                "NodeName = \"core-%d\"%nIp = \"%s\"%nZone = \"z\"%nEphemeralPorts = [%d,%d]%nSeeds"
                        + " = [%s]%nBootstrap = true%nHeartbeatMs = 1200%nDataDir ="
                        + " \"%s\"%n[Bind]%nControl = \"%s\"%n[FaultTolerance]%nMachines = %d%n",
                core,
                controls.get(core).host(),
                peerPort,
                peerPort,
                seeds(),
                data,
                controls.get(core),
                tolerated);
    }

    private String seeds() {
        List<String> quoted =
                controls.subList(0, Math.min(3, controls.size())).stream()
                        .map(control -> "\"" + control + "\"")
                        .toList();
        return String.join(",", quoted);
    }

    private Process start(int core) throws IOException {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        return new ProcessBuilder(
                        java.toString(),
                        "-Xmx64m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "poppynotch.app.Main",
                        "control-plane",
                        "--settings",
                        settingsFile(core).toString())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("core-" + core + ".log").toFile())
                .start();
    }

    List<HostPort> controls() {
        return controls;
    }

    /** Processor time that each has used so far, in s. */
    List<Double> processorSeconds() {
        return processes.stream()
                .map(
                        process ->
                                process.toHandle()
                                                .info()
                                                .totalCpuDuration()
                                                .orElse(Duration.ZERO)
                                                .toNanos()
                                        / 1e9)
                .toList();
    }

    /** Memory that each has in use, in MB. */
    List<Double> memoryMb() throws IOException {
        List<Double> all = new ArrayList<>();
        for (Process process : processes) {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    all.add(Double.parseDouble(line.replaceAll("[^0-9]", "")) / KB_PER_MB);
                }
            }
        }
        return all;
    }

    /** What a core process says of itself. */
    JsonObject status(int core) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection)
                        URI.create("http://" + controls.get(core) + "/poppynotch/status")
                                .toURL()
                                .openConnection();
        connection.setConnectTimeout(TIMEOUT_MS);
        connection.setReadTimeout(TIMEOUT_MS);
        try (InputStream in = connection.getInputStream()) {
            return ConfigReader.parse(in.readAllBytes());
        }
    }

    /** Sends a configuration, to one core process after the other until one takes it. */
    void put(long generation, long buildsOn, String json) throws IOException, InterruptedException {
        for (int tries = 0; tries < 100; tries++) {
            for (HostPort control : controls) {
                if (putOnce(control, buildsOn, json)) {
                    return;
                }
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IOException("version " + generation + " was not taken");
    }

    private static boolean putOnce(HostPort control, long buildsOn, String json) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection)
                            URI.create("http://" + control + "/poppynotch/config")
                                    .toURL()
                                    .openConnection();
            connection.setRequestMethod("PUT");
            connection.setRequestProperty("If-Match", String.valueOf(buildsOn));
            connection.setConnectTimeout(500);
            connection.setReadTimeout(TIMEOUT_MS);
            connection.setDoOutput(true);
            connection.getOutputStream().write(json.getBytes(StandardCharsets.UTF_8));
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Kills one at once. */
    void kill(int core) throws InterruptedException {
        processes.get(core).destroyForcibly().waitFor();
    }

    void restart(int core) throws IOException {
        processes.set(core, start(core));
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
    }
}
