package poppynotch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static poppynotch.lab.drill.FleetProcesses.awaitCondition;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.lab.drill.FleetProcesses.ManagedProcess;

/** Rollouts of servers with real Raft servers, rollout controllers and sidecars. */
@Timeout(300)
class RolloutProcessesTest {

    private static final String PLAN =
            """
            name: %s
            servers: {kind: m2}
            stages: [0.2, 0.5]
            bake: 1s
            calls: 20
            """;

    @TempDir Path folder;

    private final List<HttpServer> servers = new ArrayList<>();
    private final AtomicInteger newVersionCalls = new AtomicInteger();
    private final AtomicInteger oldVersionCalls = new AtomicInteger();
    private final HttpClient clients = HttpClient.newHttpClient();
    private FleetProcesses processes;
    private volatile int newVersionStatus = 200;
    private int requests;

    @BeforeEach
    void begin() {
        processes = new FleetProcesses(folder, Path.of(".."), 3);
    }

    @AfterEach
    void end() {
        processes.close();
        servers.forEach(server -> server.stop(0));
    }

    private String server(String id, String kind, AtomicInteger calls) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
        server.createContext(
                "/",
                exchange -> {
                    calls.incrementAndGet();
                    exchange.getRequestBody().readAllBytes();
                    byte[] answer = kind.getBytes(StandardCharsets.UTF_8);
                    exchange.sendResponseHeaders(
                            kind.equals("m2") ? newVersionStatus : 200, answer.length);
                    exchange.getResponseBody().write(answer);
                    exchange.close();
                });
        server.start();
        servers.add(server);
        return "{\"id\":\""
                + id
                + "\",\"addr\":\"127.0.0.1:"
                + server.getAddress().getPort()
                + "\",\"zone\":\"a\",\"kind\":\""
                + kind
                + "\",\"cell\":0,\"state\":\"in_service\","
                + "\"weight\":1.0,\"started_ms\":0}";
    }

    /** Sends one request by each sidecar; returns how many were answered with 200. */
    private int call(List<ManagedProcess> sidecars) throws Exception {
        int succeeded = 0;
        for (ManagedProcess sidecar : sidecars) {
            HttpResponse<String> answer =
                    clients.send(
                            HttpRequest.newBuilder(
                                            URI.create(
                                                    "http://127.0.0.1:"
                                                            + sidecar.clientPort
                                                            + "/api"))
                                    .timeout(Duration.ofSeconds(20))
                                    .header("X-Request-Id", "r" + ++requests)
                                    .header("X-Class", "read")
                                    .header("X-Deadline-Ms", "900")
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            succeeded += answer.statusCode() == 200 ? 1 : 0;
        }
        return succeeded;
    }

    private List<ManagedProcess> sidecars() throws Exception {
        String known =
                server("s1", "m1", oldVersionCalls) + "," + server("s2", "m2", newVersionCalls);
        List<ManagedProcess> sidecars =
                List.of(processes.newProcess("a"), processes.newProcess("b"));
        for (ManagedProcess sidecar : sidecars) {
            sidecar.startSidecar("\"share\":true,\"tier\":\"front\"", known);
        }
        for (ManagedProcess sidecar : sidecars) {
            awaitCondition("it serves", () -> sidecar.askAdmin("status").equals("done"));
        }
        return sidecars;
    }

    /**
     * Waits until a sidecar's balancer has advice that was made after this call. The phase that a
     * sidecar shows is in force there only with the next advice, some 100 ms later.
     */
    private static void awaitNewAdvice(ManagedProcess sidecar) throws Exception {
        long calledNanos = System.nanoTime();
        awaitCondition(
                "its balancer has new advice",
                () -> {
                    long ageMs = sidecar.askAdminJson("shared").path("advice_age_ms").asLong();
                    long sinceCallMs = (System.nanoTime() - calledNanos) / 1_000_000;
                    return ageMs < sinceCallMs;
                });
    }

    private static boolean isInPhase(ManagedProcess controller, String phase) throws IOException {
        return controller.askAdminJson("release").path("phase").asText().equals(phase);
    }

    /**
     * A version whose calls fail gets a fraction of them, is rolled back, and gets none afterwards;
     * a second request to roll back has no effect.
     */
    @Test
    void rollsBackVersionWhoseCallsFail() throws Exception {
        processes.startRaftServers();
        List<ManagedProcess> sidecars = sidecars();
        newVersionStatus = 500;
        ManagedProcess controller =
                processes.newProcess("c0").startRolloutController(PLAN.formatted("bad"));
        awaitCondition(
                "it is rolled back",
                () -> {
                    call(sidecars);
                    return isInPhase(controller, "back");
                });
        assertTrue(
                controller.askAdminJson("release").path("why").asText().startsWith("calls fail"));
        for (ManagedProcess sidecar : sidecars) {
            awaitCondition(
                    "every sidecar knows the phase",
                    () ->
                            sidecar.askAdminJson("shared")
                                    .path("release")
                                    .path("phase")
                                    .asText()
                                    .equals("back"));
        }
        for (ManagedProcess sidecar : sidecars) {
            awaitNewAdvice(sidecar);
        }
        int before = newVersionCalls.get();
        for (int i = 0; i < 50; i++) {
            assertEquals(2, call(sidecars), "each is served by the old version");
        }
        assertEquals(before, newVersionCalls.get(), "the new version gets nothing");
        assertTrue(
                controller
                        .askAdmin("release-resume")
                        .startsWith("error this version was judged bad"));
        assertEquals("done", controller.askAdmin("release-back"));
    }

    /** A rollout is completed by the second controller when the first one dies in the middle. */
    @Test
    void completesRolloutWhenControllerDies() throws Exception {
        processes.startRaftServers();
        List<ManagedProcess> sidecars = sidecars();
        ManagedProcess first =
                processes.newProcess("c0").startRolloutController(PLAN.formatted("good"));
        awaitCondition(
                "it is running",
                () -> {
                    call(sidecars);
                    return isInPhase(first, "running")
                            && first.askAdminJson("release").path("calls_this_stage").asInt() > 0;
                });
        long token = first.askAdminJson("release").path("token").asLong();
        ManagedProcess second =
                processes.newProcess("c1").startRolloutController(PLAN.formatted("good"));
        awaitCondition(
                "the second waits", () -> second.askAdminJson("release").path("waits").asBoolean());
        first.process.destroyForcibly().waitFor();
        awaitCondition(
                "the second has done it",
                () -> {
                    call(sidecars);
                    return isInPhase(second, "done");
                });
        assertTrue(second.askAdminJson("release").path("token").asLong() > token);
        for (ManagedProcess sidecar : sidecars) {
            awaitCondition(
                    "every sidecar knows the phase",
                    () ->
                            sidecar.askAdminJson("shared")
                                    .path("release")
                                    .path("phase")
                                    .asText()
                                    .equals("done"));
        }
        assertTrue(newVersionCalls.get() > 0 && oldVersionCalls.get() > 0);
    }

    @Test
    void rejectsInvalidPlanWithAllItsErrors() throws Exception {
        ManagedProcess controller =
                processes
                        .newProcess("c0")
                        .startRolloutController(
                                "name: x y\nservers: {}\nstages: [0.5, 0.2]\n"
                                        + "bake: soon\ncolour: red\n");
        assertEquals(2, controller.process.waitFor());
        String log = controller.log();
        for (String fault :
                List.of(
                        "name must be",
                        "servers must have",
                        "stages must grow",
                        "bake must be a time",
                        "colour is none of")) {
            assertTrue(log.contains(fault), fault + " in " + log);
        }
    }
}
