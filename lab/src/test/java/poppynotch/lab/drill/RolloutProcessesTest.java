package poppynotch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static poppynotch.lab.drill.Processes.awaitCondition;

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
import poppynotch.lab.drill.Processes.Part;

/** Releases of servers with real keepers, conductors and sidecars, and servers of two versions. */
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
    private final AtomicInteger fresh = new AtomicInteger();
    private final AtomicInteger old = new AtomicInteger();
    private final HttpClient clients = HttpClient.newHttpClient();
    private Processes processes;
    private volatile int freshStatus = 200;
    private int asked;

    @BeforeEach
    void begin() {
        processes = new Processes(folder, Path.of(".."), 3);
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
                            kind.equals("m2") ? freshStatus : 200, answer.length);
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

    /** One request by each sidecar; how many were answered well. */
    private int call(List<Part> sidecars) throws Exception {
        int well = 0;
        for (Part sidecar : sidecars) {
            HttpResponse<String> answer =
                    clients.send(
                            HttpRequest.newBuilder(
                                            URI.create(
                                                    "http://127.0.0.1:"
                                                            + sidecar.clientPort
                                                            + "/api"))
                                    .timeout(Duration.ofSeconds(20))
                                    .header("X-Request-Id", "r" + ++asked)
                                    .header("X-Class", "read")
                                    .header("X-Deadline-Ms", "900")
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            well += answer.statusCode() == 200 ? 1 : 0;
        }
        return well;
    }

    private List<Part> sidecars() throws Exception {
        String known = server("s1", "m1", old) + "," + server("s2", "m2", fresh);
        List<Part> sidecars = List.of(processes.part("a"), processes.part("b"));
        for (Part sidecar : sidecars) {
            sidecar.startSidecar("\"share\":true,\"tier\":\"front\"", known);
        }
        for (Part sidecar : sidecars) {
            awaitCondition("it serves", () -> sidecar.ask("status").equals("done"));
        }
        return sidecars;
    }

    private static boolean is(Part conductor, String phase) throws IOException {
        return conductor.json("release").path("phase").asText().equals(phase);
    }

    /**
     * A version whose calls fail gets a part of them, is judged, and gets none; a repeat is
     * harmless.
     */
    @Test
    void rollsBackVersionWhoseCallsFail() throws Exception {
        processes.keepers();
        List<Part> sidecars = sidecars();
        freshStatus = 500;
        Part conductor = processes.part("c0").startRolloutController(PLAN.formatted("bad"));
        awaitCondition(
                "it is judged",
                () -> {
                    call(sidecars);
                    return is(conductor, "back");
                });
        assertTrue(conductor.json("release").path("why").asText().startsWith("calls fail"));
        for (Part sidecar : sidecars) {
            awaitCondition(
                    "told everywhere",
                    () ->
                            sidecar.json("shared")
                                    .path("release")
                                    .path("phase")
                                    .asText()
                                    .equals("back"));
        }
        int before = fresh.get();
        for (int i = 0; i < 50; i++) {
            assertEquals(2, call(sidecars), "each is served by the old version");
        }
        assertEquals(before, fresh.get(), "the new version gets nothing");
        assertTrue(conductor.ask("release-resume").startsWith("error this version was judged bad"));
        assertEquals("done", conductor.ask("release-back"));
    }

    /**
     * A good one is done, though its first conductor dies on the way and the second has to go on.
     */
    @Test
    void completesRolloutWhenControllerDies() throws Exception {
        processes.keepers();
        List<Part> sidecars = sidecars();
        Part first = processes.part("c0").startRolloutController(PLAN.formatted("good"));
        awaitCondition(
                "it is under way",
                () -> {
                    call(sidecars);
                    return is(first, "running")
                            && first.json("release").path("calls_this_stage").asInt() > 0;
                });
        long token = first.json("release").path("token").asLong();
        Part second = processes.part("c1").startRolloutController(PLAN.formatted("good"));
        awaitCondition("the second waits", () -> second.json("release").path("waits").asBoolean());
        first.process.destroyForcibly().waitFor();
        awaitCondition(
                "the second has done it",
                () -> {
                    call(sidecars);
                    return is(second, "done");
                });
        assertTrue(second.json("release").path("token").asLong() > token);
        for (Part sidecar : sidecars) {
            awaitCondition(
                    "told everywhere",
                    () ->
                            sidecar.json("shared")
                                    .path("release")
                                    .path("phase")
                                    .asText()
                                    .equals("done"));
        }
        assertTrue(fresh.get() > 0 && old.get() > 0);
    }

    @Test
    void rejectsInvalidPlanWithAllItsErrors() throws Exception {
        Part conductor =
                processes
                        .part("c0")
                        .startRolloutController(
                                "name: x y\nservers: {}\nstages: [0.5, 0.2]\n"
                                        + "bake: soon\ncolour: red\n");
        assertEquals(2, conductor.process.waitFor());
        String log = conductor.log();
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
