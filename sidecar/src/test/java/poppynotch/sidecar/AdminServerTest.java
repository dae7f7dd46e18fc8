package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The admin server of a running sidecar, and the effects of its calls. */
@Timeout(60)
class AdminServerTest {

    private SidecarFixture fixture;

    private SidecarFixture start(FakeEndpoint... endpoints) throws IOException {
        fixture = new SidecarFixture(endpoints);
        return fixture.start();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static FakeEndpoint good() throws IOException {
        return FakeEndpoint.answering(200, "", "served");
    }

    private void awaitStatus(String answer) throws Exception {
        SidecarFixture.awaitUntil(
                "the status is " + answer,
                () -> {
                    try {
                        return fixture.callAdmin("status\n").startsWith(answer);
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                });
    }

    // ---- the admin server ----

    @Test
    void statusIsDoneOnlyWhileServing() throws Exception {
        start();
        awaitStatus("error no endpoint");
        stop();
        start(good());
        awaitStatus("done");
        assertEquals("done\n", fixture.callAdmin("status\r\n"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", " ", "stat", "status now", "GET /status HTTP/1.1", "\0\1\2", "maint-on"})
    void answersUnknownCallWithError(String line) throws Exception {
        start(good());
        awaitStatus("done");
        assertTrue(fixture.callAdmin(line + "\n").startsWith("error "), line);
    }

    /** Guards against a line that fills memory. */
    @Test
    void rejectsLineThatIsTooLong() throws Exception {
        start(good());
        try (RawHttpConnection caller =
                RawHttpConnection.connectTo(fixture.sidecar.adminAddress())) {
            caller.send("x".repeat(600));
            assertTrue(caller.readToEnd().startsWith("error "));
        }
    }

    /**
     * Guards against silent callers that use up the limit: the oldest is replaced, others time out.
     */
    @Test
    void servesNewCallerWhenSilentCallersFillLimit() throws Exception {
        start(good());
        awaitStatus("done");
        List<RawHttpConnection> silent = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            silent.add(RawHttpConnection.connectTo(fixture.sidecar.adminAddress()).send("stat"));
        }
        assertEquals("done\n", fixture.callAdmin("status\n"));
        silent.get(0).awaitEnd();
        assertTrue(
                silent.get(39).readToEnd().startsWith("error no whole call"),
                "the last one gets an error");
        for (RawHttpConnection connection : silent) {
            connection.close();
        }
    }

    // ---- standby and active ----

    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    /**
     * Guards against clients that stay: idle connections are closed, busy ones with their response.
     */
    @Test
    void standbyClosesConnectionsButKeepsServing() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            if (request.headers().get("x-request-id").equals("r0")) {
                                release.await();
                            }
                            FakeEndpoint.answer(connection, 200, "", "served");
                        }));
        awaitStatus("done");
        try (RawHttpConnection busy = fixture.connect();
                RawHttpConnection idle = fixture.connect();
                RawHttpConnection late = fixture.connect()) {
            assertEquals(200, late.send(READY).read().status());
            busy.send(fixture.request("order", 8000) + fixture.request("order", 8000));
            SidecarFixture.awaitUntil("both are in flight", () -> fixture.attemptCount() == 2);
            assertEquals("done\n", fixture.callAdmin("standby\n"));
            assertTrue(fixture.callAdmin("status\n").startsWith("error draining"));
            assertEquals(503, late.send(READY).read().status());
            SidecarFixture.awaitUntil(
                    "responses become the last on their connections",
                    () -> {
                        try (RawHttpConnection fresh = fixture.connect()) {
                            RawHttpConnection.Message answer =
                                    fresh.send(fixture.request("read", 8000)).read();
                            return answer.status() == 200
                                    && "close".equals(answer.headers().get("connection"));
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    });
            assertEquals("done\n", fixture.callAdmin("standby\n"), "it may be repeated");
            late.awaitEnd();
            idle.awaitEnd();
            release.countDown();
            assertEquals(200, busy.read().status());
            RawHttpConnection.Message last = busy.read();
            assertEquals(200, last.status());
            assertEquals("close", last.headers().get("connection"));
            busy.awaitEnd();
        }
    }

    @Test
    void activeEndsDrainAtOnce() throws Exception {
        start(good());
        awaitStatus("done");
        assertEquals("done\n", fixture.callAdmin("standby\n"));
        assertEquals("done\n", fixture.callAdmin("active\n"));
        assertEquals("done\n", fixture.callAdmin("status\n"));
        try (RawHttpConnection client = fixture.connect()) {
            assertEquals(200, client.send(READY).read().status());
            for (int i = 0; i < 2; i++) {
                RawHttpConnection.Message answer =
                        client.send(fixture.request("order", 8000)).read();
                assertEquals(200, answer.status());
                assertNull(answer.headers().get("connection"));
            }
        }
    }

    /** Guards against a new process that never accepts, after a standby call during its start. */
    @Test
    void activeEndsDrainThatBeganDuringStart() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        fixture = new SidecarFixture(good());
        fixture.listener = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
        fixture.discovery.script =
                (connection, request) -> {
                    if (fixture.discovery.requests.size() == 1) {
                        answer.await();
                        FakeEndpoint.answer(connection, 200, "", SidecarFixture.listJson(1, false));
                    } else {
                        connection.awaitEnd();
                    }
                };
        fixture.start();
        assertTrue(fixture.callAdmin("status\n").startsWith("error starting"));
        assertEquals("done\n", fixture.callAdmin("standby\n"));
        answer.countDown();
        SidecarFixture.awaitUntil(
                "it could serve",
                () ->
                        fixture.logText().contains("warm after")
                                && fixture.logText().contains("Discovery list received"));
        try (RawHttpConnection silent =
                RawHttpConnection.connectTo(fixture.sidecar.adminAddress())) {
            // When it times out, the time to wait for discovery at a start has passed too.
            assertTrue(silent.readToEnd().startsWith("error no whole call"));
        }
        assertTrue(fixture.callAdmin("status\n").startsWith("error draining"));
        assertEquals("done\n", fixture.callAdmin("active\n"));
        awaitStatus("done");
        assertEquals(200, fixture.sendRequest("read", 8000).status());
    }

    /** Guards against a process that reports that it serves while it shuts down. */
    @Test
    void activeDoesNotUndoShutdown() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            release.await();
                            FakeEndpoint.answer(connection, 200, "", "served");
                        }));
        awaitStatus("done");
        try (RawHttpConnection busy = fixture.connect().send(fixture.request("order", 8000))) {
            SidecarFixture.awaitUntil("it is in flight", () -> fixture.attemptCount() == 1);
            Thread drain = new Thread(fixture.sidecar::drain);
            drain.start();
            awaitStatus("error draining");
            assertTrue(fixture.callAdmin("active\n").startsWith("error "));
            assertTrue(fixture.callAdmin("status\n").startsWith("error draining"));
            release.countDown();
            assertEquals(200, busy.read().status());
            drain.join();
        }
    }

    // ---- maintenance ----

    /** Guards against new requests to an endpoint in maintenance, even if it is the only one. */
    @Test
    void endpointInMaintenanceGetsNoRequestsUntilReleased() throws Exception {
        FakeEndpoint other = good();
        start(good(), other);
        awaitStatus("done");
        assertEquals("done\n", fixture.callAdmin("maint-on s0\n"));
        assertEquals("done\n", fixture.callAdmin("maint-on s0\n"), "it may be repeated");
        for (int i = 0; i < 10; i++) {
            assertEquals(200, fixture.sendRequest("read", 8000).status());
        }
        assertEquals(10, other.requests.size());
        assertEquals("done\n", fixture.callAdmin("maint-on s1\n"));
        assertEquals(503, fixture.sendRequest("read", 8000).status());
        assertEquals("done\n", fixture.callAdmin("maint-off s0\n"), "one call ends it");
        assertEquals(200, fixture.sendRequest("read", 8000).status());
        assertEquals(10, other.requests.size());
    }

    @Test
    void rejectsMaintenanceOfUnknownEndpoint() throws Exception {
        start(good());
        assertTrue(fixture.callAdmin("maint-on s1\n").startsWith("error no list has named s1"));
        assertTrue(fixture.callAdmin("maint-off s1\n").startsWith("error no list has named s1"));
        assertTrue(fixture.callAdmin("maint-on s0 s0\n").startsWith("error unknown call"));
    }

    /** Guards against maintenance that an upgrade loses, also of an id that contains a path. */
    @Test
    void maintenanceOutlastsProcess(@TempDir Path folder) throws Exception {
        fixture = new SidecarFixture(good(), good());
        fixture.folder = folder;
        fixture.start();
        assertEquals("done\n", fixture.callAdmin("maint-on s0\n"));
        fixture.sidecar.stop();
        MaintenanceFiles files = new MaintenanceFiles(folder, null);
        files.set("../s9", true);
        fixture.start();
        for (int i = 0; i < 4; i++) {
            assertEquals(200, fixture.sendRequest("read", 8000).status());
        }
        assertEquals(0, fixture.endpoints.get(0).requests.size());
        assertEquals("done\n", fixture.callAdmin("maint-off s0\n"));
        assertEquals(Set.of("../s9"), files.read());
    }

    /**
     * Guards against a start that fails because of a damaged file, and against losing readable
     * files.
     */
    @Test
    void startsWithDamagedFolderAndAppliesReadableMaintenance(@TempDir Path folder)
            throws Exception {
        Files.createFile(folder.resolve("maintenance-%zz"));
        Files.createFile(folder.resolve("maintenance-s0"));
        fixture = new SidecarFixture(good(), good());
        fixture.folder = folder;
        fixture.start();
        assertEquals(200, fixture.sendRequest("read", 8000).status());
        assertEquals(0, fixture.endpoints.get(0).requests.size());
        assertEquals(
                1,
                fixture.logText()
                        .lines()
                        .filter(
                                line ->
                                        line.contains(
                                                "Maintenance file ignored: undecodableName=%zz"))
                        .count());
    }

    @Test
    void startsWithMissingFolder(@TempDir Path folder) throws Exception {
        fixture = new SidecarFixture(good());
        fixture.folder = folder.resolve("gone");
        fixture.listener = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
        fixture.start();
        awaitStatus("done");
        assertEquals("done\n", fixture.callAdmin("maint-on s0\n"));
        assertEquals(503, fixture.sendRequest("read", 8000).status());
    }
}
