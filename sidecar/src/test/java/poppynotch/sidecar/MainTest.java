package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program as a process: its start, its signals and its end. */
@Timeout(60)
class MainTest {

    static final String CONFIG =
            """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
            "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
            "known":{"version":0,"full":true,"servers":[]},
            "settings":{"azs":["a"],"models":[],"membership-mode":"on_request",
            "classes":[{"name":"read","effect":"repeatable","slo-ms":500,"hard-limit-ms":1000}],
            "limits":{"dial-timeout-ms":200,"idle-close-ms":15000,"try-limit":3},"rules":{}}}""";

    private static final int READ_TIMEOUT_MS = 20_000;

    @TempDir Path folder;

    private Process serve(String config) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "poppynotch.sidecar.Main",
                        "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        return builder.redirectErrorStream(true).start();
    }

    /** Guards against a planned restart that counts as a crash: after SIGTERM it exits with 0. */
    @Test
    void exitsCleanlyOnSigterm() throws Exception {
        Process process = serve(CONFIG);
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "warm after");
            // This is SIGTERM; unlike Process.destroy it leaves the log readable.
            process.toHandle().destroy();
            assertEquals(0, process.waitFor());
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against SIGHUP ending the process, and against keeping discovery's old address. */
    @Test
    void sighupReloadsDiscoveryAddressAndIgnoresInvalidFile() throws Exception {
        try (ServerSocket moved = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            moved.setSoTimeout(READ_TIMEOUT_MS);
            Process process = serve(CONFIG);
            try (BufferedReader log = process.inputReader()) {
                awaitLine(log, "warm after");
                Files.writeString(folder.resolve("config.json"), "{");
                sendSighup(process);
                awaitLine(log, "the new configuration is not taken up");
                Files.writeString(
                        folder.resolve("config.json"),
                        CONFIG.replace(
                                "127.0.0.1:1\"", "127.0.0.1:" + moved.getLocalPort() + "\""));
                sendSighup(process);
                try (Socket watch = moved.accept()) {
                    watch.setSoTimeout(READ_TIMEOUT_MS);
                    String call = "GET /registry/instances?index=0&wait=";
                    assertEquals(
                            call,
                            new String(
                                    watch.getInputStream().readNBytes(call.length()),
                                    StandardCharsets.US_ASCII));
                }
                process.toHandle().destroy();
                assertEquals(0, process.waitFor());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards against SIGHUP ending a process that is still starting. */
    @Test
    void sighupDuringStartTakesEffectAfterStart() throws Exception {
        Path file = folder.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "poppynotch.sidecar.Main",
                        "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        Process process = builder.redirectErrorStream(true).start();
        try (BufferedReader log = process.inputReader()) {
            // Opening it for writing returns once the process has opened it for reading: it is
            // starting then.
            try (OutputStream pipe = Files.newOutputStream(file)) {
                sendSighup(process);
                pipe.write(CONFIG.getBytes(StandardCharsets.UTF_8));
            }
            // It has read the file, and reads it again for the SIGHUP.
            awaitLine(log, "Sidecar listening: clientAddress=");
            try (OutputStream again = Files.newOutputStream(file)) {
                again.write(CONFIG.getBytes(StandardCharsets.UTF_8));
            }
            awaitLine(log, "a new configuration is taken up");
            process.toHandle().destroy();
            assertEquals(0, process.waitFor());
        } finally {
            process.destroyForcibly();
        }
    }

    private static void sendSighup(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    private static void awaitLine(BufferedReader log, String part) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(part)) {
            line = log.readLine();
        }
        assertNotEquals(null, line, "never logged: " + part);
    }

    @Test
    void reportsInvalidConfigurationInOneLine() throws Exception {
        Process process = serve(CONFIG.replace("\"sockets\":1024", "\"sockets\":\"many\""));
        try (BufferedReader log = process.inputReader()) {
            List<String> lines = log.lines().toList();
            assertEquals(List.of("poppynotch: field limits.sockets is not usable: many"), lines);
            assertTrue(process.waitFor() > 0);
        } finally {
            process.destroyForcibly();
        }
    }
}
