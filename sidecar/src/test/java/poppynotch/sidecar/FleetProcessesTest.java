package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Real sidecar processes in a fleet: what each reports of the others at its admin server. */
@Timeout(240)
class FleetProcessesTest {

    @TempDir Path folder;

    private final List<Process> processes = new ArrayList<>();

    /** One process, with its name and its ports. */
    private final class Member {
        final String name;
        final int fleetPort = freePort();
        final int adminPort = freePort();
        Process process;

        Member(String name) throws IOException {
            this.name = name;
        }

        Member start(Member seed) throws IOException {
            process =
                    FleetProcessesTest.this.start(
                            name,
                            MainTest.CONFIG
                                    .replace("\"n0\"", "\"" + name + "\"")
                                    .replace(
                                            "\"discovery\"",
                                            "\"management\":\"127.0.0.1:"
                                                    + adminPort
                                                    + "\",\"fleet\":{\"name\":"
                                                    + "\"test\",\"listen\":\"127.0.0.1:"
                                                    + fleetPort
                                                    + "\",\"seeds\":[\"127.0.0.1:"
                                                    + seed.fleetPort
                                                    + "\"]},\"discovery\""));
            return this;
        }

        /** Polls the admin server's list of members until it is as expected. */
        void awaitMembers(Predicate<String> expected) throws Exception {
            awaitThat(() -> expected.test(requestMembers()), name);
        }

        private String requestMembers() throws IOException {
            try (Socket socket = new Socket("127.0.0.1", adminPort)) {
                socket.getOutputStream().write("members\n".getBytes(StandardCharsets.UTF_8));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                // The process does not listen yet.
                return "";
            }
        }
    }

    /** Polls a condition for a minute at most, which is enough on a slow machine too. */
    private static void awaitThat(Callable<Boolean> condition, String description)
            throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!condition.call()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("condition not met: " + description);
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private Process start(String name, String config, String... options) throws IOException {
        Path file = Files.writeString(folder.resolve(name + ".json"), config);
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of(options));
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "poppynotch.sidecar.Main",
                        "serve"));
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve(name + ".log").toFile());
        builder.environment().put("GW_CONFIG", file.toString());
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    @AfterEach
    void end() {
        processes.forEach(Process::destroyForcibly);
    }

    private static Predicate<String> member(String name, String state) {
        return answer ->
                answer.startsWith("done {")
                        && answer.matches(
                                "(?s).*\"name\":\""
                                        + name
                                        + "\",\"address\":\"[^\"]*\",\"state\":\""
                                        + state
                                        + "\".*");
    }

    private static Predicate<String> present(int count) {
        return answer -> answer.contains("\"present\":" + count + ",");
    }

    /**
     * Processes join through a seed; a killed one is detected as dead, rejoins as a new
     * incarnation, and leaves by a message.
     */
    @Test
    void membersSeeEachOtherJoinDieReturnAndLeave() throws Exception {
        Member a = new Member("a");
        Member b = new Member("b");
        Member c = new Member("c");
        for (Member joining : List.of(a, b, c)) {
            joining.start(a);
        }
        for (Member joined : List.of(a, b, c)) {
            joined.awaitMembers(present(3));
        }
        c.process.destroyForcibly().waitFor();
        a.awaitMembers(member("c", "dead"));
        b.awaitMembers(member("c", "dead"));
        c.start(b);
        a.awaitMembers(member("c", "alive").and(answer -> answer.contains("\"incarnation\":2")));
        c.awaitMembers(present(3));
        c.process.destroy();
        a.awaitMembers(member("c", "left"));
        b.awaitMembers(member("c", "left"));
    }

    /** Guards against loading classes of the fleet where none is configured. */
    @Test
    void loadsNoFleetClassesWithoutFleet() throws Exception {
        Process process =
                start("off", MainTest.CONFIG, "-Xlog:class+load:file=" + folder.resolve("classes"));
        Path log = folder.resolve("off.log");
        awaitThat(() -> Files.readString(log).contains("warm after"), "warm");
        process.destroy();
        assertEquals(0, process.waitFor());
        String classes = Files.readString(folder.resolve("classes"));
        assertTrue(
                classes.contains("poppynotch.sidecar.Sidecar "),
                "the log of loaded classes exists");
        assertFalse(
                classes.contains("poppynotch.fleet")
                        || classes.contains("FleetMember")
                        || classes.contains("dataformat.cbor")
                        || classes.contains("NioDatagramChannel"));
    }

    @Test
    void reportsInvalidFleetSectionInOneLine() throws Exception {
        Process process =
                start(
                        "bad",
                        MainTest.CONFIG.replace(
                                "\"discovery\"",
                                "\"fleet\":{\"name\":\"x\",\"listen\":\"nowhere\"},\"discovery\""));
        assertTrue(process.waitFor() > 0);
        try (BufferedReader log = Files.newBufferedReader(folder.resolve("bad.log"))) {
            List<String> lines =
                    log.lines()
                            .filter(line -> !line.contains("Sidecar listening: clientAddress="))
                            .toList();
            assertEquals(List.of("poppynotch: field fleet.listen is not usable: nowhere"), lines);
        }
    }
}
