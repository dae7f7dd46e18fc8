package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;

/**
 * A sidecar with fake endpoints and a fake discovery, all on loopback. A test sets the fields that
 * differ for it and then calls {@link #start}; {@link #close} ends everything.
 */
class SidecarFixture implements Closeable {

    private static final long AWAIT_TIMEOUT_MS = 20_000;

    final List<FakeEndpoint> endpoints = new ArrayList<>();
    final FakeEndpoint discovery;
    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    Sidecar sidecar;
    int idleCloseMs = 15_000;
    int askWithinMs = 600_000;
    int maxSockets = 1024;
    int latencyTargetMs = 9000;
    int deadlineMs = 9000;
    int memoryMb = 192;

    /** How long endpoints remember an idempotency key. */
    int idempotencyWindowMs = 9000;

    /** Whether the settings allow attempts to be cancelled. */
    boolean cancel = true;

    /** A folder that outlasts the process, or null. */
    Path folder;

    /** An inherited listener, or null. */
    ServerSocketChannel listener;

    /** The number of requests made so far, which is part of their ids. */
    private int requests;

    SidecarFixture(FakeEndpoint... endpoints) throws IOException {
        this.endpoints.addAll(List.of(endpoints));
        // Discovery does not respond until the test has a response for it.
        discovery = new FakeEndpoint((connection, request) -> connection.awaitEnd());
    }

    /** One server as discovery names it. */
    static String serverJson(int number, String address, String state, long startedMs) {
        return "{\"id\":\"s"
                + number
                + "\",\"addr\":\""
                + address
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,"
                + "\"state\":\""
                + state
                + "\",\"weight\":1.0,\"started_ms\":"
                + startedMs
                + "}";
    }

    /** A full list of servers, or the changed entries of one, as discovery sends it. */
    static String listJson(int version, boolean full, String... lines) {
        return "{\"version\":"
                + version
                + ",\"full\":"
                + full
                + ",\"servers\":["
                + String.join(",", lines)
                + "]}";
    }

    /** The configuration file. */
    String config() {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < endpoints.size(); i++) {
            lines.add(serverJson(i, endpoints.get(i).address(), "in_service", 0));
        }
        return """
{"name":"n0","listen":"127.0.0.1:0","management":"127.0.0.1:0",
"discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,
"settings":{"azs":["a"],"models":["m"],"replicas-of-me":1,"slot-no":0,"tier":0,"zone":0,
"membership-mode":"on_request","classes":[
{"name":"read","effect":"repeatable","group":"all","hard-limit-ms":%d,"slo-ms":%d,"worth":1},
{"name":"order","effect":"once","group":"all","hard-limit-ms":%d,"slo-ms":%d,"worth":1},
{"name":"save","effect":"by_key","group":"all","hard-limit-ms":%d,"slo-ms":%d,"worth":1,
"memory-span-ms":%d}],
"limits":{"cancel":%b,"dial-timeout-ms":2000,"idle-close-ms":%d,"max-retry-after-ms":2000,
"parallel-tries":true,"retry-after":false,"try-limit":3},
"rules":{"cold-share":0.5,"cold-ms":1000,"tip-multiple":3,"fall-ms":1000,"drain-grace-ms":500,
"ask-within-ms":%d}}}"""
                .formatted(
                        discovery.address(),
                        memoryMb,
                        maxSockets,
                        listJson(1, true, lines.toArray(String[]::new)),
                        deadlineMs,
                        latencyTargetMs,
                        deadlineMs,
                        latencyTargetMs,
                        deadlineMs,
                        latencyTargetMs,
                        idempotencyWindowMs,
                        cancel,
                        idleCloseMs,
                        askWithinMs);
    }

    /** Starts the sidecar with the current fields. */
    SidecarFixture start() throws IOException {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, config());
            sidecar =
                    Sidecar.start(
                            SidecarConfig.read(file),
                            new Sidecar.Inherited(folder, listener),
                            new PrintStream(log, true, StandardCharsets.UTF_8));
        } finally {
            Files.delete(file);
        }
        return this;
    }

    /** Reloads a changed configuration, as on SIGHUP; returns once it is applied or rejected. */
    void reload(String config) throws Exception {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, config);
            log.reset();
            sidecar.reload(file);
            awaitUntil("it has read the file", () -> logText().contains("new configuration is"));
        } finally {
            Files.delete(file);
        }
    }

    /**
     * Pauses the sidecar's only thread until what is returned is closed. Input that arrives
     * meanwhile stays in the socket buffers and is then read in the order of its arrival, so that a
     * test can force an order of events.
     */
    PausedEventLoop pauseEventLoop() throws InterruptedException {
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        sidecar.loop()
                .execute(
                        () -> {
                            paused.countDown();
                            try {
                                release.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        paused.await();
        return release::countDown;
    }

    /** The sidecar's thread while it is paused. */
    interface PausedEventLoop extends AutoCloseable {
        @Override
        void close();
    }

    RawHttpConnection connect() throws IOException {
        return RawHttpConnection.connectTo(sidecar.address());
    }

    /** A request of a class: a GET if it may be repeated, else a POST with a body. */
    String request(String requestClass, int deadlineMs) {
        String head =
                "X-Request-Id: r"
                        + requests++
                        + "\r\nX-Class: "
                        + requestClass
                        + "\r\nX-Deadline-Ms: "
                        + deadlineMs
                        + "\r\nHost: app.svc\r\n";
        return requestClass.equals("read")
                ? "GET /api?q=1 HTTP/1.1\r\n" + head + "\r\n"
                : "POST /api?q=1 HTTP/1.1\r\n"
                        + head
                        + "Idempotency-Key: k1\r\nContent-Length: 5\r\n\r\nhello";
    }

    RawHttpConnection.Message sendRequest(String requestClass, int deadlineMs) throws IOException {
        try (RawHttpConnection connection = connect()) {
            return connection.send(request(requestClass, deadlineMs)).read();
        }
    }

    /** Makes one call to the admin server and returns the complete response. */
    String callAdmin(String line) throws IOException {
        try (RawHttpConnection connection = RawHttpConnection.connectTo(sidecar.adminAddress())) {
            return connection.send(line).readToEnd();
        }
    }

    int attemptCount() {
        return endpoints.stream().mapToInt(endpoint -> endpoint.requests.size()).sum();
    }

    String logText() {
        return log.toString(StandardCharsets.UTF_8);
    }

    static void awaitUntil(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + AWAIT_TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(2);
        }
    }

    @Override
    public void close() throws IOException {
        if (sidecar != null) {
            sidecar.stop();
        }
        for (FakeEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        discovery.close();
    }
}
