package mapleroute.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Real keepers and real sidecars that want a duty: who has it, and who has it next. */
@Timeout(300)
class DutyProcessesTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String KEEPERS = "[\"k0\",\"k1\",\"k2\"]";

    @TempDir
    Path folder;

    private final List<Process> processes = new ArrayList<>();
    private int seedPort;

    private static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** One process with its door. */
    private final class Part {
        final String name;
        final int port = free();
        final int door = free();
        Process process;

        Part(String name) throws IOException {
            this.name = name;
        }

        private String fleet(String more) {
            return "\"fleet\":{\"name\":\"duties\",\"listen\":\"127.0.0.1:" + port
                + "\",\"seeds\":[\"127.0.0.1:" + seedPort + "\"]" + more + "}";
        }

        Part keep(String... how) throws IOException {
            Path file = Files.writeString(folder.resolve(name + ".json"), "{\"name\":\"" + name
                + "\",\"management\":\"127.0.0.1:" + door + "\"," + fleet("") + ",\"keep\":{\"folder\":\""
                + folder.resolve("log-" + name) + "\",\"founders\":" + KEEPERS + "}}");
            List<String> command = new ArrayList<>(List.of("-jar",
                "../fleet/target/mapleroute-fleet-cli.jar", "keep", file.toString()));
            command.addAll(Arrays.asList(how));
            return started(command, "");
        }

        Part serve(int preference) throws IOException {
            Path file = Files.writeString(folder.resolve(name + ".json"), "{\"name\":\"" + name
                + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1f\","
                + "\"management\":\"127.0.0.1:" + door + "\"," + fleet(",\"keepers\":" + KEEPERS
                + ",\"duties\":{\"reader\":" + preference + "}")
                + ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s1\","
                + "\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"kind\":\"m1\",\"cell\":0,"
                + "\"state\":\"in_service\",\"weight\":1.0,"
                + "\"started_ms\":0}]},\"settings\":{\"azs\":[\"a\"],\"models\":[\"m1\"],"
                + "\"membership-mode\":\"on_request\",\"classes\":[{\"name\":\"read\",\"effect\":"
                + "\"repeatable\",\"slo-ms\":500,\"hard-limit-ms\":1000}],\"limits\":{"
                + "\"dial-timeout-ms\":200,\"idle-close-ms\":15000,\"try-limit\":3},\"rules\":{}}}");
            return started(List.of("-XX:TieredStopAtLevel=1", "-jar", "../sidecar/target/mapleroute.jar",
                "serve"), file.toString());
        }

        private Part started(List<String> arguments, String config) throws IOException {
            List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m"));
            command.addAll(arguments);
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            builder.environment().put("GW_CONFIG", config);
            process = builder.start();
            processes.add(process);
            return this;
        }

        /** What its door says, or nothing where it is not there. */
        String ask(String call) {
            try (Socket socket = new Socket("127.0.0.1", door)) {
                socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.UTF_8));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
            } catch (IOException e) {
                return "";
            }
        }

        JsonNode duties() throws IOException {
            String answer = ask("duties");
            return answer.startsWith("done ") ? JSON.readTree(answer.substring(5)) : JSON.createObjectNode();
        }

        boolean has() throws IOException {
            return duties().path("duties").path("reader").path("mine").asBoolean();
        }

        long token() throws IOException {
            return duties().path("duties").path("reader").path("token").asLong();
        }

        String log() throws IOException {
            return Files.readString(folder.resolve(name + ".log"));
        }
    }

    /** Asks again and again, two minutes at most: only a fault takes so long, on however slow a machine. */
    private void awaitThat(String what, Callable<Boolean> wanted) throws Exception {
        long until = System.nanoTime() + TimeUnit.MINUTES.toNanos(2);
        while (!wanted.call()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("not seen: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @AfterEach
    void end() {
        processes.forEach(Process::destroyForcibly);
    }

    /** One has it; a word moves it; an end, in good order or not, passes it on; each time the token grows. */
    @Test
    void aDutyIsHeldByOneAndPassedOn() throws Exception {
        List<Part> keepers = List.of(new Part("k0"), new Part("k1"), new Part("k2"));
        seedPort = keepers.get(0).port;
        for (Part keeper : keepers) {
            keeper.keep("--found");
        }
        Part a = new Part("a").serve(0);
        awaitThat("a has it", a::has);
        final long first = a.token();
        Part b = new Part("b").serve(1);
        awaitThat("b knows who has it", () -> b.duties().path("duties").path("reader").path("holder").asText()
            .equals("a"));
        Part leader = keepers.stream().filter(keeper -> keeper.ask("duties").contains("\"leads\":true"))
            .findFirst().orElseThrow();
        assertEquals("done", leader.ask("duty-move reader b"));
        awaitThat("moved to b", b::has);
        assertTrue(b.token() > first);
        // The keepers' leader dies, and with it nothing: another leads, and the holder stays.
        leader.process.destroyForcibly().waitFor();
        awaitThat("another leads", () -> keepers.stream().anyMatch(keeper -> keeper != leader
            && keeper.ask("duties").contains("\"leads\":true")));
        assertTrue(b.has(), "the holder outlasts an election");
        final long second = b.token();
        b.process.destroy();
        awaitThat("passed on at the end of b", a::has);
        final long third = a.token();
        assertTrue(third > second);
        // The keeper is back with its own log.
        leader.keep();
        awaitThat("it follows again", () -> leader.ask("duties").contains("\"holder\":\"a\""));
        b.serve(1);
        awaitThat("b is back", () -> b.ask("duties").startsWith("done "));
        a.process.destroyForcibly().waitFor();
        awaitThat("passed on at the death of a", b::has);
        assertTrue(b.token() > third);
    }

    @Test
    void aKeeperThatLostItsLogDoesNotStartAsTheSameOne() throws Exception {
        Part keeper = new Part("k0");
        seedPort = keeper.port;
        keeper.keep();
        assertEquals(1, keeper.process.waitFor());
        assertTrue(keeper.log().contains("there is no log in "), keeper.log());
        assertEquals(1, keeper.log().lines().count(), keeper.log());
        Files.createDirectories(folder.resolve("log-k0"));
        Files.writeString(folder.resolve("log-k0").resolve("log.sqlite"),
            "no log, but long enough to be one");
        keeper.keep();
        assertEquals(1, keeper.process.waitFor());
        assertTrue(keeper.log().contains("the keeper's log cannot be read"), keeper.log());
    }
}
