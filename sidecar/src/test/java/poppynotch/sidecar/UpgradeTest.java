package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two real processes that inherit one listening socket, as in an upgrade on the platform. */
@Timeout(90)
class UpgradeTest {

    /**
     * The platform, in Perl, which every Debian has: Java passes no socket to a process it starts.
     */
    private static final String PLATFORM_SCRIPT =
            """
            use Socket;
            $| = 1;
            socket(my $s, PF_INET, SOCK_STREAM, 0) or die;
            bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die;
            listen($s, 100) or die;
            my ($port) = sockaddr_in(getsockname($s));
            print "$port\\n";
            open(STDIN, '<&', $s) or die;
            while (my $config = shift @ARGV) {
                last if $config eq '--';
                push @configs, $config;
            }
            for my $config (@configs) {
                my $pid = fork;
                if ($pid == 0) {
                    $ENV{GW_CONFIG} = $config;
                    open(STDERR, '>', "$config.log") or die;
                    exec @ARGV;
                }
                print "$pid\\n";
            }
            1 while wait > 0;
            """;

    @TempDir Path folder;
    private SidecarFixture fixture;
    private Process platform;
    private InetSocketAddress clients;
    private final List<ProcessHandle> processes = new ArrayList<>();
    private final List<Path> logs = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        fixture =
                new SidecarFixture(
                        FakeEndpoint.answering(200, "", "old"),
                        FakeEndpoint.answering(200, "", "served"));
        // A call that does not wait is answered with no change; a watch gets no response.
        fixture.discovery.script =
                (connection, request) -> {
                    if (request.line().contains("wait=1 ")) {
                        FakeEndpoint.answer(connection, 200, "", SidecarFixture.listJson(1, false));
                    } else {
                        connection.awaitEnd();
                    }
                };
        List<String> command = new ArrayList<>(List.of("perl", "-e", PLATFORM_SCRIPT));
        for (int i = 0; i < 2; i++) {
            Path config = folder.resolve("config" + i);
            Files.writeString(config, fixture.config());
            command.add(config.toString());
            logs.add(folder.resolve("config" + i + ".log"));
        }
        command.addAll(
                List.of(
                        "--",
                        System.getProperty("java.home") + "/bin/java",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty(
                                "surefire.test.class.path", System.getProperty("java.class.path")),
                        "poppynotch.sidecar.Main",
                        "serve"));
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT);
        builder.environment().put("GW_FD", "0");
        builder.environment()
                .put("TMPDIR", Files.createDirectory(folder.resolve("tmp")).toString());
        platform = builder.start();
        BufferedReader platformOutput = platform.inputReader();
        clients = new InetSocketAddress("127.0.0.1", Integer.parseInt(platformOutput.readLine()));
        for (int i = 0; i < 2; i++) {
            processes.add(
                    ProcessHandle.of(Long.parseLong(platformOutput.readLine())).orElseThrow());
        }
    }

    @AfterEach
    void stop() throws Exception {
        processes.forEach(ProcessHandle::destroyForcibly);
        platform.waitFor();
        fixture.close();
    }

    private String call(int process, String line) {
        try {
            String log = Files.exists(logs.get(process)) ? Files.readString(logs.get(process)) : "";
            Matcher address = Pattern.compile("adminAddress=/127.0.0.1:(\\d+)").matcher(log);
            if (!address.find()) {
                return "";
            }
            int port = Integer.parseInt(address.group(1));
            try (RawHttpConnection connection =
                    RawHttpConnection.connectTo(new InetSocketAddress("127.0.0.1", port))) {
                return connection.send(line + "\n").readToEnd();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private boolean logged(int process, String text) {
        try {
            return Files.readString(logs.get(process)).contains(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private RawHttpConnection.Message sendRequest(RawHttpConnection client) throws IOException {
        return client.send(fixture.request("read", 8000)).read();
    }

    @Test
    void newProcessTakesOverWithoutRejectingRequests() throws Exception {
        for (int i = 0; i < 2; i++) {
            int process = i;
            SidecarFixture.awaitUntil("both serve", () -> call(process, "status").equals("done\n"));
        }
        List<RawHttpConnection> keptAlive = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            keptAlive.add(RawHttpConnection.connectTo(clients));
            assertEquals(200, sendRequest(keptAlive.get(i)).status());
        }
        processes.get(0).destroy();
        SidecarFixture.awaitUntil(
                "the old one drains", () -> call(0, "status").startsWith("error draining"));
        for (int i = 0; i < 40; i++) {
            try (RawHttpConnection fresh = RawHttpConnection.connectTo(clients)) {
                RawHttpConnection.Message answer = sendRequest(fresh);
                assertEquals(200, answer.status());
                assertFalse(answer.headers().containsKey("connection"), "the new one answers");
            }
        }
        int moved = 0;
        for (RawHttpConnection connection : keptAlive) {
            RawHttpConnection.Message answer = sendRequest(connection);
            assertEquals(200, answer.status());
            moved += "close".equals(answer.headers().get("connection")) ? 1 : 0;
            connection.close();
        }
        assertTrue(moved < 40, "some belonged to the new one: " + moved);
        processes.get(0).onExit().join();
        assertTrue(Files.readString(logs.get(0)).contains("drained"), "the log is complete");
        assertEquals("done\n", call(1, "status"));
    }

    /** Guards against maintenance, or its end, that applies in only one of two processes. */
    @Test
    void maintenanceAppliesToBothProcesses() throws Exception {
        for (int i = 0; i < 2; i++) {
            int process = i;
            SidecarFixture.awaitUntil("both serve", () -> call(process, "status").equals("done\n"));
        }
        FakeEndpoint other = fixture.endpoints.get(1);
        assertEquals("done\n", call(0, "maint-on s0"));
        SidecarFixture.awaitUntil(
                "the other one follows",
                () -> logged(1, "Endpoint put into maintenance: source=files, endpoint=s0"));
        int before = fixture.endpoints.get(0).requests.size();
        for (int i = 0; i < 40; i++) {
            try (RawHttpConnection fresh = RawHttpConnection.connectTo(clients)) {
                assertEquals("served", sendRequest(fresh).body());
            }
        }
        assertEquals(before, fixture.endpoints.get(0).requests.size());
        assertEquals("done\n", call(1, "maint-on s1"));
        assertEquals("done\n", call(1, "maint-off s0"));
        SidecarFixture.awaitUntil(
                "both follow",
                () -> {
                    for (int i = 0; i < 10; i++) {
                        try (RawHttpConnection fresh = RawHttpConnection.connectTo(clients)) {
                            if (!sendRequest(fresh).body().equals("old")) {
                                return false;
                            }
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    }
                    return true;
                });
        assertTrue(other.requests.size() >= 40);
    }
}
